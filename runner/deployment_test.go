package runner_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/decoder"
	"bramleyshunt/faker"
	"bramleyshunt/operator"
	"bramleyshunt/runner"
	"bramleyshunt/setter"
)

const timeout = 20 * time.Second

func TestRunner(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(timeout)
	RunSpecs(t, "runner")
}

// deployment is one of the example deployments, run in the test process on loopback
// ports: each node is entry and keeper, and each target has an agent.
type deployment struct {
	name    string
	folder  string
	key     []byte
	nodes   []*node
	keepers []setter.Keeper
	fakers  map[string][]*faker.Faker // by service
	addrs   []string                  // host:port of every listener
	admin   operator.Operator
}

// node is the process of one entry VM. stop is nil once the process has stopped.
type node struct {
	zone    string
	url     string
	process *runner.Runner
	stop    func()
}

func listenLoopback() net.Listener {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return l
}

// exampleSettings reads the settings of those processes of the deployment that have the role.
func (d *deployment) exampleSettings(role string) []*setter.Setter {
	GinkgoHelper()
	names, err := filepath.Glob(filepath.Join(d.folder, "settings", "*.json"))
	Expect(err).NotTo(HaveOccurred())
	slices.Sort(names)
	var all []*setter.Setter
	for _, name := range names {
		data, err := os.ReadFile(name)
		Expect(err).NotTo(HaveOccurred())
		s := &setter.Setter{}
		Expect(decoder.Decode(name, data, s)).To(Succeed())
		if s.Has(role) {
			all = append(all, s)
		}
	}
	return all
}

// start starts the deployment with the given number of targets by service.
func start(name string, targets map[string]int) *deployment {
	GinkgoHelper()
	d := &deployment{
		name: name, folder: filepath.Join("..", "examples", name),
		key: []byte("a fleet key of the tests"), fakers: map[string][]*faker.Faker{},
	}
	d.startNodes()
	for _, s := range d.exampleSettings(setter.RoleAgent) {
		for i := range targets[s.Target.Service] {
			d.startTarget(*s, i+1)
		}
	}
	return d
}

func (d *deployment) startNodes() {
	GinkgoHelper()
	all := d.exampleSettings(setter.RoleEntry)
	var peers []net.Listener
	for _, s := range all {
		l := listenLoopback()
		peers = append(peers, l)
		d.keepers = append(d.keepers, setter.Keeper{Node: s.Node, Address: l.Addr().String()})
	}
	for i, s := range all {
		s.Keepers, s.Folder, s.GracePeriod = d.keepers, GinkgoT().TempDir(), 0
		l := runner.Listeners{Peers: peers[i], HTTP: listenLoopback(), Admin: listenLoopback()}
		r, stop, err := runner.New(runner.Config{Settings: s, Key: d.key, Listeners: l})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(stop)
		d.nodes = append(d.nodes, &node{zone: s.Zone, url: "http://" + l.HTTP.Addr().String(), process: r, stop: stop})
		d.addrs = append(d.addrs, peers[i].Addr().String(), l.HTTP.Addr().String(), l.Admin.Addr().String())
		d.admin.Bases = append(d.admin.Bases, "http://"+l.Admin.Addr().String())
	}
}

func (d *deployment) startTarget(s setter.Setter, n int) {
	GinkgoHelper()
	cfg := faker.Config{Kind: s.Target.Kind, Model: s.Target.Model, Version: "2026-11"}
	f, stop, err := faker.New(cfg)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(stop)
	d.fakers[s.Target.Service] = append(d.fakers[s.Target.Service], f)
	l := runner.Listeners{Peers: listenLoopback()}
	s.Node = fmt.Sprintf("%s-%d", s.Target.Service, n)
	s.Target.ID, s.Target.URL, s.Keepers = s.Node, f.URL(), d.keepers
	s.Listen, s.Admin = l.Peers.Addr().String(), ""
	d.addrs = append(d.addrs, s.Listen)
	_, closer, err := runner.New(runner.Config{Settings: &s, Key: d.key, Listeners: l})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(closer)
}

// apply applies the example folder together with the files in more, waits until the
// configuration is in force and returns its version.
func (d *deployment) apply(token string, more map[string]string) uint64 {
	GinkgoHelper()
	dir := GinkgoT().TempDir()
	names, err := filepath.Glob(filepath.Join(d.folder, "*.json*"))
	Expect(err).NotTo(HaveOccurred())
	for _, name := range names {
		data, err := os.ReadFile(name)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(filepath.Join(dir, filepath.Base(name)), data, 0o600)).To(Succeed())
	}
	for name, text := range more {
		Expect(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600)).To(Succeed())
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	d.admin.Token = token
	out, err := d.admin.Apply(ctx, dir, operator.Options{})
	Expect(err).NotTo(HaveOccurred())
	d.waitInForce(out.Version)
	return out.Version
}

// waitInForce waits until every running node has the version and all targets.
func (d *deployment) waitInForce(version uint64) {
	GinkgoHelper()
	total := 0
	for _, f := range d.fakers {
		total += len(f)
	}
	for _, n := range d.nodes {
		Eventually(func() bool {
			return n.stop == nil || n.process.Version() == version && len(n.process.Targets()) == total
		}).Should(BeTrue(), "%s: version %d", n.zone, version)
	}
}

// waitReady waits until the node accepts requests.
func (n *node) waitReady() {
	GinkgoHelper()
	Eventually(func() int {
		resp, err := http.Get(n.url + "/ready")
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}).Should(Equal(http.StatusOK))
}

// stopLeader stops the process of the leading keeper and returns its index.
func (d *deployment) stopLeader() int {
	GinkgoHelper()
	leader := -1
	Eventually(func() bool {
		for i, n := range d.nodes {
			if st := n.process.Keeper.Status(); n.stop != nil && st.Leader == st.Node {
				leader = i
				return true
			}
		}
		return false
	}).Should(BeTrue())
	d.nodes[leader].stop()
	d.nodes[leader].stop = nil
	return leader
}

func exampleToken(account string) string { return "example-" + account }

func prompt(n int) string { return strings.Repeat("Etappe ", n) }

// fleetToken returns the token that operators use until one is configured.
func (d *deployment) fleetToken() string { return operator.FleetToken(d.key) }

// countPosts returns how often the targets of a plain service have executed a POST.
func (d *deployment) countPosts(service, path, body string) int {
	n := 0
	for _, f := range d.fakers[service] {
		n += f.Posts(path, body)
	}
	return n
}
