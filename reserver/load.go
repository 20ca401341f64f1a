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

// checkAdmission refuses an attempt that the target cannot hold or finish now. A speed
// measured under low load is a lower bound, so the attempt's own prompt counts only if
// the engine reports its speed; otherwise long prompts would be refused before any has
// been tried.
func (r *Reserver) checkAdmission(m *messenger.Reserve) error {
	if m.Attempt == "" || m.Prompt < 0 || m.Output < 0 || m.Bytes < 0 {
		return coder.Errorf(coder.Malformed, "attempt %q, prompt %d, output %d, body %d", m.Attempt, m.Prompt, m.Output, m.Bytes)
	}
	if m.Remaining <= 0 {
		e := coder.Errorf(coder.DeadlineExceeded, "no time left")
		e.Run = coder.NotRun
		return e
	}
	if len(r.live) >= r.slots() || len(r.records) >= MaxRecords {
		return r.refuse(coder.Busy, r.pendingPrefill, "%d of %d slots", len(r.live), r.slots())
	}
	if err := r.checkMemory(m); err != nil {
		return err
	}
	if r.MaxBodies > 0 && r.usedBytes > 0 && m.Bytes > r.MaxBodies-r.usedBytes {
		return r.refuse(coder.Busy, r.pendingPrefill, "body of %d bytes, %d of %d used", m.Bytes, r.usedBytes, r.MaxBodies)
	}
	ahead := r.tokensAhead(m.Priority)
	if r.meter.reportedSpeed > 0 {
		ahead += m.Prompt
	}
	if speed := r.meter.speed(); speed > 0 && timeForTokens(ahead, speed) > prefillSlack*m.Remaining {
		return r.refuse(coder.Overloaded, ahead, "%d tokens ahead at %d a second, %s left", ahead, speed, m.Remaining)
	}
	return nil
}

// checkMemory checks the memory and the share of long prompts. A long prompt is always
// within the share if no other one awaits prefill, so that none is refused forever.
func (r *Reserver) checkMemory(m *messenger.Reserve) error {
	if r.Memory <= 0 {
		return nil
	}
	need := m.Prompt + m.Output
	if need > r.Memory {
		return coder.Errorf(coder.MemoryFull, "%d tokens, memory for %d", need, r.Memory)
	}
	if need > r.Memory-r.usedTokens-r.unaccounted {
		return r.refuse(coder.MemoryFull, r.pendingPrefill, "%d tokens, %d of %d used", need, r.usedTokens+r.unaccounted, r.Memory)
	}
	if messenger.ClassOf(m.Prompt) < messenger.Long {
		return nil
	}
	if long := r.pendingLongTokens(); long > 0 && long+m.Prompt > int(r.longPromptShare()*float64(r.Memory)) {
		return r.refuse(coder.Busy, long, "%d tokens of long prompts waiting", long)
	}
	return nil
}

// refuse returns an error that tells the caller to retry once n tokens have been
// prefilled, bounded by minRetry and maxRetry.
func (r *Reserver) refuse(c coder.Code, n int, format string, args ...any) error {
	e := coder.Errorf(c, format, args...)
	e.Retry = min(max(timeForTokens(n, r.meter.speed()), minRetry), maxRetry)
	return e
}

// Load returns the load to be reported to entries.
func (r *Reserver) Load(now time.Time) messenger.Load {
	r.advance(now)
	return r.load()
}

func (r *Reserver) load() messenger.Load {
	r.seq++
	return messenger.Load{
		Seq: r.seq, Waiting: r.pendingPrefill, Running: len(r.live), Used: r.usedTokens + r.unaccounted, Memory: r.Memory,
		Speed: r.meter.speed(), Pace: r.meter.pace(), ByClass: r.byClass(),
	}
}

// byClass returns the tokens that await prefill by length class of their prompts.
func (r *Reserver) byClass() (n [messenger.Classes]int) {
	for _, rec := range r.live {
		n[messenger.ClassOf(rec.prompt)] += rec.pendingTokens()
	}
	return n
}

// tokensAhead returns the tokens awaiting prefill at the given priority or above.
func (r *Reserver) tokensAhead(priority int) int {
	n := 0
	for _, rec := range r.live {
		if rec.priority >= priority {
			n += rec.pendingTokens()
		}
	}
	return n
}

// pendingLongTokens returns the tokens of long prompts that await prefill.
func (r *Reserver) pendingLongTokens() int {
	n := 0
	for _, rec := range r.live {
		if rec.isLong() {
			n += rec.pendingTokens()
		}
	}
	return n
}

func (r *Reserver) longPromptShare() float64 {
	if r.LongPromptShare > 0 {
		return r.LongPromptShare
	}
	return DefaultLongPromptShare
}

// timeForTokens returns the processing time of n tokens, or zero if the speed is
// unknown.
func timeForTokens(n, speed int) time.Duration {
	if speed <= 0 {
		return 0
	}
	return time.Duration(float64(n) / float64(speed) * float64(time.Second))
}
