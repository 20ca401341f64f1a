// Package prover_test proves what must always hold on separate processes that
// are killed, frozen, cut off and robbed of their disks.
package prover_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"bramleyshunt/driver"
	"bramleyshunt/keeper"
	"bramleyshunt/operator"
	"bramleyshunt/setter"
)

const (
	patience  = 25 * time.Second // until something that must happen counts as missing
	keeperNum = 3
	entryNum  = 2
	token     = "crew-token"
	office    = "office-token"
)

var (
	binary string
	fleets int
)

func TestProver(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(patience)
	RunSpecs(t, "prover")
}

var _ = BeforeSuite(func() {
	build()
	DeferCleanup(gexec.CleanupBuildArtifacts)
})

func build() {
	GinkgoHelper()
	var err error
	binary, err = gexec.Build("bramleyshunt")
	Expect(err).NotTo(HaveOccurred())
}

// process is one separate process.
type process struct {
	name    string
	args    []string
	session *gexec.Session
}

func (p *process) start() {
	GinkgoHelper()
	var err error
	p.session, err = gexec.Start(exec.Command(binary, p.args...), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
}

func (p *process) kill() {
	p.session.Kill().Wait(patience)
}

func (p *process) signal(s syscall.Signal) {
	GinkgoHelper()
	Expect(p.session.Command.Process.Signal(s)).To(Succeed())
}

func (p *process) end() {
	if p.session.ExitCode() < 0 {
		_ = p.session.Command.Process.Signal(syscall.SIGCONT)
		p.kill()
	}
}

// fleet is a set of processes on loopback addresses of its own: a process of
// the system has one address, so that ports can't collide with others' tests.
type fleet struct {
	tb      testing.TB
	net     string // first three numbers of its addresses
	dir     string
	key     []byte
	keepers []*process
	entries []*process
	agents  map[string]*process
	engines map[string]*process
	admin   operator.Operator
}

func newFleet(tb testing.TB) *fleet {
	tb.Helper()
	fleets++
	f := &fleet{
		net: fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, fleets), dir: tb.TempDir(), tb: tb,
		key: []byte("0123456789abcdef0123456789abcdef"), agents: map[string]*process{}, engines: map[string]*process{},
	}
	Expect(os.WriteFile(f.path("key"), f.key, 0o600)).To(Succeed())
	for i := range keeperNum {
		s := f.settings(keeperNode(i), setter.RoleKeeper)
		s.Listen, s.Admin, s.Folder = f.keeperAddress(i), f.adminAddress(i), f.path(s.Node)
		f.keepers = append(f.keepers, f.run(s))
		f.admin.Bases = append(f.admin.Bases, "http://"+s.Admin)
	}
	for i := range entryNum {
		s := f.settings(fmt.Sprintf("entry-%d", i), setter.RoleEntry)
		s.HTTP = f.entryAddress(i)
		f.entries = append(f.entries, f.run(s))
	}
	f.admin.Token = operator.FleetToken(f.key)
	f.apply(1)
	f.admin.Token = office
	for i := range f.keepers { // a follower takes the operator's token once it has applied version 1
		Eventually(func() *keeper.Status { return f.status(i) }).ShouldNot(BeNil())
	}
	return f
}

func keeperNode(i int) string { return fmt.Sprintf("keeper-%d", i) }

func (f *fleet) path(name string) string { return filepath.Join(f.dir, name) }

func (f *fleet) keeperAddress(i int) string { return fmt.Sprintf("%s.%d:7000", f.net, 10+i) }
func (f *fleet) adminAddress(i int) string  { return fmt.Sprintf("%s.%d:7001", f.net, 10+i) }
func (f *fleet) entryAddress(i int) string  { return fmt.Sprintf("%s.%d:8080", f.net, 20+i) }
func (f *fleet) entryURL(i int) string      { return "http://" + f.entryAddress(i) }

func (f *fleet) settings(node, role string) *setter.Setter {
	s := &setter.Setter{Node: node, Roles: []string{role}, Key: f.path("key"), Log: "info"}
	for i := range keeperNum {
		s.Keepers = append(s.Keepers, setter.Keeper{Node: keeperNode(i), Address: f.keeperAddress(i)})
	}
	return s
}

