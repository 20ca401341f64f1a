package scheduler

import (
	"time"

	"bramleyshunt/messenger"
)

const (
	minDrainTime = time.Second      // minimum measurement before the measured rate is used
	maxDrainTime = 20 * time.Second // measurement time after which the weight of earlier tokens is halved
)

// drainMeter measures the rate at which a queue drains while it is not empty. The rate that
// targets report does not account for delays other than computation, such as a lack of
// memory.
type drainMeter struct {
	since  time.Time // zero while the queue is empty
	tokens float64
}

// record records a dispatch that placed the given number of tokens, and whether tickets are
// still waiting after it.
func (d *drainMeter) record(now time.Time, waiting bool, tokens int) {
	switch {
	case !waiting:
		*d = drainMeter{}
	case d.since.IsZero():
		d.since = now
	default:
		d.tokens += float64(tokens)
	}
	if elapsed := now.Sub(d.since); waiting && elapsed > maxDrainTime {
		d.since = d.since.Add(elapsed / 2)
		d.tokens /= 2
	}
}

// rate returns the drain rate in tokens per second, bounded by the reported rate. The
// request at the head of the queue counts as placed now: that makes the result an upper
// bound of the rate so far, and with few large requests it may be the only sample.
func (d *drainMeter) rate(now time.Time, reported, first int) int {
	elapsed := now.Sub(d.since)
	if d.since.IsZero() || elapsed < minDrainTime {
		return reported
	}
	return min(reported, max(1, int((d.tokens+float64(first))/elapsed.Seconds())))
}

// UpdateTargets replaces the known targets of the Router. Measured drain rates follow the
// capacity of their service at once: they were measured with the former targets.
func (s *Scheduler) UpdateTargets(now time.Time, targets []messenger.Target) {
	before := make(map[queueKey]int, len(s.keys))
	for _, k := range s.keys {
		before[k] = s.prefillRate(k)
	}
	s.Router.Update(now, targets)
	for _, k := range s.keys {
		if after := s.prefillRate(k); before[k] > 0 && after > 0 {
			s.drains[k].tokens *= float64(after) / float64(before[k])
		}
	}
}

// prefillRate returns the reported prefill rate of the targets that serve a queue.
func (s *Scheduler) prefillRate(k queueKey) int {
	return s.Router.Capacity(k.service, k.class > messenger.Medium).PrefillRate
}

// measured returns the drain rate that rate bounds, without the bound, and false if the queue
// has not been measured for long enough.
func (d *drainMeter) measured(now time.Time, first int) (int, bool) {
	elapsed := now.Sub(d.since)
	if d.since.IsZero() || elapsed < minDrainTime {
		return 0, false
	}
	return max(1, int((d.tokens+float64(first))/elapsed.Seconds())), true
}
