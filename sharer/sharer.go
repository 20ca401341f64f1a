// Package sharer tells the other entries what this one has at targets, so that all
// of them place requests by the same counts. What it tells is a hint: an entry that
// hears nothing goes by its own counts and what targets report.
package sharer

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"

	"bramleyshunt/defaulter"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/pooler"
	"bramleyshunt/sleeper"
)

const (
	// ServiceEntries is the service under which entries announce themselves.
	ServiceEntries = "entries"

	// leastGap is the shortest time between two tellings.
	leastGap = 20 * time.Millisecond
	// peerGap is added for each peer, so that an entry sends and gets at most some
	// two hundred messages a second, whatever their number.
	peerGap = 5 * time.Millisecond
	// MostGap is the longest time between two tellings, below the time for which
	// they are believed.
	MostGap = 400 * time.Millisecond
	// announceEvery is the time between two announcements of this entry.
	announceEvery = time.Second
	// askLimit bounds one message.
	askLimit = time.Second
)

// Config is what a Sharer needs.
type Config struct {
	Node    string
	Address string // where other entries reach this one
	Pool    *pooler.Pooler
	Peers   func() []messenger.Target // entries that are live, this one among them
	Sends   func() []messenger.Sent   // what this one has at targets
	Learn   func(node string, sends []messenger.Sent)
	Keepers func() []string // addresses of keepers
	Log     *logrus.Entry
	Metrics metrics.Registry
}

// Sharer tells and hears.
type Sharer struct {
	cfg     Config
	changed chan struct{}
	ctx     context.Context
	wg      conc.WaitGroup

	mu      sync.Mutex
	streams map[string]*muxer.Stream // by address; nil while one is being opened
}

// New returns a Sharer and the function that ends it.
func New(cfg Config) (*Sharer, func()) {
	now := time.Now
	defaulter.Fill(&cfg.Log, &cfg.Metrics, &now)
	ctx, cancel := context.WithCancel(context.Background())
	s := &Sharer{cfg: cfg, ctx: ctx, changed: make(chan struct{}, 1), streams: map[string]*muxer.Stream{}}
	s.wg.Go(s.announce)
	s.wg.Go(s.tell)
	return s, func() {
		cancel()
		s.wg.Wait()
	}
}

// Gap returns the shortest time between two tellings to so many entries, this one
// among them.
func Gap(peers int) time.Duration { return leastGap + time.Duration(peers)*peerGap }

// Changed says that what this entry has at targets has changed. It never blocks.
func (s *Sharer) Changed() {
	select {
	case s.changed <- struct{}{}:
	default: // told already
	}
}

// announce keeps this entry known to keepers, and by them to the other entries.
func (s *Sharer) announce() {
	a := &messenger.Announce{Spread: true, Target: messenger.Target{
		ID: s.cfg.Node, Service: ServiceEntries, Address: s.cfg.Address, Incarnation: uint64(time.Now().UnixNano()),
	}}
	for i := 0; s.ctx.Err() == nil; i++ {
		if all := s.cfg.Keepers(); len(all) > 0 {
			s.announceTo(all[i%len(all)], a)
		}
		_ = sleeper.Sleep(s.ctx, announceEvery)
	}
}

func (s *Sharer) announceTo(addr string, a *messenger.Announce) {
	ctx, cancel := context.WithTimeout(s.ctx, askLimit)
	defer cancel()
	var out messenger.Announced
	conn, err := s.cfg.Pool.Get(ctx, addr)
	if err == nil {
		err = conn.Call(ctx, messenger.KindAnnounce, a, &out)
	}
	if err != nil {
		s.cfg.Log.WithError(err).WithField("keeper", addr).Debug("entry was not announced")
	}
}

// tell sends what this entry has whenever it changed, and every MostGap.
func (s *Sharer) tell() {
	t := time.NewTicker(MostGap)
	defer t.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.changed:
		case <-t.C:
		}
		peers := s.cfg.Peers()
		if len(peers) > 1 {
			s.send(peers, &messenger.Share{Node: s.cfg.Node, Sends: s.cfg.Sends()})
		}
		_ = sleeper.Sleep(s.ctx, Gap(len(peers)))
	}
}

func (s *Sharer) send(peers []messenger.Target, m *messenger.Share) {
	for _, p := range peers {
		if p.ID == s.cfg.Node {
			continue
		}
		stream, opening := s.stream(p.Address)
		if opening || stream != nil && stream.Send(messenger.KindShare, m) == nil {
			continue
		}
		s.set(p.Address, nil)
		s.wg.Go(func() { s.open(p.Address, m) })
	}
	s.prune(peers)
}

// stream returns the stream to an address, and whether one is being opened.
func (s *Sharer) stream(addr string) (*muxer.Stream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream, known := s.streams[addr]
	return stream, known && stream == nil
}

func (s *Sharer) set(addr string, stream *muxer.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[addr] = stream
}

func (s *Sharer) forget(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, addr)
}

// open begins a stream beside the others: a peer that can't be reached must not
// hold them up.
func (s *Sharer) open(addr string, m *messenger.Share) {
	ctx, cancel := context.WithTimeout(s.ctx, askLimit)
	defer cancel()
	var stream *muxer.Stream
	conn, err := s.cfg.Pool.Get(ctx, addr)
	if err == nil {
		stream, err = conn.Open(messenger.KindShare, m)
	}
	if err != nil {
		s.cfg.Log.WithError(err).WithField("entry", addr).Debug("another entry can't be reached")
		s.forget(addr)
		return
	}
	s.set(addr, stream)
}

// prune closes the streams to entries that have gone.
func (s *Sharer) prune(peers []messenger.Target) {
	live := map[string]bool{}
	for _, p := range peers {
		live[p.Address] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr, stream := range s.streams {
		if !live[addr] && stream != nil {
			stream.Close()
			delete(s.streams, addr)
		}
	}
}

// Handle serves a stream if its first message is of another entry. It reports
// false, at once, if it is not.
func (s *Sharer) Handle(ctx context.Context, stream *muxer.Stream, first muxer.Message) bool {
	if first.Kind != messenger.KindShare {
		return false
	}
	for msg := first; ; {
		var m messenger.Share
		if err := msg.Decode(&m); err != nil {
			s.cfg.Log.WithError(err).Warn("another entry's counts can't be read")
			return true
		}
		s.cfg.Learn(m.Node, m.Sends)
		var err error
		if msg, err = stream.Receive(ctx); err != nil || msg.Kind != messenger.KindShare {
			return true
		}
	}
}
