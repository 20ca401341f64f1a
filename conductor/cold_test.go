package conductor

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bramleyshunt/allocator"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/ramper"
	"bramleyshunt/watcher"
)

// coldTargets returns a view whose targets bear one request a second.
func coldTargets(v *watcher.View) *watcher.View {
	s := v.Config.Services["s"]
	s.Cold, s.ColdTime = 1, 3
	v.Config.Services["s"] = s
	return v
}

// pass lets time pass in the bubble.
func pass(d time.Duration) { <-time.After(d) }

// settle lets the Conductor, which has no requests, get its share.
func (b *holdBed) settle() { pass(partsPollInterval + ramper.SettleTime) }

// Guards against more requests to a target than its bound allows, whatever this entry believes
// of the target, and against requests that are refused although a share is free in time.
func TestRequestsWaitForTheShareOfTheirEntry(t *testing.T) {
	withHolds(t, Config{}, coldTargets(twoTargets()), func(b *holdBed) {
		b.answer = func(_ context.Context, a *Attempt) error {
			a.ReportSent()
			a.ReportSent()
			return nil
		}
		b.settle()
		since := time.Now()
		for range 6 {
			b.Expect(b.send()).To(Succeed())
		}
		b.Expect(time.Since(since)).To(BeNumerically("~", 2*ramper.Window, 2*pollInterval))
		reached := b.targetsReached()
		b.Expect(reached[:2]).To(ConsistOf("t1", "t2"))
		b.Expect(reached[2:4]).To(ConsistOf("t1", "t2"))
		b.Expect(b.counter("cold.deferred")).To(BeNumerically(">", 0))
	})
}

// Guards against requests that a process sends right after its start, as others count it late.
func TestStartedProcessWaitsForItsShare(t *testing.T) {
	withHolds(t, Config{}, coldTargets(twoTargets()), func(b *holdBed) {
		b.answer = func(_ context.Context, a *Attempt) error { a.ReportSent(); return nil }
		since := time.Now()
		b.Expect(b.send()).To(Succeed())
		b.Expect(time.Since(since)).To(BeNumerically(">=", ramper.Window))
	})
}

// Guards against a share that is used before the request goes out, as while its connection is
// being made, and against one that a request keeps of which nothing was sent.
func TestShareIsUsedFromTheSendOn(t *testing.T) {
	v := coldTargets(twoTargets())
	v.Targets = v.Targets[:1]
	withHolds(t, Config{}, v, func(b *holdBed) {
		dialed := make(chan struct{})
		b.answer = func(_ context.Context, _ *Attempt) error {
			<-dialed
			return &coder.Error{Code: coder.Cancelled, Run: coder.NotRun}
		}
		b.settle()
		first := b.start()
		pass(2 * ramper.Window)
		second := b.start()
		b.Expect(b.targetsReached()).To(HaveLen(1), "the first one may be sent at any moment")
		var sent time.Time
		b.answer = func(_ context.Context, a *Attempt) error {
			a.ReportSent()
			sent = time.Now()
			return nil
		}
		freed := time.Now()
		close(dialed)
		b.Expect(<-first).To(HaveOccurred())
		b.Expect(<-second).To(Succeed())
		b.Expect(sent.Sub(freed)).To(BeNumerically("<=", pollInterval))
		b.Expect(b.send()).To(Succeed())
		b.Expect(time.Since(freed)).To(BeNumerically(">=", ramper.Window))
	})
}

// Guards against a request that is sent although the entry's share has shrunk while memory was
// being reserved for it.
func TestRequestIsPlacedAgainIfItsShareShrinksWhileMemoryIsReserved(t *testing.T) {
	m := &memory{}
	withHolds(t, Config{Allocator: m.allocator()}, coldTargets(splitTargets()), func(b *holdBed) {
		b.answer = func(_ context.Context, a *Attempt) error { a.ReportSent(); return nil }
		var lost, sent time.Time
		var once sync.Once
		m.during = func(allocator.Reservation, []string) {
			once.Do(func() { // the entry is not in its own view any more, then in it again
				lost = time.Now()
				b.cd.control.do(func() {
					r := &b.cd.control.scheduler.Router
					r.RecordEntries(lost, "", nil)
					r.RecordEntries(lost, "", []string{""})
				})
			})
		}
		b.settle()
		_, err := b.sendLong()
		sent = time.Now()
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(b.lines("placed again: target held")).To(HaveLen(1))
		b.Expect(b.targetsReached()).To(HaveLen(1))
		b.Expect(sent.Sub(lost)).To(BeNumerically(">=", ramper.Window))
	})
}

