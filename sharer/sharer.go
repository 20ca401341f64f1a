// Package sharer exchanges with the other entries what each has in flight at the targets, so
// that all of them place requests by the same counts, and the rate limits that targets have
// named. The counts are a hint: an entry that receives none relies on its own counts and on
// the load that targets report. Package aggregator decides who sends what to whom.
package sharer

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/aggregator"
	"bramleyshunt/defaulter"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/pooler"
	"bramleyshunt/sleeper"
)

const (
	// ServiceEntries is the service under which entries announce themselves.
	ServiceEntries = "entries"

	// callTimeout is the timeout of an announcement and of opening a stream.
	callTimeout = time.Second
)

// Config configures a Sharer.
type Config struct {
	Node     string
	Address  string // at which other entries reach this one
	Zone     string // availability zone of this entry
	Region   string // of the zone; empty if unknown
	Pool     *pooler.Pooler
	Peers    func() []messenger.Target                                                           // live entries, including this one
	Report   func() messenger.Share                                                              // counts and limits of this entry; Node is filled in
	Record   func(messenger.Share)                                                               // called with those of all other entries
	Keepers  func() []string                                                                     // addresses of keepers
	Announce func(ctx context.Context, addr string, a *messenger.Announce) error                 // sends an announcement to a keeper; over Pool if nil
	Place    func(m *messenger.Place, reserve func([]messenger.Sent)) (*messenger.Placed, error) // picks the targets of another entry's request
	Log      *logrus.Entry
	Metrics  metrics.Registry
}

// Sharer exchanges counts with the other entries.
type Sharer struct {
	cfg     Config
	changed chan struct{}
	ctx     context.Context
	wg      conc.WaitGroup

	mu         sync.Mutex
	aggregator aggregator.Aggregator
	streams    map[string]*muxer.Stream // by address of the peer; nil while one is being opened
}

// New starts a Sharer. The returned function stops it and waits until its goroutines have
// ended.
func New(cfg Config) (*Sharer, func()) {
	now := time.Now
	defaulter.Fill(&cfg.Log, &cfg.Metrics, &now)
	ctx, cancel := context.WithCancel(context.Background())
	s := &Sharer{
		cfg: cfg, ctx: ctx, changed: make(chan struct{}, 1), streams: map[string]*muxer.Stream{},
		aggregator: aggregator.Aggregator{Node: cfg.Node},
	}
	if s.cfg.Announce == nil {
		s.cfg.Announce = s.announceTo
	}
	s.wg.Go(func() { s.announce(sleeper.Sleep) })
	s.wg.Go(s.share)
	return s, func() {
		cancel()
		s.wg.Wait()
	}
}

// Changed signals that the requests that this entry has in flight have changed. It never
// blocks.
func (s *Sharer) Changed() {
	select {
	case s.changed <- struct{}{}:
	default: // a signal is already pending
	}
}

// share sends counts to the peers when they change, and at least every
// aggregator.MaxInterval.
func (s *Sharer) share() {
	ticker := time.NewTicker(aggregator.MaxInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.changed:
		case <-ticker.C:
		}
		peers, own := s.cfg.Peers(), s.cfg.Report()
		s.mu.Lock()
		messages := s.aggregator.Round(time.Now(), peers, own)
		others, known := s.aggregator.Others(time.Now())
		interval := s.aggregator.Interval()
		s.mu.Unlock()
		for _, m := range messages {
			s.send(m)
		}
		s.closeStale(peers)
		if known {
			s.cfg.Record(others)
		}
		_ = sleeper.Sleep(s.ctx, interval)
	}
}

// send sends a message on the streams to its receivers. It opens missing and broken streams
// in the background, and skips peers whose stream is being opened.
func (s *Sharer) send(m aggregator.Message) {
	body, err := msgpack.Marshal(&m.Share) // once for all receivers
	if err != nil {
		s.cfg.Log.WithError(err).Error("could not encode counts")
		return
	}
	s.count(m, len(body))
	for _, p := range m.To {
		stream, opening := s.stream(p.Address)
		if opening || stream != nil && stream.Send(messenger.KindShare, msgpack.RawMessage(body)) == nil {
			continue
		}
		s.setStream(p.Address, nil)
		s.wg.Go(func() { s.open(p.Address, msgpack.RawMessage(body)) })
	}
}

// count counts the messages and bytes sent, by scope.
func (s *Sharer) count(m aggregator.Message, size int) {
	name := "share." + strings.ToLower(strings.TrimPrefix(m.Share.Scope.String(), "Scope"))
	metrics.GetOrRegisterCounter(name+".messages", s.cfg.Metrics).Inc(int64(len(m.To)))
	metrics.GetOrRegisterCounter(name+".bytes", s.cfg.Metrics).Inc(int64(len(m.To) * size))
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
func (s *Sharer) open(addr string, m msgpack.RawMessage) {
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

// Handle reports whether the first message of a stream holds the counts of another entry, or
// asks for the target of a request. In the first case it records the counts that arrive on the
// stream until the stream ends. Otherwise it returns at once.
func (s *Sharer) Handle(ctx context.Context, stream *muxer.Stream, first muxer.Message) bool {
	if first.Kind == messenger.KindPlace {
		s.place(stream, first)
		return true
	}
	if first.Kind != messenger.KindShare {
		return false
	}
	for msg := first; ; {
		var m messenger.Share
		if err := msg.Decode(&m); err != nil {
			s.cfg.Log.WithError(err).Warn("could not decode the counts of another entry")
			return true
		}
		s.record(m)
		var err error
		if msg, err = stream.Receive(ctx); err != nil || msg.Kind != messenger.KindShare {
			return true
		}
	}
}

// record records what another entry has sent. A sum over the fleet is used at once; what is
// to be added up is so in the next round.
func (s *Sharer) record(m messenger.Share) {
	now := time.Now()
	s.mu.Lock()
	s.aggregator.Record(now, m)
	var others messenger.Share
	known := false
	if m.Scope == messenger.ScopeFleet {
		others, known = s.aggregator.Others(now)
	}
	s.mu.Unlock()
	if known {
		s.cfg.Record(others)
	}
	if m.Scope != messenger.ScopeFleet {
		s.Changed()
	}
}
