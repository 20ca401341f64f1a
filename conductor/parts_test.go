package conductor

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	. "github.com/onsi/gomega"

	"bramleyshunt/allocator"
	"bramleyshunt/applier"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/isolator"
	"bramleyshunt/messenger"
	"bramleyshunt/pooler"
	"bramleyshunt/watcher"
)

// Guards against requests with one part in their prompts, no two alike, that crash one target
// after the other at whatever entry they arrive.
func TestPartThatCrashesTargetsIsRefusedAtAllEntries(t *testing.T) {
	const bad = 7
	for name, parts := range map[string][]uint64{"first part": {bad, 1, 2}, "middle part": {1, bad, 2}, "last shared part": {1, 2, bad}} {
		t.Run(name, func(t *testing.T) {
			withParts(t, Config{}, 3, []uint64{bad}, func(b *partsBed) {
				b.expectAnswered(0, 1, 2)
				b.isolate(parts...)
				if n := b.sends(bad); n > isolator.DefaultLimit {
					t.Errorf("%d requests with the part reached targets, want at most %d", n, isolator.DefaultLimit)
				}
				b.expectOneTrial(t, bad, parts)
				for entry := range b.entries {
					b.expectRefused(entry, parts...)
					b.expectAnswered(entry, 1, 2)
					b.expectAnswered(entry, 2, 3)
				}
			})
		})
	}
}

// expectOneTrial sends each entry requests with an isolated part. One of them reaches a target.
func (b *partsBed) expectOneTrial(t *testing.T, part uint64, parts []uint64) {
	t.Helper()
	time.Sleep(isolator.TrialDelay)
	before := b.sends(part)
	for range 3 {
		for entry := range b.entries {
			_ = b.send(entry, parts...)
		}
	}
	if n := b.sends(part) - before; n != 1 {
		t.Errorf("%d more requests with the part reached targets, want 1", n)
	}
}

// Guards against queued requests that reach targets, or wait, after their part was isolated.
func TestQueuedRequestEndsWhenItsPartIsIsolated(t *testing.T) {
	withParts(t, Config{}, 2, []uint64{7}, func(b *partsBed) {
		b.expectAnswered(1, 1)
		b.fill(t)
		queued := b.start(0, configurer.Path{Kind: configurer.KindSafe}, 7, 1)
		synctest.Wait()
		for n := range uint64(isolator.DefaultLimit) {
			b.accuse(n, 7)
			time.Sleep(time.Second / 2)
		}
		select {
		case err := <-queued:
			if !isIsolated(err) {
				t.Errorf("got %v, want code PartQuarantined", err)
			}
		case <-time.After(time.Second):
			t.Error("the request is still queued")
		}
		if n := b.sends(7); n > 0 {
			t.Errorf("%d requests with the part reached targets", n)
		}
	})
}

// fill sends requests to entry 0 until all slots are taken. They run for an hour.
func (b *partsBed) fill(t *testing.T) {
	t.Helper()
	b.answer = func(ctx context.Context, _ *Attempt) error {
		<-ctx.Done()
		return ctx.Err()
	}
	for range 8 {
		b.start(0, configurer.Path{Kind: configurer.KindSafe}, 1)
	}
	synctest.Wait()
}

// accuse reports an incarnation that ended under a request with a part.
func (b *partsBed) accuse(n, part uint64) {
	b.apply(&applier.Command{Verb: applier.VerbSuspect, Suspect: &messenger.Suspect{
		Fingerprint: n, Target: "other", Incarnation: n, Parts: []uint64{part}, Service: "s", Node: "other",
	}})
}

// Guards against a retry, or a resumed stream, that is sent after its part was isolated.
func TestRetryIsRefusedWhenItsPartIsIsolated(t *testing.T) {
	withParts(t, Config{}, 1, []uint64{7}, func(b *partsBed) {
		b.expectAnswered(0, 1)
		for n := range uint64(isolator.DefaultLimit) - 1 {
			b.accuse(n, 7)
			time.Sleep(time.Second)
		}
		b.accuse(9, 7)
		b.publish()
		b.bad = nil
		b.answer = func(context.Context, *Attempt) error {
			b.publish()
			return lost()
		}
		b.view.Store(withoutIsolated(b.view.Load()))
		done := b.start(0, configurer.Path{Kind: configurer.KindSafe, MaxAttempts: 5}, 7)
		if err := <-done; coder.Of(err) == nil || coder.Of(err).Code != coder.PartQuarantined || coder.Of(err).Run == coder.NotRun {
			t.Errorf("got %v, want code PartQuarantined for a request that may have run", err)
		}
		if n := b.sends(7); n != 1 {
			t.Errorf("%d requests with the part reached targets, want 1", n)
		}
	})
}

// withoutIsolated returns a view as an entry has it before the keepers' list arrives.
func withoutIsolated(v *watcher.View) *watcher.View {
	out := *v
	out.Isolated = nil
	return &out
}

