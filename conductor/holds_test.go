package conductor

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
	"bramleyshunt/pooler"
	"bramleyshunt/router"
	"bramleyshunt/watcher"
)

// holdBed is a Conductor before targets that leave or pause, in the time of a synctest
// bubble.
type holdBed struct {
	*WithT
	t        *testing.T
	cd       *Conductor
	logs     *logtest.Hook
	counters metrics.Registry
	view     atomic.Pointer[watcher.View]
	answer   func(ctx context.Context, a *Attempt) error // nil for a success
	slots    chan struct{}                               // see takeSlots

	mu      sync.Mutex
	reached []string // target ids of all attempts
}

// withHolds runs f with a Conductor that has a view. Further fields of cfg are kept.
func withHolds(t *testing.T, cfg Config, v *watcher.View, f func(b *holdBed)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log, logs := logtest.NewNullLogger()
		b := &holdBed{WithT: NewWithT(t), t: t, logs: logs, counters: metrics.NewRegistry()}
		b.view.Store(v)
		cfg.Pool, cfg.View, cfg.Log, cfg.Metrics = &pooler.Pooler{}, b.view.Load, logrus.NewEntry(log), b.counters
		cfg.Exchange = b.exchange
		cd, stop, err := New(cfg)
		b.Expect(err).NotTo(HaveOccurred())
		defer stop()
		b.cd = cd
		f(b)
	})
}

func (b *holdBed) exchange(ctx context.Context, a *Attempt) error {
	b.mu.Lock()
	b.reached = append(b.reached, a.Target.ID)
	b.mu.Unlock()
	if b.answer == nil {
		return nil
	}
	return b.answer(ctx, a)
}

// targetsReached returns the targets of the attempts since the last call.
func (b *holdBed) targetsReached() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.reached
	b.reached = nil
	return out
}

// safePath allows one retry.
func safePath() configurer.Path { return configurer.Path{Kind: configurer.KindSafe, MaxAttempts: 2} }

// send sends a request and waits for its answer.
func (b *holdBed) send() error {
	_, err := do(b.t, b.cd, safePath())
	return err
}

// start sends a request and waits until it runs or is queued.
func (b *holdBed) start() <-chan error {
	done := make(chan error, 1)
	go func() {
		_, err := do(b.t, b.cd, safePath())
		done <- err
	}()
	synctest.Wait()
	return done
}

// leave marks a target of a view.
func (b *holdBed) leave(t messenger.Target) { b.cd.control.recordLeaving("r", router.Pick{Target: t}) }

// pause records that a target of a view asked for a pause.
func (b *holdBed) pause(t messenger.Target, d time.Duration) {
	b.cd.control.recordPause("r", router.Pick{Target: t}, d)
}

// target returns a target of the current view.
func (b *holdBed) target(i int) messenger.Target { return b.view.Load().Targets[i] }

// expectUsed expects that the next request reaches one of the targets at once.
func (b *holdBed) expectUsed(ids ...string) {
	b.t.Helper()
	b.targetsReached()
	since := time.Now()
	b.Expect(b.send()).To(Succeed())
	b.Expect(time.Since(since)).To(BeZero())
	b.Expect(ids).To(ContainElements(b.targetsReached()))
}

// expectRefused expects that an error refuses a request that did not run, until the earliest
// pause ends.
func (b *holdBed) expectRefused(err error, retry time.Duration) {
	b.t.Helper()
	c := coder.Of(err)
	b.Expect(c).NotTo(BeNil())
	b.Expect(*c).To(And(HaveField("Code", coder.Overloaded), HaveField("Run", coder.NotRun), HaveField("Retry", retry)), "%v", err)
}

// expectAllPaused expects that a request is refused at once and reaches no target.
func (b *holdBed) expectAllPaused(retry time.Duration) {
	b.t.Helper()
	b.targetsReached()
	since := time.Now()
	b.expectRefused(b.send(), retry)
	b.Expect(time.Since(since)).To(BeZero())
	b.Expect(b.targetsReached()).To(BeEmpty())
}

// lines returns the log lines with a message.
func (b *holdBed) lines(msg string) (out []logrus.Fields) {
	for _, e := range b.logs.AllEntries() {
		if e.Message == msg {
			out = append(out, e.Data)
		}
	}
	return out
}

