package demonstrator

import (
	"context"
	"crypto/rand"
	"embed"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"bramleyshunt/fetcher"

	"github.com/sirupsen/logrus"

	"bramleyshunt/faker"
	"bramleyshunt/loader"
	"bramleyshunt/operator"
	"bramleyshunt/runner"
	"bramleyshunt/setter"
	"bramleyshunt/sleeper"
)

const (
	keeperCount = 3
	entryCount  = 2
	engineCount = 4
	plainCount  = 2

	engineMemory = 400_000 // tokens
	keyBytes     = 32
	pollInterval = 50 * time.Millisecond
	accountToken = "demo-crews"
)

//go:embed config/*.jsonc
var configFiles embed.FS

// process is one member of the fleet. It runs inside the process of the demo.
type process struct {
	node   string
	http   string // base URL for clients
	admin  string // base URL for operators
	peers  string // host:port for other members
	runner *runner.Runner
	stop   func()
}

// fleet holds all members and fake targets of the demo.
type fleet struct {
	key      []byte
	folder   string // temporary; contains the data folders and the configuration
	log      *logrus.Entry
	keepers  []*process
	entries  []*process
	agents   []*process
	engines  []*faker.Faker
	services []*faker.Faker
	closers  []func() // called in reverse order
}

func newFleet(log *logrus.Entry) (*fleet, func(), error) {
	f := &fleet{key: make([]byte, keyBytes), log: log}
	for _, start := range []func() error{f.prepare, f.startKeepers, f.startEntries, f.startEngines, f.startPlainServices} {
		if err := start(); err != nil {
			f.close()
			return nil, nil, err
		}
	}
	return f, f.close, nil
}

func (f *fleet) addCloser(closer func()) { f.closers = append(f.closers, closer) }

func (f *fleet) close() {
	for i := len(f.closers) - 1; i >= 0; i-- {
		f.closers[i]()
	}
}

func (f *fleet) prepare() error {
	if _, err := rand.Read(f.key); err != nil {
		return fmt.Errorf("fleet key: %w", err)
	}
	folder, err := os.MkdirTemp("", "bramleyshunt-demo-")
	if err != nil {
		return fmt.Errorf("temporary folder: %w", err)
	}
	f.folder = folder
	f.addCloser(func() { _ = os.RemoveAll(folder) })
	return nil
}

// launch starts one member of the fleet on the given loopback listeners.
func (f *fleet) launch(s *setter.Setter, l runner.Listeners) (*process, error) {
	p := &process{node: s.Node, peers: address(l.Peers), http: "http://" + address(l.HTTP), admin: "http://" + address(l.Admin)}
	r, stop, err := runner.New(runner.Config{Settings: s, Key: f.key, Log: f.log, Listeners: l})
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", s.Node, err)
	}
	p.runner, p.stop = r, stop
	f.addCloser(stop)
	return p, nil
}

func address(l net.Listener) string {
	if l == nil {
		return ""
	}
	return l.Addr().String()
}

// listen opens n listeners on loopback ports that the system chooses.
func listen(n int) ([]net.Listener, error) {
	all := make([]net.Listener, n)
	for i := range all {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("listen on loopback: %w", err)
		}
		all[i] = l
	}
	return all, nil
}

func (f *fleet) startKeepers() error {
	peers, err := listen(keeperCount)
	if err != nil {
		return err
	}
	var keepers []setter.Keeper
	for i, l := range peers {
		keepers = append(keepers, setter.Keeper{Node: fmt.Sprintf("keeper-%d", i+1), Address: l.Addr().String()})
	}
	for i, l := range peers {
		admin, err := listen(1)
		if err != nil {
			return err
		}
		s := &setter.Setter{
			Node: keepers[i].Node, Roles: []string{setter.RoleKeeper}, Keepers: keepers,
			Folder: filepath.Join(f.folder, keepers[i].Node),
		}
		p, err := f.launch(s, runner.Listeners{Peers: l, Admin: admin[0]})
		if err != nil {
			return err
		}
		f.keepers = append(f.keepers, p)
	}
	return nil
}

// keeperSettings returns the names and addresses of the keepers, as in settings.
func (f *fleet) keeperSettings() []setter.Keeper {
	var all []setter.Keeper
	for _, k := range f.keepers {
		all = append(all, setter.Keeper{Node: k.node, Address: k.peers})
	}
	return all
}

