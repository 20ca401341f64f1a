package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"bramleyshunt/acceptor"
	"bramleyshunt/agent"
	"bramleyshunt/applier"
	"bramleyshunt/bufferer"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/controller"
	"bramleyshunt/entry"
	"bramleyshunt/evacuator"
	"bramleyshunt/keeper"
	"bramleyshunt/locator"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/orderer"
	"bramleyshunt/pooler"
	"bramleyshunt/proposer"
	"bramleyshunt/publisher"
	"bramleyshunt/retrier"
	"bramleyshunt/router"
	"bramleyshunt/setter"
	"bramleyshunt/sharer"
	"bramleyshunt/sleeper"
	"bramleyshunt/switcher"
	"bramleyshunt/watcher"
)

func (r *Runner) muxerConfig() muxer.Config {
	return muxer.Config{Node: r.cfg.Settings.Node, Key: r.cfg.Key}
}

func (r *Runner) startPool() error {
	pool, closer := pooler.New(r.muxerConfig())
	r.pool = pool
	r.onClose(closer)
	r.locator = &locator.Locator{Seeds: r.cfg.Settings.Keepers}
	r.proposer = &proposer.Proposer{Locator: r.locator, Pool: pool}
	return nil
}

func (r *Runner) startKeeper() error {
	s := r.cfg.Settings
	if !s.Has(setter.RoleKeeper) {
		return nil
	}
	r.Applier = &applier.Applier{Read: r.cfg.Read}
	a := r.Applier
	k, closer, err := keeper.New(keeper.Config{
		Node: s.Node, Peers: s.Keepers, Folder: s.Folder, Pool: r.pool,
		Address: s.Listen, Join: s.Join, Grow: s.Grow, ElectionTimeout: r.cfg.ElectionTimeout, HeartbeatInterval: r.cfg.ElectionTimeout / heartbeatsPerElection,
		Apply: a.Apply, Snapshot: a.Snapshot, Restore: a.Restore,
		Log: r.cfg.Log, Metrics: r.cfg.Metrics, Fatal: r.fatal, Files: r.cfg.Files,
	})
	if err != nil {
		return fmt.Errorf("keeper: %w", err)
	}
	r.Keeper = k
	r.proposer.Leader = func() string { return k.Status().Address }
	r.onClose(closer)
	p, closer, err := publisher.New(publisher.Config{
		Applier: a, Propose: k.Propose, Confirm: k.Confirm, Pool: r.pool,
		Leader: func() string { return k.Status().Address }, Members: r.keeperMembers, Address: s.Listen,
		Exclusive: s.Direct, ForgetTargets: r.cfg.Disabled.Off(switcher.RememberTargets),
		Log: r.cfg.Log, Metrics: r.cfg.Metrics,
	})
	if err != nil {
		return fmt.Errorf("publisher: %w", err)
	}
	r.Publisher = p
	r.onClose(closer)
	r.Evacuator = &evacuator.Evacuator{Call: r.proposer.Call, Evacuated: a.Evacuated, Targets: p.Targets, Log: r.cfg.Log}
	r.handlers = append(r.handlers, k.Handle, p.Handle)
	if !s.Direct {
		r.startController()
	}
	return nil
}

// keeperMembers returns the members of the keepers' group, or nil if the group does
// not grow: the settings then hold all addresses.
func (r *Runner) keeperMembers() []messenger.Member {
	if !r.cfg.Settings.Grow {
		return nil
	}
	st := r.Keeper.Status()
	all := slices.Concat(st.Voters, st.Learners)
	r.locator.SetMembers(all)
	return all
}

// startController starts the controller, which scales services and places models
// only while this keeper leads.
func (r *Runner) startController() {
	o := &orderer.Orderer{Call: r.proposer.Call, Pool: r.pool}
	_, closer := controller.New(controller.Config{
		Targets: func() []messenger.Target { return r.Applier.Evacuated().Mark(r.Publisher.Targets()) }, Leading: r.leading,
		View:  func() *configurer.Configurer { return r.Applier.View().Config },
		Fence: o.IssueFence, Send: o.Send, Log: r.cfg.Log, Metrics: r.cfg.Metrics,
	})
	r.onClose(closer)
}

// leading reports whether this keeper leads under a valid lease, so that no other
// keeper can lead.
func (r *Runner) leading() bool {
	st := r.Keeper.Status()
	return st.Leader == st.Node && time.Now().Before(st.Lease)
}