// blocking makes all attempts run until their channel is closed.
func (b *holdBed) blocking(ids ...string) map[string]chan struct{} {
	ends := map[string]chan struct{}{}
	for _, id := range ids {
		ends[id] = make(chan struct{})
	}
	b.answer = func(ctx context.Context, a *Attempt) error {
		select {
		case <-ends[a.Target.ID]:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return ends
}

// oneSlotEach returns a view of two targets that run one request each.
func oneSlotEach() *watcher.View {
	v := twoTargets()
	for i := range v.Targets {
		v.Targets[i].Slots = 1
	}
	return v
}

// Guards against a queued request that is sent to a target that has said meanwhile that it
// leaves, and against ending what runs there.
func TestQueuedRequestGoesToAnotherTargetThanTheOneThatLeaves(t *testing.T) {
	withHolds(t, Config{}, oneSlotEach(), func(b *holdBed) {
		ends := b.blocking("t1", "t2")
		running := []<-chan error{b.start(), b.start()}
		queued := b.start()
		b.Expect(b.targetsReached()).To(ConsistOf("t1", "t2"))
		b.leave(b.target(0))
		<-time.After(time.Second)
		b.Expect(running[0]).NotTo(Receive())
		b.Expect(running[1]).NotTo(Receive())
		close(ends["t1"])
		synctest.Wait()
		b.Expect(b.targetsReached()).To(BeEmpty())
		close(ends["t2"])
		for _, done := range append(running, queued) {
			b.Expect(<-done).To(Succeed())
		}
		b.Expect(b.targetsReached()).To(Equal([]string{"t2"}))
	})
}

// Guards against a stream that is cut off because its own answer says that the target leaves.
func TestStreamAtLeavingTargetEndsInPeace(t *testing.T) {
	withHolds(t, Config{}, oneTarget(1), func(b *holdBed) {
		b.answer = func(ctx context.Context, a *Attempt) error {
			a.ReportLeaving()
			for range 5 {
				if err := a.Emit(messenger.Chunk{Data: []byte("x")}); err != nil {
					return err
				}
				<-time.After(time.Second)
			}
			return ctx.Err()
		}
		done := b.start()
		<-time.After(time.Second)
		b.Expect(coder.Of(b.send())).To(HaveField("Code", coder.NoTarget))
		b.Expect(<-done).To(Succeed())
		b.Expect(b.targetsReached()).To(HaveLen(1))
	})
}

// Guards against a mark that is undone by a view that calls the target in use, and against
// one that binds a target that has not said that it leaves.
func TestMarkOutweighsViewsOfTheSameTarget(t *testing.T) {
	other := oneTarget(2)
	other.Targets[0] = messenger.Target{ID: "t3", Service: "s", Incarnation: 1, Slots: 4, Address: "10.0.0.1:80"}
	stillInUse := oneTarget(1)
	stillInUse.Version = 2
	without := twoTargets()
	without.Version, without.Targets = 2, without.Targets[1:]
	back := oneTarget(1)
	back.Version = 3
	for name, c := range map[string]struct {
		idPerStart bool
		before     *watcher.View // arrives before the mark and is adopted after it
		after      []*watcher.View
		used       bool
	}{
		"no view":                          {},
		"an earlier view":                  {before: stillInUse},
		"a later view":                     {after: []*watcher.View{stillInUse}},
		"dropped and back":                 {after: []*watcher.View{without, back}},
		"a new incarnation":                {after: []*watcher.View{oneTarget(2)}, used: true},
		"a new incarnation, id per start":  {idPerStart: true, after: []*watcher.View{oneTarget(2)}},
		"another id at the address":        {after: []*watcher.View{other}, used: true},
		"another id there, id per start":   {idPerStart: true, after: []*watcher.View{other}, used: true},
		"an earlier incarnation came back": {after: []*watcher.View{oneTarget(2), back}},
	} {
		t.Run(name, func(t *testing.T) {
			first := oneTarget(1)
			first.Targets[0].Address = "10.0.0.1:80"
			withHolds(t, Config{IDPerStart: c.idPerStart}, first, func(b *holdBed) {
				b.markAmidViews(c.before, c.after)
				if c.used {
					b.expectUsed(b.target(0).ID)
				} else {
					b.expectNoTarget()
				}
			})
		})
	}
}

// markAmidViews sends a request whose answer says that the target leaves. One view arrives
// before the mark and is adopted after it.
func (b *holdBed) markAmidViews(before *watcher.View, after []*watcher.View) {
	b.answer = func(_ context.Context, a *Attempt) error {
		if before != nil {
			b.view.Store(before)
		}
		a.ReportLeaving()
		return nil
	}
	b.Expect(b.send()).To(Succeed())
	b.answer = nil
	for _, v := range after {
		b.view.Store(v)
		b.cd.control.do(b.cd.control.refreshView)
	}
}

// expectNoTarget expects that a request is refused at once and reaches no target.
func (b *holdBed) expectNoTarget() {
	b.t.Helper()
	b.targetsReached()
	since := time.Now()
	b.Expect(coder.Of(b.send())).To(HaveField("Code", coder.NoTarget))
	b.Expect(time.Since(since)).To(BeZero())
	b.Expect(b.targetsReached()).To(BeEmpty())
}

// Guards against a pause that ends early because of a shorter one, and against one that never
// ends.
func TestLaterEndOfOverlappingPausesHolds(t *testing.T) {
	withHolds(t, Config{}, oneTarget(1), func(b *holdBed) {
		b.expectUsed("t1")
		b.pause(b.target(0), 3*time.Second)
		<-time.After(time.Second)
		b.pause(b.target(0), time.Second)
		b.expectAllPaused(2 * time.Second)
		b.pause(b.target(0), 4*time.Second)
		<-time.After(4*time.Second - time.Millisecond)
		b.expectAllPaused(time.Millisecond)
		<-time.After(time.Millisecond)
		b.expectUsed("t1")
		b.Expect(b.lines("hold on target ended")).To(HaveLen(1))
	})
}

// Guards against pauses that a new configuration version or a view ends.
func TestPauseOutlastsNewConfiguration(t *testing.T) {
	withHolds(t, Config{}, oneTarget(1), func(b *holdBed) {
		b.expectUsed("t1")
		b.pause(b.target(0), 3*time.Second)
		reloaded, without, back := oneTarget(1), twoTargets(), oneTarget(1)
		reloaded.Version = 2
		without.Version, without.Targets = 3, without.Targets[1:]
		back.Version = 4
		<-time.After(time.Second)
		b.view.Store(reloaded)
		b.expectAllPaused(2 * time.Second)
		b.view.Store(without)
		b.expectUsed("t2")
		b.view.Store(back)
		b.expectAllPaused(2 * time.Second)
		restarted := oneTarget(2)
		restarted.Version = 5
		b.view.Store(restarted)
		b.expectUsed("t1")
	})
}

// Guards against requests that wait until their deadline although all targets pause.
func TestRequestsAreRefusedAtOnceWhileAllTargetsPause(t *testing.T) {
	t.Run("a new request", func(t *testing.T) {
		withHolds(t, Config{}, twoTargets(), func(b *holdBed) {
			b.expectUsed("t1", "t2")
			b.pause(b.target(0), 5*time.Second)
			b.expectUsed("t2")
			b.pause(b.target(1), 2*time.Second)
			b.expectAllPaused(2 * time.Second)
		})
	})
	t.Run("a queued request", func(t *testing.T) {
		withHolds(t, Config{}, oneSlotEach(), func(b *holdBed) {
			ends := b.blocking("t1", "t2")
			running := []<-chan error{b.start(), b.start()}
			queued := b.start()
			b.pause(b.target(0), 5*time.Second)
			synctest.Wait()
			b.Expect(queued).NotTo(Receive())
			b.pause(b.target(1), 2*time.Second)
			since := time.Now()
			b.expectRefused(<-queued, 2*time.Second)
			b.Expect(time.Since(since)).To(BeZero())
			close(ends["t1"])
			close(ends["t2"])
			for _, done := range running {
				b.Expect(<-done).To(Succeed())
			}
		})
	})
}

// counter returns the value of a counter of the entry.
func (b *holdBed) counter(name string) int64 {
	return metrics.GetOrRegisterCounter("entry."+name, b.counters).Count()
}

// Guards against a pause that is lost because the caller of its request has gone.
func TestPauseHoldsAlthoughItsCallerHasGone(t *testing.T) {
	withHolds(t, Config{}, oneTarget(1), func(b *holdBed) {
		ctx, cancel := context.WithCancel(context.Background())
		b.answer = func(ctx context.Context, a *Attempt) error {
			cancel()
			<-ctx.Done()
			a.ReportPause(3 * time.Second)
			return coder.Errorf(coder.Busy, "")
		}
		ctx, r, end, err := b.cd.Begin(ctx)
		b.Expect(err).NotTo(HaveOccurred())
		path := safePath()
		r.Config, r.Service, r.PathConfig, r.Answer = b.view.Load().Config, "s", &path, ignoredAnswer()
		b.Expect(b.cd.Do(ctx, r)).NotTo(Succeed())
		end()
		b.expectAllPaused(3 * time.Second)
	})
}

// ignoredAnswer accepts an answer and drops it.
func ignoredAnswer() chainer.Answer {
	return chainer.Answer{
		SetWriteDeadline: func(time.Time) {}, Begin: func() bool { return true },
		Chunk: func(messenger.Chunk) error { return nil }, End: func(messenger.End) error { return nil },
	}
}
