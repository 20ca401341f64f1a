// Package sharer reports the number of requests that this entry has in flight at each
// target to the other entries, so that all of them place requests by the same counts, and
// the rate limits that targets have named to it. The counts are a hint: an entry that
// receives none relies on its own counts and on the load that targets report.
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

	// baseInterval is the part of the minimum interval between two messages to the same
	// peer that does not depend on the number of peers.
	baseInterval = 20 * time.Millisecond
	// intervalPerPeer is added for each peer, so that an entry sends and receives at
	// most about 200 messages per second, however many peers there are.
	intervalPerPeer = 5 * time.Millisecond
	// MaxInterval is the maximum interval between two messages to the same peer. It is
	// shorter than the time for which the receiver trusts the counts.
	MaxInterval = 400 * time.Millisecond
	// announceInterval is the time between two announcements of this entry to keepers.
	announceInterval = time.Second
	// callTimeout is the timeout of an announcement and of opening a stream.
	callTimeout = time.Second
)

// Config configures a Sharer.
type Config struct {
	Node    string
	Address string // at which other entries reach this one
	Pool    *pooler.Pooler
	Peers   func() []messenger.Target // live entries, including this one
	Report  func() messenger.Share    // counts and limits of this entry; Node is filled in
	Record  func(messenger.Share)     // called with those of another entry
	Keepers func() []string           // addresses of keepers
	Log     *logrus.Entry
	Metrics metrics.Registry
}

// Sharer exchanges counts with the other entries.
type Sharer struct {
	cfg     Config
	changed chan struct{}
	ctx     context.Context
	wg      conc.WaitGroup

	mu      sync.Mutex
	streams map[string]*muxer.Stream // by address of the peer; nil while one is being opened
}

// New starts a Sharer. The returned function stops it and waits until its goroutines have
// ended.
func New(cfg Config) (*Sharer, func()) {
	now := time.Now
	defaulter.Fill(&cfg.Log, &cfg.Metrics, &now)
	ctx, cancel := context.WithCancel(context.Background())
	s := &Sharer{cfg: cfg, ctx: ctx, changed: make(chan struct{}, 1), streams: map[string]*muxer.Stream{}}
	s.wg.Go(s.announce)
	s.wg.Go(s.share)
	return s, func() {
		cancel()
		s.wg.Wait()
	}
}

// MinInterval returns the minimum interval between two messages to the same peer, given
// the number of entries including this one.
func MinInterval(peers int) time.Duration { return baseInterval + time.Duration(peers)*intervalPerPeer }

// Changed signals that the requests that this entry has in flight have changed. It never
// blocks.
func (s *Sharer) Changed() {
	select {
	case s.changed <- struct{}{}:
	default: // a signal is already pending
	}
}

// announce announces this entry to the keepers in turn. They forward the announcement to
// the other entries.
func (s *Sharer) announce() {
	a := &messenger.Announce{Spread: true, Target: messenger.Target{
		ID: s.cfg.Node, Service: ServiceEntries, Address: s.cfg.Address, Incarnation: uint64(time.Now().UnixNano()),
	}}
	for i := 0; s.ctx.Err() == nil; i++ {
		if keepers := s.cfg.Keepers(); len(keepers) > 0 {
			s.announceTo(keepers[i%len(keepers)], a)
		}
		_ = sleeper.Sleep(s.ctx, announceInterval)
	}
}

func (s *Sharer) announceTo(addr string, a *messenger.Announce) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	var out messenger.Announced
	conn, err := s.cfg.Pool.Get(ctx, addr)
	if err == nil {
		err = conn.Call(ctx, messenger.KindAnnounce, a, &out)
	}
	if err != nil {
		s.cfg.Log.WithError(err).WithField("keeper", addr).Debug("announcement of this entry to a keeper failed")
	}
}

// share sends the counts of this entry to its peers when they change, and at least every
// MaxInterval.
func (s *Sharer) share() {
	ticker := time.NewTicker(MaxInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.changed:
		case <-ticker.C:
		}
		peers := s.cfg.Peers()
		if len(peers) > 1 {
			m := s.cfg.Report()
			m.Node = s.cfg.Node
			s.send(peers, &m)
		}
		_ = sleeper.Sleep(s.ctx, MinInterval(len(peers)))
	}
}

// send sends the counts on the streams to the peers. It opens missing and broken streams
// in the background, and skips peers whose stream is being opened.
func (s *Sharer) send(peers []messenger.Target, m *messenger.Share) {
	for _, p := range peers {
		if p.ID == s.cfg.Node {
			continue
		}
		stream, opening := s.stream(p.Address)
		if opening || stream != nil && stream.Send(messenger.KindShare, m) == nil {
			continue
		}
		s.setStream(p.Address, nil)
		s.wg.Go(func() { s.open(p.Address, m) })
	}
	s.closeStale(peers)
}

// stream returns the stream to an address, or nil, and reports whether one is being
// opened.
func (s *Sharer) stream(addr string) (*muxer.Stream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream, known := s.streams[addr]
	return stream, known && stream == nil
}

func (s *Sharer) setStream(addr string, stream *muxer.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[addr] = stream
}

func (s *Sharer) removeStream(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.streams, addr)
}

// open opens a stream to a peer. It runs in its own goroutine, so that an unreachable peer
// does not delay the messages to the others.
func (s *Sharer) open(addr string, m *messenger.Share) {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	var stream *muxer.Stream
	conn, err := s.cfg.Pool.Get(ctx, addr)
	if err == nil {
		stream, err = conn.Open(messenger.KindShare, m)
	}
	if err != nil {
		s.cfg.Log.WithError(err).WithField("entry", addr).Debug("could not open a stream to another entry")
		s.removeStream(addr)
		return
	}
	s.setStream(addr, stream)
}

// closeStale closes the streams to entries that are not live any more.
func (s *Sharer) closeStale(peers []messenger.Target) {
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

// Handle reports whether the first message of a stream holds the counts of another entry.
// If so, it records the counts that arrive on the stream until the stream ends. Otherwise
// it returns at once and leaves the stream to other handlers.
func (s *Sharer) Handle(ctx context.Context, stream *muxer.Stream, first muxer.Message) bool {
	if first.Kind != messenger.KindShare {
		return false
	}
	for msg := first; ; {
		var m messenger.Share
		if err := msg.Decode(&m); err != nil {
			s.cfg.Log.WithError(err).Warn("could not decode the counts of another entry")
			return true
		}
		s.cfg.Record(m)
		var err error
		if msg, err = stream.Receive(ctx); err != nil || msg.Kind != messenger.KindShare {
			return true
		}
	}
}