// startWatcher starts the watcher, which follows the configuration and the targets.
// An agent without an entry follows the configuration only.
func (r *Runner) startWatcher() error {
	s := r.cfg.Settings
	if !s.Has(setter.RoleEntry) && !s.Has(setter.RoleAgent) {
		return nil
	}
	w, closer, err := watcher.New(watcher.Config{
		Node: s.Node, Locator: r.locator, Pool: r.pool, Lean: !s.Has(setter.RoleEntry),
		Read: r.cfg.Read, StaleAfter: r.cfg.StaleAfter, Now: sleeper.Now,
		Log: r.cfg.Log, Metrics: r.cfg.Metrics,
	})
	if err != nil {
		return fmt.Errorf("watcher: %w", err)
	}
	r.watcher = w
	r.onClose(closer)
	return nil
}

func (r *Runner) startAgent() error {
	if !r.cfg.Settings.Has(setter.RoleAgent) {
		return nil
	}
	a, closer, err := agent.New(agent.Config{
		Settings: r.cfg.Settings, Pool: r.pool, Call: r.proposer.Call, Version: r.Version, MaxBodies: r.cfg.Limits.Bodies(),
		Log: r.cfg.Log, Metrics: r.cfg.Metrics,
	})
	if err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	r.Agent = a
	r.onClose(closer)
	r.handlers = append(r.handlers, a.Handle)
	return nil
}

func (r *Runner) startEntry() error {
	if !r.cfg.Settings.Has(setter.RoleEntry) {
		return nil
	}
	entries := entryNames
	if s := r.cfg.Settings; !s.Direct || s.Listen == "" { // no entry announces itself, see startSharer
		entries = nil
	}
	e, closer, err := entry.New(entry.Config{
		Settings: r.cfg.Settings, Pool: r.pool, Call: r.proposer.Call, Bodies: r.Bodies,
		View:  r.watcher.View,
		Ready: r.watcher.Ready, SendsChanged: r.notifySharer, Allocator: r.cfg.Allocator, Exchange: r.cfg.Exchange, IDPerStart: r.cfg.IDPerStart, EjectFailing: r.cfg.EjectFailing, MaxRetryBudget: r.maxRetryBudget, Entries: entries, Seed: rand.Uint64(),
		Place:       r.askRelay,
		ColdOverage: r.cfg.ColdOverage, ColdSlack: r.cfg.ColdSlack,
		Disabled: r.cfg.Disabled, RetryRatio: r.cfg.RetryRatio, RetryWindow: r.cfg.RetryWindow,
		Log: r.cfg.Log, Metrics: r.cfg.Metrics,
	})
	if err != nil {
		return fmt.Errorf("entry: %w", err)
	}
	r.Entry = e
	r.onClose(closer)
	if s := r.cfg.Settings; s.Direct && s.Listen != "" {
		r.startSharer()
	}
	return nil
}

// startSharer starts the sharer, which reports the requests that this entry has in
// flight to the other entries.
func (r *Runner) startSharer() {
	cfg := sharer.Config{
		Node: r.cfg.Settings.Node, Address: r.cfg.Settings.Listen, Zone: r.cfg.Settings.Zone, Region: r.cfg.Settings.OwnRegion(), Pool: r.pool, Peers: r.liveEntries,
		Report: func() messenger.Share {
			return messenger.Share{Sends: r.Entry.Sends(), Limits: r.Entry.Limits(), Ejections: r.Entry.Ejections(), Uses: r.Entry.Uses()}
		},
		Record: func(m messenger.Share) {
			r.Entry.RecordSends(router.Peers{Sends: m.Sends, Entries: m.Entries, Oldest: time.Duration(m.Oldest) * time.Millisecond})
			r.Entry.RecordLimits(m.Limits)
			r.Entry.RecordEjections(m.Ejections)
			r.Entry.RecordUses(m.Uses, time.Duration(m.UsesAge)*time.Millisecond)
		},
		Place: r.Entry.PlaceFor, Keepers: r.keeperAddresses, Log: r.cfg.Log, Metrics: r.cfg.Metrics,
	}
	if r.cfg.Disabled.Off(switcher.ShareCounts) { // entries still divide retries and rate limits
		cfg.Report = func() messenger.Share { return messenger.Share{Limits: r.Entry.Limits()} }
		cfg.Record = func(m messenger.Share) { r.Entry.RecordLimits(m.Limits) }
	}
	s, closer := sharer.New(cfg)
	r.sharer.Store(s)
	r.onClose(closer)
	r.handlers = append(r.handlers, s.Handle)
}

