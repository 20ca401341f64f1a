package conductor

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"bramleyshunt/apportioner"
	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
	"bramleyshunt/router"
	"bramleyshunt/scheduler"
	"bramleyshunt/watcher"
)

// fairTargets returns a view with two targets and two accounts that are served by their use.
func fairTargets() *watcher.View {
	v := engineTargets()
	v.Config.Accounts = map[string]configurer.Account{"large": {}, "small": {}}
	v.Config.Limits.Fair = true
	return v
}

// use returns the use of an account in milliseconds.
func (b *holdBed) use(account string) (ms float64) {
	c := b.cd.control
	c.do(func() {
		if c.fair != nil {
			ms = c.fair.apportioner.Use(c.cfg.Now(), account)
		}
	})
	return ms
}

// request returns a request of an account, placed as an attempt.
func (b *holdBed) request(account, id string) *chainer.Request {
	v := b.view.Load()
	return &chainer.Request{
		ID: id, Service: "s", Account: account, Prompt: 100, Output: 40, Config: v.Config, Spec: v.Config.Services["s"], Arrived: time.Now(), Deadline: time.Now().Add(10 * time.Second),
		Answer: chainer.Answer{
			Begin: func() bool { return true }, Chunk: func(messenger.Chunk) error { return nil }, End: func(messenger.End) error { return nil },
		},
	}
}

// run runs a request of an account without the filters before the queue.
func (b *holdBed) run(ctx context.Context, r *chainer.Request) error { return b.cd.run(ctx, r) }

const (
	requestPrefill = 10.0    // milliseconds, of the requests of these tests
	tokenWork      = 1.0 / 4 // milliseconds: a step of 1 ms among four slots
	exact          = 0.01    // tolerance, for decay within a test
	likelyAnswer   = 10      // tokens
)

// Pattern: requests that are refused, lost, cancelled or retried. Guards against accounts that pay for
// what did not run, and against work that is not charged because its answer was cut off.
func TestWhatRanIsCharged(t *testing.T) {
	tokens := 0
	for name, x := range map[string]struct {
		answer func(ctx context.Context, a *Attempt) error
		want   float64
	}{
		"a whole answer": {func(_ context.Context, a *Attempt) error { return emitTokens(a, &tokens, 30) }, requestPrefill + 30*tokenWork},
		"a refusal":      {func(context.Context, *Attempt) error { return coder.Errorf(coder.MemoryFull, "") }, 0},
		"an answer that is cut off": {func(_ context.Context, a *Attempt) error {
			_ = emitTokens(a, &tokens, 6)
			return coder.Errorf(coder.EngineFailed, "")
		}, requestPrefill + 6*tokenWork},
		"a prefill that is cut off": {func(context.Context, *Attempt) error {
			time.Sleep(4 * time.Millisecond)
			return coder.Errorf(coder.EngineFailed, "")
		}, 4},
		"a target that is silent": {func(context.Context, *Attempt) error {
			time.Sleep(time.Second)
			return coder.Errorf(coder.Silent, "")
		}, requestPrefill * 0.87},
	} {
		t.Run(name, func(t *testing.T) {
			withHolds(t, Config{}, fairTargets(), func(b *holdBed) {
				tokens = 0
				b.answer = x.answer
				r := b.request("small", "r")
				r.NonIdempotent, r.PathConfig = true, &configurer.Path{Kind: configurer.KindUnsafe, MaxAttempts: 1}
				r.Answer.Events = func() int { return tokens }
				ctx, cancel := context.WithTimeout(context.Background(), time.Second+time.Millisecond)
				defer cancel()
				_ = b.run(ctx, r)
				b.Expect(b.use("small")).To(BeNumerically("~", x.want, max(exact, 0.02*x.want)))
				b.Expect(b.cd.Sends()).To(BeEmpty())
			})
		})
	}
}

// emitTokens sends an answer with a token in each event.
func emitTokens(a *Attempt, tokens *int, n int) error {
	for range n {
		*tokens++
		if err := a.Emit(messenger.Chunk{Data: []byte("x")}); err != nil {
			return err
		}
	}
	return nil
}

// Guards against a request that is charged while it waits, or after its caller has left the queue.
func TestWhatIsQueuedIsNotCharged(t *testing.T) {
	withHolds(t, Config{}, fairTargets(), func(b *holdBed) {
		b.takeSlots(8)
		running := b.use("")
		ctx, leave := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- b.run(ctx, b.request("small", "r")) }()
		synctest.Wait()
		b.Expect(b.use("small")).To(BeZero())
		b.Expect(running).To(BeNumerically(">", 0), "placed requests are")
		leave()
		b.Expect(coder.Of(<-done).Run).To(Equal(coder.NotRun))
		b.Expect(b.use("small")).To(BeZero())
		b.freeSlots()
	})
}

