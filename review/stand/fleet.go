package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Ports of the processes. They are the same on all machines, each of which has an address
// of its own.
const (
	portFront    = 8227
	portReady    = 8220
	portControl  = 8229
	portInternal = 7340
	portMetrics  = 9100
	portTarget   = 8120
)

// Last bytes of the addresses of the machines.
const (
	firstKeeper = 11
	firstEntry  = 21
	firstTarget = 101
	keeperCount = 3
)

// Bounds of the settings, as in the site file of the smallest deployment.
const (
	heartbeat   = 1200 * time.Millisecond
	contact     = 3 * time.Second
	revokeBound = 5 * time.Second
	grace       = 8 * time.Second
	zone        = "halle-gar"
)

// fleet is the project's processes with the stand-ins around them.
type fleet struct {
	rec     *record
	dir     string // temporary folder
	subnet  string // first three bytes of all addresses, with the dot after them
	keepers []*process
	entries []*process
	targets []*target
}

// process is one process of the project.
type process struct {
	name     string
	ip       string
	settings string // path of its settings file
	cmd      *exec.Cmd
	exited   chan struct{}
}

func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("temporary folder: %w", err)
	}
	f := &fleet{rec: rec, dir: dir}
	for range 50 {
		f.subnet = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250))
		if f.portsFree() {
			rec.line("addresses %s0/24", f.subnet)
			return f, nil
		}
	}
	return nil, errors.New("no free addresses")
}

func (f *fleet) portsFree() bool {
	for _, last := range []int{firstKeeper, firstEntry, firstTarget} {
		for _, port := range []int{portFront, portReady, portControl, portInternal, portMetrics, portTarget} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", f.subnet, last, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// close ends all processes that were started and waits for them.
func (f *fleet) close() {
	for _, t := range f.targets {
		t.crash()
	}
	for _, p := range append(f.keepers, f.entries...) {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	if err := os.RemoveAll(f.dir); err != nil {
		f.rec.line("temporary folder not removed: %v", err)
	}
}

func (f *fleet) keeperIP(i int) string { return fmt.Sprintf("%s%d", f.subnet, firstKeeper+i) }

func (f *fleet) seeds() []string {
	var out []string
	for i := range keeperCount {
		out = append(out, fmt.Sprintf("%s:%d", f.keeperIP(i), portControl))
	}
	return out
}

// startKeepers starts a group of keepers on empty disks.
func (f *fleet) startKeepers() error {
	for i := range keeperCount {
		p, err := f.start(fmt.Sprintf("core-%d", i+1), f.keeperIP(i), "core", map[string]string{"control": fmt.Sprintf("%s:%d", f.keeperIP(i), portControl)}, f.seeds())
		if err != nil {
			return err
		}
		f.keepers = append(f.keepers, p)
	}
	return nil
}

// startEntry starts an entry at the address with the given last byte.
func (f *fleet) startEntry(last int) (*process, error) {
	ip := fmt.Sprintf("%s%d", f.subnet, last)
	listen := map[string]string{"front": fmt.Sprintf("%s:%d", ip, portFront), "ready": fmt.Sprintf("%s:%d", ip, portReady)}
	p, err := f.start(fmt.Sprintf("front-%d", last), ip, "front", listen, f.seeds())
	if err != nil {
		return nil, err
	}
	f.entries = append(f.entries, p)
	return p, nil
}

// start starts a process with the command of the deploy file.
func (f *fleet) start(name, ip, class string, listen map[string]string, seeds []string) (*process, error) {
	p := &process{name: name, ip: ip, settings: filepath.Join(f.dir, name+".json"), exited: make(chan struct{})}
	if err := f.writeSettings(p, class, listen, seeds); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("log of %s: %w", name, err)
	}
	p.cmd = exec.Command("target/bramleyshunt", "platform")
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "LANG=C", "BRAMLEYSHUNT_NODE_FILE=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Join(fmt.Errorf("start %s: %w", name, err), log.Close())
	}
	f.rec.line("%s started at %s, process %d", name, ip, p.cmd.Process.Pid)
	go func() {
		err := p.cmd.Wait()
		f.rec.line("%s ended: %v (%s)", name, err, p.cmd.ProcessState)
		_ = log.Close()
		close(p.exited)
	}()
	return p, nil
}

func (f *fleet) writeSettings(p *process, class string, listen map[string]string, seeds []string) error {
	var serves []string
	for role := range listen {
		if role != "ready" {
			serves = append(serves, role)
		}
	}
	var folder any
	if class == "core" {
		folder = filepath.Join(f.dir, p.name+"-disk")
	}
	s := map[string]any{
		"nodeName": p.name, "role": class, "machineClass": class, "serves": serves, "ip": p.ip, "zone": zone, "region": "oberbayern",
		"zones": map[string]string{zone: "oberbayern"}, "listen": listen, "internalPorts": []int{portInternal, portInternal + 15},
		"seeds": seeds, "bootstrap": class == "core", "faultCounted": class == "core", "dataDir": folder, "discovery": "registry", "entry": "vip",
		"limits":      map[string]any{"cpuShare": 0.48, "cores": 1, "memoryMb": 280, "maxFds": 4096, "linkMbps": 1000.0, "diskMb": 128},
		"heartbeatMs": heartbeat.Milliseconds(), "contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "spans"},
		"tolerate": map[string]int{"machines": 1, "zones": 0, "regions": 0}, "configMode": "highest",
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": contact.Milliseconds(), "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
			"graceS": grace.Seconds(), "lossSlackMs": 200, "configMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000,
			"strictRevoke": true, "revokeMs": revokeBound.Milliseconds(), "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 104,
			"recoveryS": 12, "passMs": 120, "retryAfterS": 0, "stall_ms": 1500, "maxHoldMs": 20000, "freeMs": 4000, "maxIdleMs": 9000,
		},
	}
	data, err := json.MarshalIndent(s, "", "  ")
	if err == nil {
		err = os.WriteFile(p.settings+".new", data, 0o600)
	}
	if err == nil {
		err = os.Rename(p.settings+".new", p.settings)
	}
	if err != nil {
		return fmt.Errorf("settings of %s: %w", p.name, err)
	}
	return nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) } // it may have ended

func (p *process) url() string { return fmt.Sprintf("http://%s:%d", p.ip, portFront) }

// awaitReady waits until the entry answers the readiness probe with 200.
func (p *process) awaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		if p.ready(ctx) {
			return nil
		}
		sleep(ctx, time.Now().Add(50*time.Millisecond))
	}
	return fmt.Errorf("%s did not become ready: %w", p.name, ctx.Err())
}

func (p *process) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/v1/ready", p.ip, portReady), nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