// askRelay asks the entry that places requests for this one, if there is one.
func (r *Runner) askRelay(ctx context.Context, m *messenger.Place) (*messenger.Placed, error) {
	s := r.sharer.Load()
	if s == nil {
		return nil, nil
	}
	return s.Ask(ctx, m)
}

func (r *Runner) notifySharer() {
	if s := r.sharer.Load(); s != nil {
		s.Changed()
	}
}

// maxRetryBudget returns this entry's part of Config.FleetRetryBudget: the budget divided
// by the number of entries in the view, at most retrier.DefaultMaxBudget. Zero stands for
// the retrier's default.
func (r *Runner) maxRetryBudget(v *watcher.View) float64 {
	if v == nil || r.cfg.FleetRetryBudget == 0 {
		return 0
	}
	return min(retrier.DefaultMaxBudget, r.cfg.FleetRetryBudget/float64(max(1, len(v.ByService[sharer.ServiceEntries]))))
}

// entryNames returns the node names of the live entries in a view, sorted.
func entryNames(v *watcher.View) []string {
	var out []string
	for _, t := range v.ByService[sharer.ServiceEntries] {
		out = append(out, t.ID)
	}
	slices.Sort(out)
	return out
}

// liveEntries returns the live entries in this process's view.
func (r *Runner) liveEntries() []messenger.Target {
	v := r.watcher.View()
	if v == nil {
		return nil
	}
	return v.ByService[sharer.ServiceEntries]
}

func (r *Runner) keeperAddresses() []string {
	var out []string
	for _, k := range r.locator.Keepers() {
		out = append(out, k.Address)
	}
	return out
}

func (r *Runner) startListeners() error {
	s, l := r.cfg.Settings, r.cfg.Listeners
	if len(r.handlers) > 0 {
		if err := r.servePeers(l.Peers, s.Listen); err != nil {
			return err
		}
	}
	if r.Entry != nil && (l.HTTP != nil || s.HTTP != "") {
		if err := r.listenHTTP(l.HTTP, s.HTTP, r.Entry, acceptor.Config{Name: "callers", Max: r.cfg.Limits.Callers()}); err != nil {
			return err
		}
	}
	if l.Admin == nil && s.Admin == "" {
		return nil
	}
	bounds := acceptor.Config{Name: "admin", Max: r.cfg.Limits.Callers(), WriteTimeout: adminAnswerTimeout}
	return r.listenHTTP(l.Admin, s.Admin, r.adminHandler(), bounds)
}

func (r *Runner) servePeers(l net.Listener, addr string) error {
	l, err := listen(l, addr)
	if err != nil {
		return err
	}
	cfg := r.muxerConfig()
	cfg.Frames = &bufferer.Bufferer{Name: "frames", Max: r.cfg.Limits.Frames(), Log: r.cfg.Log, Metrics: r.cfg.Metrics}
	a := acceptor.New(l, acceptor.Config{Name: "peers", Max: r.cfg.Limits.Peers(), Log: r.cfg.Log, Metrics: r.cfg.Metrics})
	r.wg.Go(func() {
		if err := muxer.Serve(r.ctx, a, cfg, r.dispatch); err != nil {
			r.fatal(fmt.Errorf("serve %s: %w", l.Addr(), err))
		}
	})
	return nil
}

func (r *Runner) listenHTTP(l net.Listener, addr string, h http.Handler, bounds acceptor.Config) error {
	l, err := listen(l, addr)
	if err != nil {
		return err
	}
	r.serveHTTP(l, h, bounds)
	return nil
}

func listen(l net.Listener, addr string) (net.Listener, error) {
	if l != nil {
		return l, nil
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return l, nil
}

// Version returns the configuration version in force in this process, or zero if
// there is none.
func (r *Runner) Version() uint64 {
	if r.watcher == nil || r.watcher.View() == nil {
		return 0
	}
	return r.watcher.View().Version
}

// Targets returns the live targets in this process's view, or nil without a view.
func (r *Runner) Targets() []messenger.Target {
	if r.watcher == nil || r.watcher.View() == nil {
		return nil
	}
	return r.watcher.View().Targets
}

func errUnknownKind(k messenger.Kind) error {
	return coder.Errorf(coder.BadFrame, "no role of this process handles messages of kind %s", k)
}
