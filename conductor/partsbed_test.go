package conductor

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"bramleyshunt/applier"
	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/isolator"
	"bramleyshunt/messenger"
	"bramleyshunt/pooler"
	"bramleyshunt/setter"
	"bramleyshunt/watcher"
)

// publishDelay is the time after which entries have what a keeper was told.
const publishDelay = 50 * time.Millisecond

// partsBed is a fleet of entries, a keeper and two targets, in the time of a synctest bubble.
// Targets crash under requests with a bad part and are back at once.
type partsBed struct {
	t       *testing.T
	entries []*Conductor
	logs    *logtest.Hook
	bad     []uint64
	answer  func(ctx context.Context, a *Attempt) error // of requests without a bad part; nil for a success

	keeperDelay time.Duration // of its answers

	mu          sync.Mutex
	view        atomic.Pointer[watcher.View]
	keeper      applier.Applier
	index       uint64
	incarnation uint64
	sent        [][]uint64 // parts of the requests that reached targets
	requests    int
}

// withParts runs f with entries whose targets crash under the bad parts. Further fields of cfg
// are kept.
func withParts(t *testing.T, cfg Config, entries int, bad []uint64, f func(b *partsBed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log, logs := logtest.NewNullLogger()
		b := &partsBed{t: t, logs: logs, bad: bad, incarnation: 1}
		b.view.Store(twoTargets())
		for n := range entries {
			cfg := cfg
			cfg.Pool, cfg.View, cfg.Log = &pooler.Pooler{}, b.view.Load, logrus.NewEntry(log)
			cfg.Settings = &setter.Setter{Node: fmt.Sprint("entry-", n)}
			cfg.Call, cfg.Exchange = b.call, b.exchange
			cd, stop, err := New(cfg)
			if err != nil {
				t.Fatal(err)
			}
			defer stop()
			b.entries = append(b.entries, cd)
		}
		f(b)
	})
}

// call stands for the leading keeper.
func (b *partsBed) call(ctx context.Context, kind messenger.Kind, v, out any) error {
	var c *applier.Command
	switch kind {
	case messenger.KindSuspect:
		c = &applier.Command{Verb: applier.VerbSuspect, Suspect: v.(*messenger.Suspect)}
	case messenger.KindPropose:
		var err error
		if c, err = applier.DecodeCommand(v.(*messenger.Propose).Data); err != nil {
			return err
		}
	default:
		return fmt.Errorf("unexpected %s", kind)
	}
	answer := b.apply(c)
	if b.keeperDelay > 0 {
		select {
		case <-time.After(b.keeperDelay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if p, ok := out.(*messenger.Proposed); ok {
		p.Data = answer
	}
	time.AfterFunc(isolator.MinWait, func() {
		b.apply(&applier.Command{Verb: applier.VerbParts, Parts: &applier.PartsChange{}})
	})
	return nil
}

func (b *partsBed) apply(c *applier.Command) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.index++
	answer := b.keeper.Apply(b.index, c.Stamp(time.Now()))
	time.AfterFunc(publishDelay, b.publish)
	return answer
}

// publish gives the entries the state of the keeper.
func (b *partsBed) publish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := *b.view.Load()
	v.Isolated, v.Targets = b.keeper.Isolated(time.Now()), slices.Clone(v.Targets)
	for n := range v.Targets {
		v.Targets[n].Incarnation = b.incarnation
	}
	b.view.Store(&v)
}

func (b *partsBed) exchange(ctx context.Context, a *Attempt) error {
	b.mu.Lock()
	b.sent = append(b.sent, a.Request.Parts)
	crashes := slices.ContainsFunc(a.Request.Parts, func(id uint64) bool { return slices.Contains(b.bad, id) })
	if crashes {
		b.incarnation++
		time.AfterFunc(publishDelay, b.publish)
	}
	b.mu.Unlock()
	if crashes {
		return lost()
	}
	if b.answer == nil {
		return nil
	}
	return b.answer(ctx, a)
}

func lost() error { return &coder.Error{Code: coder.TargetLost, Run: coder.Unknown} }

// sends returns how many requests with a part reached targets.
func (b *partsBed) sends(part uint64) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, parts := range b.sent {
		if slices.Contains(parts, part) {
			n++
		}
	}
	return n
}

// send sends a request with the parts to an entry, and lets the fleet settle.
func (b *partsBed) send(entry int, parts ...uint64) error {
	b.t.Helper()
	err := <-b.start(entry, configurer.Path{Kind: configurer.KindSafe, MaxAttempts: 1}, parts...)
	time.Sleep(4 * publishDelay)
	return err
}

// start sends a request with the parts and returns the channel for its error.
func (b *partsBed) start(entry int, path configurer.Path, parts ...uint64) <-chan error {
	b.t.Helper()
	cd := b.entries[entry]
	ctx, r, end, err := cd.Begin(context.Background())
	if err != nil {
		b.t.Fatal(err)
	}
	b.requests++
	r.Config, r.Service, r.PathConfig, r.Parts = b.view.Load().Config, "s", &path, parts
	r.Body = fmt.Append(nil, b.requests)
	r.Answer = streamAnswer()
	done := make(chan error, 1)
	go func() {
		defer end()
		done <- cd.Do(ctx, r)
	}()
	return done
}

// request returns a request with the parts that is not sent.
func (b *partsBed) request(parts ...uint64) *chainer.Request {
	return &chainer.Request{Service: "s", Parts: parts}
}

// streamAnswer returns an answer of which each chunk is one event.
func streamAnswer() chainer.Answer {
	events := 0
	return chainer.Answer{
		SetWriteDeadline: func(time.Time) {}, Begin: func() bool { return true },
		Chunk:  func(messenger.Chunk) error { events++; return nil },
		Events: func() int { return events },
		End:    func(messenger.End) error { return nil },
	}
}

// emit emits events of an answer.
func emit(a *Attempt, events int) error {
	for range events {
		if err := a.Emit(messenger.Chunk{}); err != nil {
			return err
		}
	}
	return nil
}

// isolate sends requests with parts to the entries in turn until one is refused, each less than
// isolator.TrialDelay after the one before, so that none of them is a trial.
func (b *partsBed) isolate(parts ...uint64) {
	b.t.Helper()
	for n := range 10 {
		if isIsolated(b.send(n%len(b.entries), append(slices.Clone(parts), uint64(1000+n))...)) {
			return
		}
		time.Sleep(time.Second / 2)
	}
	b.t.Fatalf("requests with parts %v are not refused", parts)
}

func isIsolated(err error) bool {
	c := coder.Of(err)
	return c != nil && c.Code == coder.PartQuarantined && c.Retry == 0
}

func (b *partsBed) expectAnswered(entry int, parts ...uint64) {
	b.t.Helper()
	if err := b.send(entry, parts...); err != nil {
		b.t.Errorf("request with parts %v: %v", parts, err)
	}
}

func (b *partsBed) expectRefused(entry int, parts ...uint64) {
	b.t.Helper()
	before := len(b.sent)
	if err := b.send(entry, parts...); !isIsolated(err) || coder.Of(err).Run != coder.NotRun {
		b.t.Errorf("request with parts %v: %v, want code PartQuarantined and not run", parts, err)
	}
	if len(b.sent) > before {
		b.t.Errorf("request with parts %v reached a target", parts)
	}
}
