package conductor

import (
	"testing"
	"testing/synctest"
	"time"

	"bramleyshunt/configurer"
	"bramleyshunt/isolator"
)

// claimable isolates a part by reports of an entry that gets no request, and waits until a
// trial may be claimed.
func (b *partsBed) claimable(t *testing.T, part uint64) {
	t.Helper()
	b.accuseAs(t, "entry without requests", part)
	b.expectRefused(0, part)
	time.Sleep(isolator.TrialDelay)
}

// Guards against a sound part that stays isolated as the entry that last reported it gets no
// request with it.
func TestAnyEntryMayTryIsolatedPart(t *testing.T) {
	withParts(t, Config{}, 2, nil, func(b *partsBed) {
		b.claimable(t, 7)
		b.expectAnswered(1, 7, 8)
		b.expectAnswered(0, 7, 9)
	})
}

// Guards against several requests with a bad part that entries send at the same time.
func TestEntriesTryIsolatedPartOnceAtTheSameTime(t *testing.T) {
	withParts(t, Config{}, 4, []uint64{7}, func(b *partsBed) {
		b.claimable(t, 7)
		var done []<-chan error
		for n := range 12 {
			done = append(done, b.start(n%4, configurer.Path{Kind: configurer.KindSafe, MaxAttempts: 3}, 7, uint64(50+n)))
		}
		for _, d := range done {
			_ = <-d
		}
		if n := b.sends(7); n != 1 {
			t.Errorf("%d requests with the part reached targets, want 1", n)
		}
	})
}

// Guards against a request that waits for keepers that don't answer, and against one that is
// sent after its grant came too late: by then another entry may have been granted a trial.
func TestTrialIsRefusedIfItsGrantIsLate(t *testing.T) {
	for name, delay := range map[string]time.Duration{"late": isolator.ClaimWait + time.Millisecond, "never": time.Hour} {
		t.Run(name, func(t *testing.T) {
			withParts(t, Config{}, 1, nil, func(b *partsBed) {
				b.claimable(t, 7)
				b.keeperDelay = delay
				start := time.Now()
				err := <-b.start(0, configurer.Path{Kind: configurer.KindSafe}, 7, 8)
				if took := time.Since(start); !isIsolated(err) || took > isolator.ClaimWait {
					t.Errorf("got %v after %v, want code PartQuarantined within %v", err, took, isolator.ClaimWait)
				}
				if n := b.sends(7); n > 0 {
					t.Errorf("%d requests with the part reached targets", n)
				}
			})
		})
	}
}

// Guards against a trial that is taken for a failure of one part though another one, isolated
// too, crashes its target.
func TestRequestWithTwoIsolatedPartsIsNoTrial(t *testing.T) {
	withParts(t, Config{}, 1, []uint64{9}, func(b *partsBed) {
		b.accuseAs(t, "entry without requests", 7)
		for n := range uint64(isolator.DefaultLimit) {
			b.accuse(100+n, 9)
			time.Sleep(time.Second)
		}
		time.Sleep(isolator.TrialDelay)
		b.expectRefused(0, 7, 9)
		b.expectRefused(0, 9, 7, 8)
	})
}

// Guards against a trial that is sent long after its grant, when another one is in progress.
func TestTrialIsRefusedIfItIsQueuedForLong(t *testing.T) {
	withParts(t, Config{}, 1, nil, func(b *partsBed) {
		b.claimable(t, 7)
		b.fill(t)
		queued := b.start(0, configurer.Path{Kind: configurer.KindSafe}, 7, 1)
		synctest.Wait()
		time.Sleep(isolator.SendWait + time.Millisecond)
		b.publish()
		if err := <-queued; !isIsolated(err) {
			t.Errorf("got %v, want code PartQuarantined", err)
		}
		if n := b.sends(7); n > 0 {
			t.Errorf("%d requests with the part reached targets", n)
		}
	})
}
