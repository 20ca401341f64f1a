// Package prover_test tests the guarantees of the system end to end: it runs each
// member of a fleet as a separate process and kills, freezes and disconnects them
// and deletes their data.
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
	eventTimeout  = 25 * time.Second // bounds the wait for an expected event
	keeperCount   = 3
	entryCount    = 2
	accountToken  = "crew-token"
	operatorToken = "office-token"
)

var (
	binary     string // path of the executable under test
	fleetCount int    // fleets started so far; part of their addresses
)

func TestProver(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(eventTimeout)
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

// process is one operating system process of a fleet: a member or a fake target. It
// can be started again with the same arguments.
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
	p.session.Kill().Wait(eventTimeout)
}

func (p *process) signal(s syscall.Signal) {
	GinkgoHelper()
	Expect(p.session.Command.Process.Signal(s)).To(Succeed())
}

// suspend stops the process and waits until all of its threads have stopped: SIGSTOP takes
// effect after the call returns, and a busy machine may run the process for longer.
func (p *process) suspend() {
	GinkgoHelper()
	p.signal(syscall.SIGSTOP)
	tasks := fmt.Sprintf("/proc/%d/task/*/stat", p.session.Command.Process.Pid)
	Eventually(func(g Gomega) {
		files, err := filepath.Glob(tasks)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(files).NotTo(BeEmpty())
		for _, f := range files {
			stat, err := os.ReadFile(f)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(string(stat)).To(ContainSubstring(") T "))
		}
	}).Should(Succeed())
}

// end kills the process if it is running, also if it is suspended.
func (p *process) end() {
	if p.session.ExitCode() < 0 {
		_ = p.session.Command.Process.Signal(syscall.SIGCONT)
		p.kill()
	}
}

// fleet is a set of processes. Each fleet has a loopback network of its own and each
// node an address of its own in it, so that fixed ports cannot collide with those of
// tests that run at the same time.
type fleet struct {
	tb      testing.TB
	net     string // first three bytes of its IP addresses
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
	fleetCount++
	f := &fleet{
		net: fmt.Sprintf("127.%d.%d", 192+os.Getpid()%60, fleetCount), dir: tb.TempDir(), tb: tb,
		key: []byte("0123456789abcdef0123456789abcdef"), agents: map[string]*process{}, engines: map[string]*process{},
	}
	Expect(os.WriteFile(f.path("key"), f.key, 0o600)).To(Succeed())
	for i := range keeperCount {
		s := f.settings(keeperNode(i), setter.RoleKeeper)
		s.Listen, s.Admin, s.Folder = f.keeperAddress(i), f.adminAddress(i), f.path(s.Node)
		f.keepers = append(f.keepers, f.run(s))
		f.admin.Bases = append(f.admin.Bases, "http://"+s.Admin)
	}
	for i := range entryCount {
		s := f.settings(fmt.Sprintf("entry-%d", i), setter.RoleEntry)
		s.HTTP = f.entryAddress(i)
		f.entries = append(f.entries, f.run(s))
	}
	f.admin.Token = operator.FleetToken(f.key)
	f.apply(1)
	f.admin.Token = operatorToken
	for i := range f.keepers { // a follower accepts the operator token once it has applied version 1
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

// settings returns the settings that every node with this role has in common.
func (f *fleet) settings(node, role string) *setter.Setter {
	s := &setter.Setter{Node: node, Roles: []string{role}, Key: f.path("key"), Log: "info"}
	for i := range keeperCount {
		s.Keepers = append(s.Keepers, setter.Keeper{Node: keeperNode(i), Address: f.keeperAddress(i)})
	}
	return s
}

// run writes the settings to a file and starts a member of the fleet with them.
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

// target starts fake target number n and its agent, and returns its ID.
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

// engine starts a fake engine and its agent and returns the ID of the target.
func (f *fleet) engine(n int, flags ...string) string {
	return f.target(n, "letters", "engine", append([]string{"--model", "m"}, flags...)...)
}

// plain starts a fake plain service and its agent and returns the ID of the target.
func (f *fleet) plain(n int) string { return f.target(n, "portal", "plain") }

// driver returns a driver that calls fake target number n directly, bypassing its
// agent.
func (f *fleet) driver(n int) *driver.Driver {
	return &driver.Driver{BaseURL: fmt.Sprintf("http://%s.%d:9000", f.net, 100+n)}
}

// apply applies configuration number n and returns the accepted version.
func (f *fleet) apply(n int) uint64 {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	accepted, err := f.admin.Apply(ctx, f.folder(n), operator.Options{})
	Expect(err).NotTo(HaveOccurred())
	return accepted.Version
}

// folder writes configuration number n and returns its folder. The configurations
// differ in the share of an account only.
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
	}`, tokenHash(accountToken), n, tokenHash(operatorToken))
	Expect(os.WriteFile(filepath.Join(dir, "10-all.json"), []byte(text), 0o600)).To(Succeed())
	return dir
}

// version returns the configuration version that a keeper confirms to be in force, or
// 0 if none does.
func (f *fleet) version() uint64 {
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	config, err := f.admin.Configuration(ctx)
	if err != nil || !config.Confirmed {
		return 0
	}
	return config.Version
}

// status returns the status that keeper i reports, or nil if it does not answer.
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

// leader waits for a keeper that reports itself as the leader and returns its index.
func (f *fleet) leader() int {
	GinkgoHelper()
	leader := -1
	Eventually(func() int {
		leader = -1
		for i := range f.keepers {
			if st := f.status(i); st != nil && st.Leader == keeperNode(i) && st.Role.String() == "Leader" {
				leader = i
			}
		}
		return leader
	}).Should(BeNumerically(">=", 0))
	return leader
}
