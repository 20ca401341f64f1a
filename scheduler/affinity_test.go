package scheduler_test

import (
	"testing"
	"time"

	"bramleyshunt/messenger"
	"bramleyshunt/scheduler"
)

// Guards against admission that takes a target for fast as a hinted prefix was not expected to be
// cached: the same wait then looks like less of a slowdown, and admitted requests pass their
// deadlines under overload.
func TestHintedPrefixCountsAsCachedInThePredictedPrefill(t *testing.T) {
	predict := func(prefix int) time.Duration {
		s := &scheduler.Scheduler{}
		now := time.Unix(1000, 0)
		target := messenger.Target{ID: "t", Service: "s", Incarnation: 1, Load: messenger.Load{Seq: 1, Memory: 400_000, Speed: 10_000, Pace: 40}}
		s.Router.Update(now, []messenger.Target{target})
		ticket := &scheduler.Ticket{ID: "a", Service: "s", Prompt: 4000, Output: 10, Deadline: now.Add(time.Minute)}
		s.Enqueue(ticket)
		placed := s.Dispatch(now)
		if len(placed) != 1 || placed[0].Err != nil {
			t.Fatalf("placed %+v", placed)
		}
		pick := placed[0].Pick
		pick.Prefix = prefix
		for range 100 {
			s.PrefillDone(ticket, pick, time.Second)
		}
		return s.PredictDuration(ticket)
	}
	if whole, none := predict(3000), predict(0); whole <= none {
		t.Errorf("predicted %v with a hinted prefix, %v without, want more", whole, none)
	}
}
