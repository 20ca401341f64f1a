package conductor

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/messenger"
	"bramleyshunt/watcher"
)

const (
	hedgeEvents = 4   // of a stream
	hedgePart   = "~" // of an event
)

// hedgeStep is one step of a target that serves a stream.
type hedgeStep int

const (
	stepEvent   hedgeStep = iota // the next event
	stepPart                     // a part of an event, after which the event follows
	stepPause                    // shorter than a silence
	stepSilence                  // reported, and shorter than callers wait
	stepLost                     // the connection
	stepRefused                  // only as the first step
	stepHang                     // until the attempt is cancelled
)

// hedgeBed plays streams at targets that follow scripts, in the order in which they are
// reached; the last script serves all others.
type hedgeBed struct {
	*holdBed
	scripts     [][]hedgeStep
	maxAttempts int                    // 3 if zero
	gone        string                 // event whose write fails, as the caller has gone; empty for none
	began       func(*chainer.Request) // called with the request before it is sent; may be nil

	mu      sync.Mutex
	reached int
	running int
	most    int // attempts that ran at the same time
	stopped int // attempts that were cancelled
	refused int
}

// serve is the exchange of an attempt. Each target sends the events that follow the last one
// that the caller has.
func (b *hedgeBed) serve(ctx context.Context, a *Attempt) error {
	b.mu.Lock()
	script := b.scripts[min(b.reached, len(b.scripts)-1)]
	b.reached++
	b.running++
	b.most = max(b.most, b.running)
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.running--
	}()
	next := 1
	_, _ = fmt.Sscan(a.LastEventID, &next)
	if a.LastEventID != "" {
		next++
	}
	for _, step := range script {
		if err := b.step(ctx, a, step, &next); err != nil {
			return err
		}
	}
	for next <= hedgeEvents {
		if err := b.step(ctx, a, stepEvent, &next); err != nil {
			return err
		}
	}
	return nil
}

func (b *hedgeBed) step(ctx context.Context, a *Attempt, step hedgeStep, next *int) error {
	switch step {
	case stepEvent:
		if *next > hedgeEvents {
			return nil
		}
		c := messenger.Chunk{Status: http.StatusOK, Data: []byte(fmt.Sprint(*next))}
		*next++
		return a.Emit(c)
	case stepPart:
		return a.Emit(messenger.Chunk{Status: http.StatusOK, Data: []byte(hedgePart)})
	case stepPause:
		return b.wait(ctx, 300*time.Millisecond)
	case stepSilence, stepHang:
		for i := 0; i < 4 || step == stepHang; i++ {
			a.ReportSilence()
			if err := b.wait(ctx, 200*time.Millisecond); err != nil {
				return err
			}
		}
		return nil
	case stepLost:
		return &coder.Error{Code: coder.TargetLost, Run: coder.Unknown}
	default:
		b.mu.Lock()
		b.refused++
		b.mu.Unlock()
		return &coder.Error{Code: coder.Busy, Run: coder.NotRun}
	}
}

func (b *hedgeBed) wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		b.mu.Lock()
		defer b.mu.Unlock()
		b.stopped++
		return &coder.Error{Code: coder.Cancelled, Run: coder.Unknown, Cause: context.Cause(ctx)}
	}
}

// stream sends a stream that may be resumed and returns the events that its caller got.
func (b *hedgeBed) stream() (string, error) {
	ctx, r, end, err := b.cd.Begin(context.Background())
	b.Expect(err).NotTo(HaveOccurred())
	defer end()
	var got []string
	last := func() string {
		if len(got) == 0 {
			return ""
		}
		return got[len(got)-1]
	}
	always := func() bool { return true }
	r.Config, r.Service = b.cd.cfg.View().Config, "s"
	r.PathConfig = &configurer.Path{Kind: configurer.KindStream, Resume: true, MaxAttempts: cmp.Or(b.maxAttempts, 3), Timeout: 20}
	r.Answer = chainer.Answer{
		SetWriteDeadline: func(time.Time) {}, Begin: always, Resumable: always, LastEventID: last,
		Chunk: func(c messenger.Chunk) error {
			if b.gone != "" && string(c.Data) == b.gone {
				return coder.Errorf(coder.Cancelled, "the caller has gone")
			}
			if event := strings.Trim(string(c.Data), hedgePart); event != "" {
				got = append(got, event)
			}
			return nil
		},
		HasEvent: func(p []byte) bool { return strings.Trim(string(p), hedgePart) != "" },
		End:      func(messenger.End) error { return nil },
	}
	if b.began != nil {
		b.began(r)
	}
	err = b.cd.Do(ctx, r)
	return strings.Join(got, " "), err
}

// play plays one stream and returns what its caller got.
func playHedge(t *testing.T, v *watcher.View, scripts [][]hedgeStep, check func(b *hedgeBed, got string, err error)) {
	withHolds(t, Config{}, v, func(hold *holdBed) {
		b := &hedgeBed{holdBed: hold, scripts: scripts}
		hold.answer = b.serve
		got, err := b.stream()
		check(b, got, err)
		synctest.Wait()
		b.Expect(b.running).To(BeZero())
		b.Expect(b.most).To(BeNumerically("<=", 2))
		b.Expect(b.cd.Sends()).To(BeEmpty())
		b.cd.control.do(func() { b.Expect(b.cd.control.suspects).To(BeEmpty()) })
	})
}