func (f *fleet) startEntries() error {
	for i := range entryCount {
		l, err := listen(2)
		if err != nil {
			return err
		}
		s := &setter.Setter{Node: fmt.Sprintf("entry-%d", i+1), Roles: []string{setter.RoleEntry}, Keepers: f.keeperSettings()}
		p, err := f.launch(s, runner.Listeners{HTTP: l[0], Admin: l[1]})
		if err != nil {
			return err
		}
		f.entries = append(f.entries, p)
	}
	return nil
}

func (f *fleet) startEngines() error {
	for i := range engineCount {
		e, stop, err := faker.New(faker.Config{
			Kind: faker.KindEngine, Model: "erzaehler", Version: "1", Memory: engineMemory, CheckFences: i%2 == 0,
		})
		if err != nil {
			return fmt.Errorf("start engine: %w", err)
		}
		f.addCloser(stop)
		f.engines = append(f.engines, e)
		target := setter.Target{Service: "erzaehler", Kind: "engine", Model: "erzaehler", URL: e.URL(), Fences: i%2 == 0}
		if err := f.startAgent(fmt.Sprintf("engine-%d", i+1), target); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startPlainServices() error {
	for i := range plainCount {
		e, stop, err := faker.New(faker.Config{Kind: faker.KindPlain})
		if err != nil {
			return fmt.Errorf("start plain service: %w", err)
		}
		f.addCloser(stop)
		f.services = append(f.services, e)
		target := setter.Target{Service: "spurbuch", Kind: "plain", URL: e.URL()}
		if err := f.startAgent(fmt.Sprintf("spurbuch-%d", i+1), target); err != nil {
			return err
		}
	}
	return nil
}

// startAgent starts an agent for t. The name of its node is also the ID of the target.
func (f *fleet) startAgent(node string, t setter.Target) error {
	l, err := listen(2)
	if err != nil {
		return err
	}
	t.ID = node
	s := &setter.Setter{Node: node, Roles: []string{setter.RoleAgent}, Keepers: f.keeperSettings(), Listen: l[0].Addr().String(), Target: t}
	p, err := f.launch(s, runner.Listeners{Peers: l[0], Admin: l[1]})
	if err != nil {
		return err
	}
	f.agents = append(f.agents, p)
	return nil
}

// configure writes the embedded configuration with hashed tokens, applies it and
// returns its version.
func (f *fleet) configure(ctx context.Context) (uint64, error) {
	folder := filepath.Join(f.folder, "config")
	if err := os.Mkdir(folder, 0o700); err != nil {
		return 0, fmt.Errorf("configuration folder: %w", err)
	}
	if err := writeConfig(folder); err != nil {
		return 0, err
	}
	return f.apply(ctx, folder, operator.FleetToken(f.key))
}

// apply sends the configuration folder to the keepers in turn until one accepts it,
// and returns its version.
func (f *fleet) apply(ctx context.Context, folder, token string) (uint64, error) {
	o := operator.Operator{Token: token}
	for _, k := range f.keepers {
		o.Bases = append(o.Bases, k.admin)
	}
	accepted, err := o.Apply(ctx, folder, operator.Options{})
	return accepted.Version, err
}

func hexHash(token string) string { return hex.EncodeToString(hashToken(token)) }

// waitReady waits until every entry is ready and has received all targets.
func (f *fleet) waitReady(ctx context.Context) error {
	for {
		if f.allReady(ctx) {
			return nil
		}
		if sleeper.Sleep(ctx, pollInterval) != nil {
			return errors.New("entries did not become ready")
		}
	}
}

// allReady reports whether every entry is ready and has received all targets.
func (f *fleet) allReady(ctx context.Context) bool {
	for _, e := range f.entries {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.http+"/ready", nil)
		if err != nil {
			return false
		}
		resp, err := fetcher.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK || len(e.runner.Targets()) < engineCount+plainCount {
			return false
		}
	}
	return true
}

func (f *fleet) loader() *loader.Loader {
	l := &loader.Loader{Token: accountToken, Model: "erzaehler", Check: isAnswer}
	for _, e := range f.entries {
		l.EntryURLs = append(l.EntryURLs, e.http)
	}
	return l
}

// leader returns the leading keeper, or nil if there is none.
func (f *fleet) leader() *process {
	for _, k := range f.keepers {
		if st := k.runner.Keeper.Status(); st.Leader == k.node {
			return k
		}
	}
	return nil
}