// Guards against state, messages or log lines of fairness where the configuration does not ask for it.
func TestNothingIsAccountedForUnlessConfigured(t *testing.T) {
	v := fairTargets()
	v.Config.Limits.Fair = false
	withHolds(t, Config{}, v, func(b *holdBed) {
		b.Expect(b.send()).To(Succeed())
		b.Expect(b.use("")).To(BeZero())
		b.Expect(b.cd.Uses()).To(BeNil())
		b.cd.RecordUses([]messenger.Use{{Account: 1, Work: 1}}, 0)
		<-time.After(2 * figuresInterval)
		b.counters.Each(func(name string, _ any) { b.Expect(name).NotTo(HavePrefix("fair.")) })
		b.Expect(b.cd.control.fair).To(BeNil())

		on := fairTargets()
		on.Version = 2
		b.view.Store(on)
		b.Expect(b.send()).To(Succeed())
		b.Expect(b.cd.Uses()).To(ConsistOf(HaveField("Account", apportioner.Hash(""))))
		off := fairTargets()
		off.Version, off.Config.Limits.Fair = 3, false
		b.view.Store(off)
		b.Expect(b.send()).To(Succeed())
		b.Expect(b.cd.Uses()).To(BeNil())
	})
}

// Pattern: one account bursts. Guards against an account that is refused without a word or with a line
// for each refusal, and against metrics for each of many accounts.
func TestHeldAccountsAreLoggedOnceAndMeasured(t *testing.T) {
	withHolds(t, Config{}, fairTargets(), func(b *holdBed) {
		b.Expect(b.send()).To(Succeed())
		c := b.cd.control
		uses := []messenger.Use{{Account: apportioner.Hash("large"), Work: 5000}, {Account: apportioner.Hash("small"), Work: 100}}
		b.cd.RecordUses(uses, 40*time.Millisecond)
		c.do(func() { c.fair.apportioner.Charge(c.cfg.Now(), "large", 500) })
		for range 30 {
			c.do(func() { c.recordRefusal("large") })
		}
		for i := range 40 {
			c.do(func() { c.fair.apportioner.Charge(c.cfg.Now(), fmt.Sprint("a", i), 1) })
		}
		held := b.lines("account held back: above its share")
		b.Expect(held).To(HaveLen(1))
		b.Expect(held[0]).To(And(HaveKeyWithValue("account", "large"), HaveKeyWithValue("use", 5500), HaveKeyWithValue("age", int64(40)), HaveKey("share")))
		<-time.After(2 * figuresInterval)
		b.Expect(metrics.GetOrRegisterGauge("fair.refused.large", b.counters).Value()).To(Equal(int64(30)))
		n := 0
		b.counters.Each(func(name string, _ any) {
			if strings.HasPrefix(name, "fair.") {
				n++
			}
		})
		b.Expect(n).To(Equal(4 * (figuresAccounts + 1)))
		<-time.After(time.Minute)
		b.Expect(b.lines("account no longer held back")).To(ConsistOf(HaveKeyWithValue("refused", 30)))
	})
}

// Pattern: one account bursts at all entries, so that the counts of each show no free place. Guards
// against a small account's request that waits for counts to show a place, while the relay gives
// each one to requests that it knows of.
func TestQueuedRequestWithinItsShareIsPlacedByTheRelay(t *testing.T) {
	var mu sync.Mutex
	var questions []messenger.Place
	var relayed atomic.Pointer[messenger.Placed]
	relayed.Store(&messenger.Placed{}) // no target
	asked := func() []messenger.Place {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(questions)
	}
	cfg := Config{Place: func(_ context.Context, m *messenger.Place) (*messenger.Placed, error) {
		if m.ID == "" {
			return nil, nil // as without a relay
		}
		mu.Lock()
		questions = append(questions, *m)
		mu.Unlock()
		time.Sleep(scheduler.HoldAsk)
		return relayed.Load(), nil
	}}
	withHolds(t, cfg, fairTargets(), func(b *holdBed) {
		b.takeSlots(8)
		done := make(chan error, 1)
		go func() { done <- b.run(context.Background(), b.request("small", "r")) }()
		<-time.After(100 * time.Millisecond)
		b.Expect(len(asked())).To(BeNumerically("~", 4, 1), "one at a time, again at once")
		b.Expect(asked()[0]).To(And(HaveField("Use", 0), HaveField("Service", "s"), HaveField("ID", Not(Equal(asked()[1].ID)))))
		b.Expect(b.cd.Status().Queued).To(Equal(1))

		relayed.Store(placedAt("t2", 1))
		<-time.After(100 * time.Millisecond)
		b.Expect(b.cd.Status().Queued).To(BeZero())
		b.Expect(b.targetsReached()).To(HaveLen(9))
		n := len(asked())
		<-time.After(100 * time.Millisecond)
		b.Expect(asked()).To(HaveLen(n))
		b.freeSlots()
		b.Expect(<-done).To(Succeed())
	})
}