// Guards against an answer that is cut off, or of which events are lost or repeated, because
// two targets work on it.
func TestHedgedStreamIsWhole(t *testing.T) {
	for name, c := range map[string]struct {
		scripts [][]hedgeStep
		reached int
		stopped int // attempts that were cancelled
	}{
		"the silent target goes on first":             {[][]hedgeStep{{stepEvent, stepSilence}, {stepPause, stepPause, stepPause, stepPause}}, 2, 1},
		"the other target goes on first":              {[][]hedgeStep{{stepEvent, stepHang}, {stepPause}}, 2, 1},
		"neither has begun, the other one goes first": {[][]hedgeStep{{stepHang}, {stepEvent, stepPause}}, 2, 1},
		"the other target refuses":                    {[][]hedgeStep{{stepEvent, stepSilence, stepEvent, stepPause}, {stepRefused}}, 2, 0},
		"the other target is lost":                    {[][]hedgeStep{{stepEvent, stepSilence, stepEvent, stepPause}, {stepLost}}, 2, 0},
		"the silent target is lost":                   {[][]hedgeStep{{stepEvent, stepSilence, stepLost}, {stepPause, stepPause, stepPause, stepPause}}, 2, 0},
		"the other target breaks off within an event": {[][]hedgeStep{{stepEvent, stepSilence, stepEvent, stepPause}, {stepPart, stepPause, stepLost}}, 2, 0},
		"the silent target goes on before an event":   {[][]hedgeStep{{stepEvent, stepSilence}, {stepPart, stepHang}}, 2, 1},
		"the silent target is lost before an event":   {[][]hedgeStep{{stepEvent, stepSilence, stepLost}, {stepPart, stepPause, stepPause, stepPause, stepPause}}, 2, 0},
		"the other target falls silent and goes on":   {[][]hedgeStep{{stepEvent, stepHang}, {stepEvent, stepSilence, stepEvent}}, 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			playHedge(t, twoTargets(), c.scripts, func(b *hedgeBed, got string, err error) {
				b.Expect(err).NotTo(HaveOccurred())
				b.Expect(got).To(Equal("1 2 3 4"))
				b.Expect(b.reached).To(Equal(c.reached))
				b.Expect(b.stopped).To(Equal(c.stopped))
			})
		})
	}
}

// Guards against a stream that is broken off, or a retry that is charged, because its target is
// silent while the configuration is not confirmed and no other attempt may be sent.
func TestSilentTargetIsKeptWhileConfigurationIsUnconfirmed(t *testing.T) {
	var mu sync.Mutex
	var stale error
	set := func(err error) {
		mu.Lock()
		defer mu.Unlock()
		stale = err
	}
	ready := func() error {
		mu.Lock()
		defer mu.Unlock()
		return stale
	}
	withHolds(t, Config{Ready: ready}, twoTargets(), func(b *holdBed) {
		b.expectUsed("t1", "t2")
		b.answer = func(_ context.Context, a *Attempt) error {
			if a.Target.ID == "t2" {
				return coder.Errorf(coder.EngineFailed, "")
			}
			set(coder.Errorf(coder.Stale, ""))
			a.ReportSilence()
			synctest.Wait()
			b.Expect(b.targetsReached()).To(Equal([]string{"t1"}))
			b.Expect(b.counter("retries")).To(BeZero())
			set(nil)
			a.ReportSilence()
			synctest.Wait()
			b.Expect(b.targetsReached()).To(Equal([]string{"t2"}))
			return a.Emit(messenger.Chunk{Status: http.StatusOK})
		}
		b.Expect(b.send()).To(Succeed())
	})
}

// replaceLateRefusals replaces refusals after the first step, which no target sends.
func replaceLateRefusals(script []hedgeStep) {
	for i := range script {
		if script[i] == stepRefused && i > 0 {
			script[i] = stepEvent
		}
	}
}

// Guards against events that are lost, repeated or out of order, attempts that go on or stay
// counted, and attempts beyond the limit or not charged to the retry budget, however two targets overlap.
func TestHedgeInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		step := rapid.SampledFrom([]hedgeStep{stepEvent, stepPart, stepPause, stepSilence, stepLost, stepRefused, stepHang})
		scripts := rapid.SliceOfN(rapid.SliceOfN(step, 0, 6), 1, 4).Draw(rt, "scripts")
		for _, s := range scripts {
			replaceLateRefusals(s)
		}
		playHedge(t, manyTargets(rapid.IntRange(1, 6).Draw(rt, "targets")), scripts, func(b *hedgeBed, got string, err error) {
			if !strings.HasPrefix("1 2 3 4", got) || err == nil && got != "1 2 3 4" {
				rt.Fatalf("caller got %q, error %v", got, err)
			}
			if ran := b.reached - b.refused; ran > 3 {
				rt.Fatalf("%d targets ran the request, want at most 3", ran)
			}
			if charged := int(b.counter("retries")); charged < b.reached-1 {
				rt.Fatalf("%d retries charged, %d targets reached", charged, b.reached)
			}
		})
	})
}
