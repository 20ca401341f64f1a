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

const patience = 20 * time.Second

func TestRunner(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(patience)
	RunSpecs(t, "runner")
}

// deployment is one of the example deployments, in this process and on
// loopback ports of its own: a process in each place that is entry and keeper,
// and an agent beside each target.
type deployment struct {
	name    string
	folder  string
	key     []byte
	places  []*place
	keepers []setter.Keeper
	fakers  map[string][]*faker.Faker // by service
	ports   []string                  // host:port of every listener
	admin   operator.Operator
}

// place is the process of one entry VM.
type place struct {
	zone string
	url  string
	run  *runner.Runner
	stop func()
}

func loopback() net.Listener {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	return l
}

// examples reads the settings of the deployment's processes with a role.
func (d *deployment) examples(role string) []*setter.Setter {
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

// start runs the deployment with the given number of targets by service.
func start(name string, targets map[string]int) *deployment {
	GinkgoHelper()
	d := &deployment{
		name: name, folder: filepath.Join("..", "examples", name),
		key: []byte("a fleet key of the tests"), fakers: map[string][]*faker.Faker{},
	}
	d.startPlaces()
	for _, s := range d.examples(setter.RoleAgent) {
		for i := range targets[s.Target.Service] {
			d.startTarget(*s, i+1)
		}
	}
	return d
}

func (d *deployment) startPlaces() {
	GinkgoHelper()
	all := d.examples(setter.RoleEntry)
	var peers []net.Listener
	for _, s := range all {
		l := loopback()
		peers = append(peers, l)
		d.keepers = append(d.keepers, setter.Keeper{Node: s.Node, Address: l.Addr().String()})
	}
	for i, s := range all {
		s.Keepers, s.Folder, s.Grace = d.keepers, GinkgoT().TempDir(), 0
		l := runner.Listeners{Peers: peers[i], HTTP: loopback(), Admin: loopback()}
		r, stop, err := runner.New(runner.Config{Settings: s, Key: d.key, Listeners: l})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(stop)
		d.places = append(d.places, &place{zone: s.Zone, url: "http://" + l.HTTP.Addr().String(), run: r, stop: stop})
		d.ports = append(d.ports, peers[i].Addr().String(), l.HTTP.Addr().String(), l.Admin.Addr().String())
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
	l := runner.Listeners{Peers: loopback()}
	s.Node = fmt.Sprintf("%s-%d", s.Target.Service, n)
	s.Target.ID, s.Target.URL, s.Keepers = s.Node, f.URL(), d.keepers
	s.Listen, s.Admin = l.Peers.Addr().String(), ""
	d.ports = append(d.ports, s.Listen)
	_, closer, err := runner.New(runner.Config{Settings: &s, Key: d.key, Listeners: l})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(closer)
}

// apply makes the example folder, with more files laid over it, the one in force.
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
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	d.admin.Token = token
	out, err := d.admin.Apply(ctx, dir, operator.Options{})
	Expect(err).NotTo(HaveOccurred())
	d.inForce(out.Version)
	return out.Version
}

// inForce waits until every place that runs has the version and all targets.
func (d *deployment) inForce(version uint64) {
	GinkgoHelper()
	total := 0
	for _, f := range d.fakers {
		total += len(f)
	}
	for _, p := range d.places {
		Eventually(func() bool {
			return p.stop == nil || p.run.Version() == version && len(p.run.Targets()) == total
		}).Should(BeTrue(), "%s: version %d", p.zone, version)
	}
}

// ready waits until the place takes requests.
func (p *place) ready() {
	GinkgoHelper()
	Eventually(func() int {
		resp, err := http.Get(p.url + "/ready")
		if err != nil {
			return 0
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}).Should(Equal(http.StatusOK))
}

// stopLeader ends the process that leads the keepers and returns its number.
func (d *deployment) stopLeader() int {
	GinkgoHelper()
	lead := -1
	Eventually(func() bool {
		for i, p := range d.places {
			if st := p.run.Keeper.Status(); p.stop != nil && st.Leader == st.Node {
				lead = i
				return true
			}
		}
		return false
	}).Should(BeTrue())
	d.places[lead].stop()
	d.places[lead].stop = nil
	return lead
}

func example(account string) string { return "example-" + account }

func words(n int) string { return strings.Repeat("Etappe ", n) }

// fleetToken is the operators' token until one is configured.
func (d *deployment) fleetToken() string { return operator.FleetToken(d.key) }

// recorded counts how often the targets of a plain service executed a POST.
func (d *deployment) recorded(service, path, body string) int {
	n := 0
	for _, f := range d.fakers[service] {
		n += f.PostCount(path, body)
	}
	return n
}
