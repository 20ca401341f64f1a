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
	pollEvery    = 50 * time.Millisecond
	accountToken = "demo-crews"
)

//go:embed config/*.jsonc
var configFiles embed.FS

// process is one process of the fleet.
type process struct {
	node   string
	http   string // URL for callers
	admin  string // URL for operators
	peers  string // host:port
	runner *runner.Runner
	stop   func()
}

// fleet is every process and stand-in of the demo.
type fleet struct {
	key     []byte
	folder  string // temporary; data folders and the configuration
	log     *logrus.Entry
	keepers []*process
	entries []*process
	agents  []*process
	engines []*faker.Faker
	plain   []*faker.Faker
	closers []func()
}

func newFleet(log *logrus.Entry) (*fleet, func(), error) {
	f := &fleet{key: make([]byte, keyBytes), log: log}
	for _, start := range []func() error{f.prepare, f.startKeepers, f.startEntries, f.startEngines, f.startPlain} {
		if err := start(); err != nil {
			f.close()
			return nil, nil, err
		}
	}
	return f, f.close, nil
}

func (f *fleet) own(closer func()) { f.closers = append(f.closers, closer) }

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
	f.own(func() { _ = os.RemoveAll(folder) })
	return nil
}

// launch starts one process on loopback ports of its own.
func (f *fleet) launch(s *setter.Setter, l runner.Listeners) (*process, error) {
	p := &process{node: s.Node, peers: address(l.Peers), http: "http://" + address(l.HTTP), admin: "http://" + address(l.Admin)}
	r, stop, err := runner.New(runner.Config{Settings: s, Key: f.key, Log: f.log, Listeners: l})
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", s.Node, err)
	}
	p.runner, p.stop = r, stop
	f.own(stop)
	return p, nil
}

func address(l net.Listener) string {
	if l == nil {
		return ""
	}
	return l.Addr().String()
}

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
	var names []setter.Keeper
	for i, l := range peers {
		names = append(names, setter.Keeper{Node: fmt.Sprintf("keeper-%d", i+1), Address: l.Addr().String()})
	}
	for i, l := range peers {
		admin, err := listen(1)
		if err != nil {
			return err
		}
		s := &setter.Setter{
			Node: names[i].Node, Roles: []string{setter.RoleKeeper}, Keepers: names,
			Folder: filepath.Join(f.folder, names[i].Node),
		}
		p, err := f.launch(s, runner.Listeners{Peers: l, Admin: admin[0]})
		if err != nil {
			return err
		}
		f.keepers = append(f.keepers, p)
	}
	return nil
}

// known lists where keepers are found.
func (f *fleet) known() []setter.Keeper {
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
		s := &setter.Setter{Node: fmt.Sprintf("entry-%d", i+1), Roles: []string{setter.RoleEntry}, Keepers: f.known()}
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
			Kind: faker.KindEngine, Model: "erzaehler", Version: "1", Memory: engineMemory, Fences: i%2 == 0,
		})
		if err != nil {
			return fmt.Errorf("start engine: %w", err)
		}
		f.own(stop)
		f.engines = append(f.engines, e)
		target := setter.Target{Service: "erzaehler", Kind: "engine", Model: "erzaehler", URL: e.URL(), Fences: i%2 == 0}
		if err := f.startAgent(fmt.Sprintf("engine-%d", i+1), target); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startPlain() error {
	for i := range plainCount {
		e, stop, err := faker.New(faker.Config{Kind: faker.KindPlain})
		if err != nil {
			return fmt.Errorf("start plain service: %w", err)
		}
		f.own(stop)
		f.plain = append(f.plain, e)
		target := setter.Target{Service: "spurbuch", Kind: "plain", URL: e.URL()}
		if err := f.startAgent(fmt.Sprintf("spurbuch-%d", i+1), target); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startAgent(node string, t setter.Target) error {
	l, err := listen(2)
	if err != nil {
		return err
	}
	t.ID = node
	s := &setter.Setter{Node: node, Roles: []string{setter.RoleAgent}, Keepers: f.known(), Listen: l[0].Addr().String(), Target: t}
	p, err := f.launch(s, runner.Listeners{Peers: l[0], Admin: l[1]})
	if err != nil {
		return err
	}
	f.agents = append(f.agents, p)
	return nil
}

// configure writes the embedded folder with hashed tokens and applies it.
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

// apply sends the folder to one keeper after the other until one accepts it.
func (f *fleet) apply(ctx context.Context, folder, token string) (uint64, error) {
	o := operator.Operator{Token: token}
	for _, k := range f.keepers {
		o.Bases = append(o.Bases, k.admin)
	}
	accepted, err := o.Apply(ctx, folder, operator.Options{})
	return accepted.Version, err
}

func hashed(token string) string { return hex.EncodeToString(sum(token)) }

// ready waits until every entry serves and knows all targets.
func (f *fleet) ready(ctx context.Context) error {
	for {
		if f.served(ctx) {
			return nil
		}
		if sleeper.Sleep(ctx, pollEvery) != nil {
			return errors.New("entries did not become ready")
		}
	}
}

func (f *fleet) served(ctx context.Context) bool {
	for _, e := range f.entries {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.http+"/ready", nil)
		if err != nil {
			return false
		}
		resp, err := http.DefaultClient.Do(req)
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
	l := &loader.Loader{Token: accountToken, Model: "erzaehler", Check: whole}
	for _, e := range f.entries {
		l.EntryURLs = append(l.EntryURLs, e.http)
	}
	return l
}

// leader returns the keeper that leads, or nil.
func (f *fleet) leader() *process {
	for _, k := range f.keepers {
		if st := k.runner.Keeper.Status(); st.Leader == k.node {
			return k
		}
	}
	return nil
}