// Guards against a relay that picks targets which have got this entry's share, and against a
// pick of the relay that is sent beyond it.
func TestRelayIsToldWhereTheShareIsUsed(t *testing.T) {
	withRelay(t, Config{}, func(b *relayBed) {
		b.view.Store(coldTargets(b.view.Load()))
		b.holdBed.answer = func(_ context.Context, a *Attempt) error { a.ReportSent(); return nil }
		b.settle()
		b.Expect(b.send()).To(Succeed())
		b.Expect(b.send()).To(Succeed())
		b.Expect(b.targetsReached()).To(Equal([]string{"t2", "t1"}), "the relay picks t2 again")
		b.Expect(b.asked[0].Exclude).To(BeEmpty())
		b.Expect(b.asked[1].Exclude).To(Equal([]string{"t2"}))
	})
}

// Guards against a relay that ignores the sender's part in a bound.
func TestRelayPicksWithinTheShareOfTheSender(t *testing.T) {
	all := []string{"relay"}
	for i := range 9 {
		all = append(all, string(rune('a'+i)))
	}
	cfg := Config{Entries: func(*watcher.View) []string { return all }}
	withRelay(t, cfg, func(b *relayBed) {
		b.cd.cfg.Settings.Node = "relay"
		b.view.Store(coldTargets(b.view.Load()))
		b.settle()
		placed := map[string]int{}
		for _, name := range all {
			m := &messenger.Place{Node: name, Service: "s", Prompt: 100, Prefill: 10 * time.Millisecond, PrefillTargets: 1}
			out, err := b.cd.PlaceFor(m, func([]messenger.Sent) {})
			b.Expect(err).NotTo(HaveOccurred())
			if out.Target != nil {
				placed[out.Target.ID]++
			}
		}
		for id, n := range placed {
			b.Expect(n).To(Equal(1), "one of ten entries sends to %s", id)
		}
		b.Expect(placed).NotTo(BeEmpty())
	})
}

// Guards against cold targets of which neither the log nor the metrics tell.
func TestColdTargetsAreLoggedAndCounted(t *testing.T) {
	withHolds(t, Config{}, coldTargets(twoTargets()), func(b *holdBed) {
		b.answer = func(_ context.Context, a *Attempt) error {
			a.ReportSent()
			a.ReportCold(2 * time.Second)
			return nil
		}
		b.settle()
		b.Expect(b.send()).To(Succeed())
		id := b.targetsReached()[0]
		pass(2 * partsPollInterval)
		b.Expect(b.lines("target cold")).To(ConsistOf(And(
			HaveKeyWithValue("target", id), HaveKeyWithValue("source", "answer"), HaveKeyWithValue("for", int64(2000)), HaveKey("age"),
		)))
		gauge := metrics.GetOrRegisterGauge("entry.cold.targets", b.counters)
		b.Expect(gauge.Value()).To(Equal(int64(1)))
		pass(3 * time.Second)
		b.Expect(b.lines("target warm")).To(ConsistOf(And(HaveKeyWithValue("target", id), HaveKeyWithValue("for", int64(2000)))))
		b.Expect(gauge.Value()).To(BeZero())
	})
}

// Guards against a service without the figure that is served otherwise than before.
func TestServiceWithoutTheFigureHasNoBound(t *testing.T) {
	withHolds(t, Config{}, twoTargets(), func(b *holdBed) {
		b.answer = func(_ context.Context, a *Attempt) error {
			b.Expect(a.ReportSent).To(BeNil())
			b.Expect(a.ReportCold).To(BeNil())
			return nil
		}
		since := time.Now()
		for range 100 {
			b.Expect(b.send()).To(Succeed())
		}
		synctest.Wait()
		b.Expect(time.Since(since)).To(BeZero())
		b.Expect(b.lines("target cold")).To(Equal([]logrus.Fields(nil)))
	})
}