// run starts a process of the system with settings written to a file.
func (f *fleet) run(s *setter.Setter) *process {
	GinkgoHelper()
	data, err := json.Marshal(s)
	Expect(err).NotTo(HaveOccurred())
	path := f.path(s.Node + ".json")
	Expect(os.WriteFile(path, data, 0o600)).To(Succeed())
	return f.launch(s.Node, "run", "--settings", path)
}

func (f *fleet) launch(name string, args ...string) *process {
	GinkgoHelper()
	p := &process{name: name, args: args}
	p.start()
	f.tb.Cleanup(p.end)
	return p
}

// target starts a stand-in and its agent, number n of the fleet.
func (f *fleet) target(n int, service, kind string, flags ...string) string {
	GinkgoHelper()
	name := fmt.Sprintf("%s-%d", service, n)
	addr := fmt.Sprintf("%s.%d:9000", f.net, 100+n)
	args := append([]string{"engine", "--listen", addr, "--kind", kind}, flags...)
	f.engines[name] = f.launch(name+"-engine", args...)
	s := f.settings(name, setter.RoleAgent)
	s.Listen = fmt.Sprintf("%s.%d:9001", f.net, 100+n)
	s.Target = setter.Target{ID: name, Service: service, Kind: kind, URL: "http://" + addr}
	if kind == "engine" {
		s.Target.Model = "m"
	}
	f.agents[name] = f.run(s)
	return name
}

func (f *fleet) engine(n int, flags ...string) string {
	return f.target(n, "letters", "engine", append([]string{"--model", "m"}, flags...)...)
}

func (f *fleet) plain(n int) string { return f.target(n, "portal", "plain") }

// driver reaches the stand-in of target number n past the system.
func (f *fleet) driver(n int) *driver.Driver {
	return &driver.Driver{BaseURL: fmt.Sprintf("http://%s.%d:9000", f.net, 100+n)}
}

// apply makes the configuration with this number the one in force.
func (f *fleet) apply(n int) uint64 {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	out, err := f.admin.Apply(ctx, f.folder(n), operator.Options{})
	Expect(err).NotTo(HaveOccurred())
	return out.Version
}

// folder writes configuration number n: it differs in the share of an account.
func (f *fleet) folder(n int) string {
	GinkgoHelper()
	dir := f.path("config")
	Expect(os.MkdirAll(dir, 0o700)).To(Succeed())
	text := fmt.Sprintf(`{
		"services": {
			"letters": {"kind": "engine", "model": "m", "timeout": 20, "longest": 60, "least": 1, "most": 4},
			"portal": {"kind": "plain", "timeout": 10, "longest": 20, "least": 1, "most": 2,
				"routes": [{"method": "POST", "prefix": "/ping", "once": true}]}
		},
		"models": {"m": {"version": "1", "window": 1050000, "output": 64, "bytes": 4}},
		"accounts": {"crew": {"token": %q, "share": %d}},
		"operators": {"office": {"token": %q}},
		"limits": {"retries": 0.5, "crashes": 2, "banned": 60, "kept": 300}
	}`, digest(token), n, digest(office))
	Expect(os.WriteFile(filepath.Join(dir, "10-all.json"), []byte(text), 0o600)).To(Succeed())
	return dir
}

// version returns the version in force as a keeper confirms it; 0 if none does.
func (f *fleet) version() uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	shown, err := f.admin.Configuration(ctx)
	if err != nil || !shown.Confirmed {
		return 0
	}
	return shown.Version
}

// status returns what keeper i says of itself; nil if it does not answer.
func (f *fleet) status(i int) *keeper.Status {
	req, err := http.NewRequest(http.MethodGet, "http://"+f.adminAddress(i)+"/v1/status", nil)
	if err != nil {
		return nil
	}
	req.Header.Set("Authorization", "Bearer "+f.admin.Token)
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct {
		Process struct {
			Keeper *keeper.Status `json:"keeper"`
		} `json:"process"`
	}
	if json.NewDecoder(resp.Body).Decode(&out) != nil {
		return nil
	}
	return out.Process.Keeper
}

// leader returns the number of the keeper that leads by its own account.
func (f *fleet) leader() int {
	GinkgoHelper()
	found := -1
	Eventually(func() int {
		found = -1
		for i := range f.keepers {
			if st := f.status(i); st != nil && st.Leader == keeperNode(i) && st.Role.String() == "Leader" {
				found = i
			}
		}
		return found
	}).Should(BeNumerically(">=", 0))
	return found
}
