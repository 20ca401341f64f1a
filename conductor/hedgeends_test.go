package conductor

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"bramleyshunt/allocator"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
)

// longPlay is a stream with a split prompt, tried at two sets of targets.
type longPlay struct {
	silent  time.Duration // how long the first target sends nothing
	other   time.Duration // how long the second one sends nothing
	reserve time.Duration // how long the reservation of memory takes
	leave   time.Duration // after which the caller leaves; zero for never
}

// Guards against memory that stays reserved, load that stays counted and attempts that go on
// when one of two attempts of a request has won or their caller has left (LEAK, STUCK, GONE).
func TestNothingIsLeftOfTwoAttempts(t *testing.T) {
	for name, p := range map[string]longPlay{
		"the silent target goes on first":              {silent: 2 * time.Second, other: time.Minute},
		"the other target goes on first":               {silent: time.Minute, other: time.Second},
		"both go on at once":                           {silent: 2 * time.Second, other: time.Second},
		"the silent target goes on during reservation": {silent: 2 * time.Second, other: time.Second, reserve: 600 * time.Millisecond},
		"the caller leaves two attempts":               {silent: time.Minute, other: time.Minute, leave: 2 * time.Second},
		"the caller leaves during reservation":         {silent: time.Minute, other: time.Minute, reserve: 600 * time.Millisecond, leave: 2 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			m := &memory{during: func(allocator.Reservation, []string) { <-time.After(p.reserve) }}
			v := splitTargets()
			for i := range 6 {
				v.Targets = append(v.Targets, messenger.Target{ID: fmt.Sprintf("u%d", i), Service: "s", Incarnation: 1, Slots: 4})
			}
			withHolds(t, Config{Allocator: m.allocator()}, v, func(b *holdBed) { p.play(b, m) })
		})
	}
}

func (p longPlay) play(b *holdBed, m *memory) {
	var running, reached atomic.Int64
	b.answer = func(ctx context.Context, a *Attempt) error {
		running.Add(1)
		defer running.Add(-1)
		return p.serve(ctx, a, reached.Add(1) == 1)
	}
	ctx, leave := context.WithCancel(context.Background())
	if p.leave > 0 {
		time.AfterFunc(p.leave, leave)
	}
	defer leave()
	err := b.sendLongStream(ctx)
	synctest.Wait()
	b.Expect(err != nil).To(Equal(p.leave > 0), "%v", err)
	b.Expect(running.Load()).To(BeZero())
	b.Expect(b.cd.Sends()).To(BeEmpty())
	<-time.After(time.Second)
	m.mu.Lock()
	defer m.mu.Unlock()
	slices.Sort(m.reserved) // and renewed
	b.Expect(m.released).To(ConsistOf(slices.Compact(m.reserved)))
	b.Expect(len(m.released)).To(BeNumerically(">=", 4), "reservations of two attempts")
}

// serve reports silence after a second.
func (p longPlay) serve(ctx context.Context, a *Attempt, first bool) error {
	silence := p.other
	if first {
		silence = p.silent
	}
	ticks := time.NewTicker(time.Second)
	defer ticks.Stop()
	for end := time.After(silence); ; {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C:
			a.ReportSilence()
		case <-end:
			return a.Emit(messenger.Chunk{Status: http.StatusOK})
		}
	}
}

// sendLongStream sends a stream that may be resumed and whose prompt is split among targets.
func (b *holdBed) sendLongStream(ctx context.Context) error {
	ctx, r, end, err := b.cd.Begin(ctx)
	b.Expect(err).NotTo(HaveOccurred())
	defer end()
	r.Config, r.Service, r.Answer = b.view.Load().Config, "s", ignoredAnswer()
	r.PathConfig = &configurer.Path{Kind: configurer.KindStream, Resume: true, MaxAttempts: 3, Timeout: 8}
	r.Answer.Resumable = func() bool { return true }
	r.Prompt, r.Output, r.HasTokenCounts = 1500, 10, true
	return b.cd.Do(ctx, r)
}

// Guards against an attempt that goes on, or is sent, after a write to the caller has failed
// (GONE).
func TestHedgeEndsWithFailedWrite(t *testing.T) {
	withHolds(t, Config{}, twoTargets(), func(hold *holdBed) {
		b := &hedgeBed{holdBed: hold, gone: "2", scripts: [][]hedgeStep{{stepEvent, stepSilence, stepEvent}, {stepHang}}}
		hold.answer = b.serve
		since := time.Now()
		_, err := b.stream()
		b.Expect(coder.Of(err)).To(HaveField("Code", coder.Cancelled))
		b.Expect(time.Since(since)).To(BeNumerically("<", 2*time.Second))
		b.Expect(b.reached).To(Equal(2))
	})
}

// Guards against three attempts of a request at a time: one that has been cancelled may take
// a while to end.
func TestNoHedgeBeforeTheLastOneHasEnded(t *testing.T) {
	withHolds(t, Config{}, manyTargets(4), func(hold *holdBed) {
		b := &hedgeBed{holdBed: hold, scripts: [][]hedgeStep{{stepEvent, stepSilence, stepEvent, stepSilence}, {stepHang}}}
		hold.answer = func(ctx context.Context, a *Attempt) error {
			err := b.serve(ctx, a)
			if err != nil {
				<-time.After(10 * time.Second) // still ends after the cancellation
			}
			return err
		}
		got, err := b.stream()
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(got).To(Equal("1 2 3 4"))
		b.Expect(b.reached).To(Equal(2))
	})
}