// Guards against a request that is sent though its part was isolated while memory was being
// reserved for it.
func TestRequestIsRefusedIfItsPartIsIsolatedWhileMemoryIsReserved(t *testing.T) {
	m := &memory{}
	withHolds(t, Config{Allocator: m.allocator()}, splitTargets(), func(b *holdBed) {
		m.during = func(allocator.Reservation, []string) {
			v := *b.view.Load()
			v.Isolated = &messenger.Isolated{Groups: []messenger.PartGroup{{Parts: []uint64{7}, Until: time.Now().Add(time.Hour).UnixNano()}}}
			b.view.Store(&v)
		}
		r, err := b.sendLong(7)
		b.Expect(isIsolated(err)).To(BeTrue(), "%v", err)
		b.Expect(b.targetsReached()).To(BeEmpty())
		b.Expect(r.Trace.Attempts).To(BeZero())
		b.expectReleased(m)
	})
}

// Guards against the refusal of sound requests whose part shares all crashes with a bad one:
// another entry that has had an answer with it says so.
func TestAnswerAtAnotherEntryFreesPart(t *testing.T) {
	withParts(t, Config{}, 2, []uint64{7}, func(b *partsBed) {
		b.isolateOnly(t, 5)
		b.expectRefused(0, 5, 40)
		b.entries[1].recordSound(b.request(5))
		time.Sleep(2 * publishDelay)
		b.expectAnswered(0, 5, 40)
	})
}

// Guards against accusations that outlast an answer which an entry had before it heard of them.
func TestEarlierAnswerAtAnotherEntryEndsAccusation(t *testing.T) {
	withParts(t, Config{}, 2, nil, func(b *partsBed) {
		b.accuse(1, 5)
		time.Sleep(time.Second)
		b.entries[1].recordSound(b.request(5))
		time.Sleep(time.Second)
		b.accuse(2, 5)
		time.Sleep(2 * partsPollInterval)
		if got := b.keeper.PartCrashes([]uint64{5}); got[0] != 1 {
			t.Errorf("part accused of %d crashes, want 1", got[0])
		}
	})
}

// isolateOnly isolates a part by reports alone, without a trial.
func (b *partsBed) isolateOnly(t *testing.T, part uint64) {
	t.Helper()
	for n := range uint64(isolator.DefaultLimit) {
		time.Sleep(time.Second)
		b.accuse(n, part)
	}
	time.Sleep(2 * partsPollInterval)
}

// Guards against blame for requests whose answer had gone on when their target was lost, and
// for parts that were answered meanwhile.
func TestPartsAreAccusedOnlyBeforeTheAnswerGoesOn(t *testing.T) {
	for events, want := range map[int]int{0: 1, 1: 1, goneOnEvents: 0, 9: 0} {
		t.Run(fmt.Sprint(events), func(t *testing.T) {
			withParts(t, Config{}, 1, nil, func(b *partsBed) {
				b.answer = loseAfter(time.Second, events)
				done := b.start(0, configurer.Path{Kind: configurer.KindStream}, 5, 6)
				time.Sleep(time.Second / 2)
				b.entries[0].recordSound(b.request(6))
				_ = <-done
				time.Sleep(publishDelay)
				if got := b.keeper.PartCrashes([]uint64{5, 6}); !slices.Equal(got, []int{want, 0}) {
					t.Errorf("crashes of the parts: %v, want [%d 0]", got, want)
				}
			})
		})
	}
}

// loseAfter returns an answer of a target that is lost after a time and some events.
func loseAfter(d time.Duration, events int) func(context.Context, *Attempt) error {
	return func(_ context.Context, a *Attempt) error {
		time.Sleep(d)
		if err := emit(a, events); err != nil {
			return err
		}
		return lost()
	}
}

// Guards against a bad part that is taken for sound because each of its targets sends one
// event of a resumed stream before it crashes.
func TestEventsAreCountedByAttempt(t *testing.T) {
	withParts(t, Config{}, 1, nil, func(b *partsBed) {
		b.answer = loseAfter(0, 1)
		_ = <-b.start(0, configurer.Path{Kind: configurer.KindStream, Resume: true, MaxAttempts: 2}, 5)
		time.Sleep(publishDelay)
		if _, sound := b.entries[0].parts.lastSound(5); sound || len(b.sent) < 2 {
			t.Errorf("sound %t after %d attempts, want false after 2", sound, len(b.sent))
		}
	})
}

// Guards against blame for a stream that had gone on at its first target, when it is resumed at
// another one that is lost before the next event.
func TestResumedStreamAccusesNoPart(t *testing.T) {
	withParts(t, Config{}, 1, nil, func(b *partsBed) {
		events := goneOnEvents
		b.answer = func(_ context.Context, a *Attempt) error {
			err := emit(a, events)
			events = 0
			if err != nil {
				return err
			}
			return lost()
		}
		_ = <-b.start(0, configurer.Path{Kind: configurer.KindStream, Resume: true, MaxAttempts: 2}, 5)
		time.Sleep(publishDelay)
		if got := b.keeper.PartCrashes([]uint64{5}); got[0] != 0 || len(b.sent) < 2 {
			t.Errorf("part accused of %d crashes after %d attempts, want 0 after 2", got[0], len(b.sent))
		}
	})
}