// Pattern: one account bursts at the entry that relays. Guards against places that go to its queue
// while another entry asks for a request of a small account, and against a place left free.
func TestRelayGivesTheNextPlaceToTheAccountWithinItsShare(t *testing.T) {
	withHolds(t, Config{}, fairTargets(), func(b *holdBed) {
		b.takeSlots(8)
		b.cd.RecordUses([]messenger.Use{{Account: apportioner.Hash("large"), Work: 5000}, {Account: apportioner.Hash("small"), Work: 100}}, 0)
		large := make(chan error, 1)
		go func() { large <- b.run(context.Background(), b.request("large", "l")) }()
		synctest.Wait()
		m := messenger.Place{Node: "e2", ID: "q", Use: 100, Service: "s", Prompt: 100, Output: 40, Prefill: 10 * time.Millisecond, PrefillTargets: 1}
		var reserved []messenger.Sent
		since := time.Now()
		out, err := b.cd.PlaceFor(&m, func(s []messenger.Sent) { reserved = s })
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(out.Target).To(BeNil())
		b.Expect(time.Since(since)).To(Equal(scheduler.HoldAsk), "kept, not longer")
		b.Expect(reserved).To(BeEmpty())

		answered := make(chan *messenger.Placed, 1)
		go func() {
			out, _ := b.cd.PlaceFor(&m, func(s []messenger.Sent) { reserved = s })
			answered <- out
		}()
		<-time.After(time.Millisecond)
		b.slots <- struct{}{} // one request ends
		synctest.Wait()
		b.Expect(answered).To(Receive(HaveField("Target", Not(BeNil()))))
		b.Expect(reserved).NotTo(BeEmpty())
		b.Expect(large).NotTo(Receive())
		b.Expect(b.cd.Status().Queued).To(Equal(1))

		b.cd.RecordSends(router.Peers{}) // the other entry's request has ended
		b.slots <- struct{}{}
		synctest.Wait()
		b.Expect(b.cd.Status().Queued).To(BeZero(), "a free place goes to the large account if no other one asks")
		b.freeSlots()
		b.Expect(<-large).To(Succeed())
	})
}

// Pattern: a target is lost under a small account's request while one account bursts. Guards against a
// request that lost a target and is never placed again: the relay must not be asked for it, as it
// knows of no suspects.
func TestQueuedSuspectIsPlacedHere(t *testing.T) {
	var asked atomic.Int64
	cfg := Config{Place: func(context.Context, *messenger.Place) (*messenger.Placed, error) {
		asked.Add(1)
		return nil, nil
	}}
	withHolds(t, cfg, fairTargets(), func(b *holdBed) {
		b.takeSlots(8)
		x := &execution{cd: b.cd, r: b.request("small", "r"), targetsLost: 1}
		a := x.newAttempt(context.Background(), nil)
		before := asked.Load()
		done := b.place(a)
		<-time.After(100 * time.Millisecond)
		b.Expect(asked.Load()).To(Equal(before))
		b.freeSlots()
		<-time.After(100 * time.Millisecond)
		b.Expect(done).To(Receive(BeNil()))
		b.cd.control.prefillEnded(a.ticket, a.pick, 0)
		b.cd.control.requestEnded(a.ticket, a.pick)
	})
}

// Guards against a request that can't be placed here while the relay is asked for it and there is none,
// or it does not answer.
func TestQueuedRequestIsPlacedAtOnceIfThereIsNoRelay(t *testing.T) {
	for name, place := range map[string]func(ctx context.Context) error{
		"none":   func(context.Context) error { return nil },
		"silent": func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() },
	} {
		t.Run(name, func(t *testing.T) {
			cfg := Config{Place: func(ctx context.Context, _ *messenger.Place) (*messenger.Placed, error) { return nil, place(ctx) }}
			withHolds(t, cfg, fairTargets(), func(b *holdBed) {
				b.takeSlots(8)
				a := (&execution{cd: b.cd, r: b.request("small", "r")}).newAttempt(context.Background(), nil)
				done := b.place(a)
				<-time.After(placeTimeout + 3*pollInterval)
				since := time.Now()
				b.freeSlots()
				b.Expect(<-done).To(Succeed())
				b.Expect(time.Since(since)).To(BeNumerically("<=", placeTimeout), "the time of a question that is out")
				b.cd.control.prefillEnded(a.ticket, a.pick, 0)
				b.cd.control.requestEnded(a.ticket, a.pick)
				asked := b.cd.control.lastAsk()
				b.Expect(asked).To(BeNumerically("<=", 1), "not asked again before %s have passed", placeBackoff)
			})
		})
	}
}

func (c *control) lastAsk() (n uint64) {
	c.do(func() { n = c.fair.lastAsk })
	return n
}
