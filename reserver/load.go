package reserver

import (
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

const (
	minRetry = 100 * time.Millisecond
	maxRetry = 30 * time.Second
)

// check refuses what the target can't hold or finish now. A speed measured at
// low load is a lower bound, so the prompt itself counts only at a speed that
// the engine has told; else long prompts would be refused before any is tried.
func (r *Reserver) check(m *messenger.Reserve) error {
	if m.Attempt == "" || m.Prompt < 0 || m.Output < 0 {
		return coder.Errorf(coder.Malformed, "attempt %q, prompt %d, output %d", m.Attempt, m.Prompt, m.Output)
	}
	if m.Remaining <= 0 {
		e := coder.Errorf(coder.DeadlineExceeded, "no time left")
		e.Run = coder.NotRun
		return e
	}
	if len(r.live) >= r.slots() || len(r.records) >= MaxRecords {
		return r.refuse(coder.Busy, r.queued, "%d of %d slots", len(r.live), r.slots())
	}
	if err := r.fits(m); err != nil {
		return err
	}
	ahead := r.ahead(m.Priority)
	if r.meter.told > 0 {
		ahead += m.Prompt
	}
	if speed := r.meter.speed(); speed > 0 && seconds(ahead, speed) > slack*m.Remaining {
		return r.refuse(coder.Overloaded, ahead, "%d tokens ahead at %d a second, %s left", ahead, speed, m.Remaining)
	}
	return nil
}

// fits checks memory and the share of long prefill. One long prompt always fits
// the share, so that none is refused for ever.
func (r *Reserver) fits(m *messenger.Reserve) error {
	if r.Memory <= 0 {
		return nil
	}
	need := m.Prompt + m.Output
	if need > r.Memory {
		return coder.Errorf(coder.MemoryFull, "%d tokens, memory for %d", need, r.Memory)
	}
	if need > r.Memory-r.used-r.extra {
		return r.refuse(coder.MemoryFull, r.queued, "%d tokens, %d of %d used", need, r.used+r.extra, r.Memory)
	}
	if messenger.ClassOf(m.Prompt) < messenger.Long {
		return nil
	}
	if long := r.longs(); long > 0 && long+m.Prompt > int(r.share()*float64(r.Memory)) {
		return r.refuse(coder.Busy, long, "%d tokens of long prompts waiting", long)
	}
	return nil
}

// refuse returns a refusal that says when n tokens will have been prefilled.
func (r *Reserver) refuse(c coder.Code, n int, format string, args ...any) error {
	e := coder.Errorf(c, format, args...)
	e.Retry = min(max(seconds(n, r.meter.speed()), minRetry), maxRetry)
	return e
}

// Load returns what entries should know of the target.
func (r *Reserver) Load(now time.Time) messenger.Load {
	r.advance(now)
	return r.load()
}

func (r *Reserver) load() messenger.Load {
	r.seq++
	return messenger.Load{
		Seq: r.seq, Waiting: r.queued, Running: len(r.live), Used: r.used + r.extra, Memory: r.Memory,
		Speed: r.meter.speed(), Pace: r.meter.pace(), ByClass: r.byClass(),
	}
}

// byClass returns the waiting tokens by length class of their prompts.
func (r *Reserver) byClass() (n [messenger.Classes]int) {
	for _, rec := range r.live {
		n[messenger.ClassOf(rec.prompt)] += rec.waiting()
	}
	return n
}

// ahead returns the waiting tokens that go before an attempt of a priority.
func (r *Reserver) ahead(priority int) int {
	n := 0
	for _, rec := range r.live {
		if rec.priority >= priority {
			n += rec.waiting()
		}
	}
	return n
}

// longs returns the waiting tokens of long prompts.
func (r *Reserver) longs() int {
	n := 0
	for _, rec := range r.live {
		if rec.long() {
			n += rec.waiting()
		}
	}
	return n
}

func (r *Reserver) share() float64 {
	if r.Share > 0 {
		return r.Share
	}
	return DefaultShare
}

// seconds returns how long n tokens take; zero if the speed is not known.
func seconds(n, speed int) time.Duration {
	if speed <= 0 {
		return 0
	}
	return time.Duration(float64(n) / float64(speed) * float64(time.Second))
}