// Guards against a sound part that stays isolated, as no request with it is answered: one
// entry sends one more request. It must be the only one, as the part may be bad.
func TestIsolatedPartIsTriedOnce(t *testing.T) {
	for name, c := range map[string]struct {
		bad  []uint64
		want int
	}{"sound": {nil, 6}, "bad": {[]uint64{7}, 1}} {
		t.Run(name, func(t *testing.T) {
			withParts(t, Config{}, 2, c.bad, func(b *partsBed) {
				b.accuseAs(t, "entry-1", 7)
				b.expectRefused(0, 7)
				b.expectRefused(1, 7)
				time.Sleep(isolator.TrialDelay)
				for n := range 6 {
					_ = <-b.start(1-n%2, configurer.Path{Kind: configurer.KindSafe, MaxAttempts: 3}, 7, uint64(50+n))
					time.Sleep(4 * publishDelay)
				}
				if n := b.sends(7); n != c.want {
					t.Errorf("%d requests with the part reached targets, want %d", n, c.want)
				}
			})
		})
	}
}

// Guards against requests with a bad part that reach targets long after the isolation: a part
// that was never answered is likely to be bad, and one that was is tried twice at most.
func TestIsolatedPartIsTriedLateOnlyIfItWasAnsweredBefore(t *testing.T) {
	for name, c := range map[string]struct {
		known       bool
		first, last int // requests that reach targets, before the second trial is due and in all
	}{"never answered": {false, 0, 0}, "answered before": {true, 1, 2}} {
		t.Run(name, func(t *testing.T) {
			withParts(t, Config{}, 1, []uint64{7}, func(b *partsBed) {
				if c.known {
					b.entries[0].recordSound(b.request(7))
				}
				b.accuseAs(t, "entry-0", 7)
				b.expectSends(t, 2, isolator.TrialEnd/2, c.first)
				b.expectSends(t, 3, isolator.SecondTrialDelay, c.last)
			})
		})
	}
}

// expectSends waits several times, sends a request with part 7 after each wait but the first,
// and expects how many such requests have reached targets by then.
func (b *partsBed) expectSends(t *testing.T, waits int, wait time.Duration, want int) {
	t.Helper()
	for n := range waits {
		time.Sleep(wait)
		if n > 0 {
			_ = b.send(0, 7, 8)
		}
	}
	if n := b.sends(7); n != want {
		t.Errorf("%d requests with the part reached targets, want %d", n, want)
	}
}

// accuseAs isolates a part by reports of an entry.
func (b *partsBed) accuseAs(t *testing.T, node string, part uint64) {
	t.Helper()
	for n := range uint64(isolator.DefaultLimit) {
		time.Sleep(time.Second)
		b.apply(&applier.Command{Verb: applier.VerbSuspect, Suspect: &messenger.Suspect{
			Fingerprint: n, Target: "other", Incarnation: n, Parts: []uint64{part}, Service: "s", Node: node,
		}})
	}
	time.Sleep(2 * partsPollInterval)
}

// Guards against an isolation that ends while requests with the part still arrive.
func TestIsolationLastsWhileRequestsArrive(t *testing.T) {
	withParts(t, Config{}, 1, []uint64{7}, func(b *partsBed) {
		b.isolateOnly(t, 7)
		for range 3 {
			time.Sleep(applier.DefaultQuarantine / 2)
			b.expectRefused(0, 7)
		}
		time.Sleep(applier.DefaultQuarantine)
		_ = b.send(0, 7, 8)
		_ = b.send(0, 7, 9)
		if n := b.sends(7); n != 1 {
			t.Errorf("%d requests reached targets after the isolation had ended, want 1", n)
		}
	})
}

// Guards against lines from which an operator can't get from a request to its part.
func TestLinesLeadFromRequestToPart(t *testing.T) {
	withParts(t, Config{}, 1, []uint64{7}, func(b *partsBed) {
		b.expectAnswered(0, 1)
		b.isolate(7)
		for msg, fields := range map[string][]string{
			"target lost under a request": {"request", "id", "target", "incarnation", "begun", "goneon", "parts", "accused"},
			"parts isolated":              {"parts", "crashes", "until"},
		} {
			n := slices.IndexFunc(b.logs.AllEntries(), func(e *logrus.Entry) bool { return e.Message == msg })
			if n < 0 {
				t.Fatalf("no line %q", msg)
			}
			for _, f := range fields {
				if _, ok := b.logs.AllEntries()[n].Data[f]; !ok {
					t.Errorf("line %q without %s", msg, f)
				}
			}
		}
	})
}

// Guards against an entry that fails because its keeper is of a build without isolated parts.
func TestKeeperWithoutIsolatedPartsDoesNoHarm(t *testing.T) {
	call := func(context.Context, messenger.Kind, any, any) error {
		return coder.Errorf(coder.BadFrame, "unknown command")
	}
	withTargets(t, Config{Call: call, Exchange: func(context.Context, *Attempt) error { return nil }, Pool: &pooler.Pooler{}}, func(cd *Conductor) {
		if _, err := do(t, cd, configurer.Path{Kind: configurer.KindSafe}); err != nil {
			t.Error(err)
		}
	})
}
