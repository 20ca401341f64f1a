package retrier

import "time"

// budget is the retry budget of one service. In any window it allows at most max retries
// beyond those that requests earn, also if the process is replaced within the window.
type budget struct {
	max     float64
	charges []charge // unexpired, oldest first
}

// charge is a part of a budget that is spent until a request earns it back or it expires.
type charge struct {
	at time.Time
	n  float64
}

// newBudget returns a budget. With a window all of it counts as spent at since: a process
// before this one may have spent it.
func newBudget(limit float64, since time.Time, window time.Duration) *budget {
	b := &budget{max: limit}
	if window > 0 {
		b.charge(since, limit)
	}
	return b
}

// expire drops the charges older than window. Without a window charges do not expire.
func (b *budget) expire(now time.Time, window time.Duration) {
	for window > 0 && len(b.charges) > 0 && now.Sub(b.charges[0].at) >= window {
		b.charges = b.charges[1:]
	}
}

// unused returns the retries that are left.
func (b *budget) unused() float64 { return b.max - b.spent() }

func (b *budget) spent() (sum float64) {
	for _, c := range b.charges {
		sum += c.n
	}
	return sum
}

func (b *budget) charge(at time.Time, n float64) { b.charges = append(b.charges, charge{at: at, n: n}) }

// earn pays back the newest charges, as the oldest ones expire first.
func (b *budget) earn(n float64) {
	for n > 0 && len(b.charges) > 0 {
		last := &b.charges[len(b.charges)-1]
		paid := min(n, last.n)
		last.n -= paid
		n -= paid
		if last.n <= 0 {
			b.charges = b.charges[:len(b.charges)-1]
		}
	}
}

// resize sets the maximum. With a window an increase counts as spent, as others may have
// spent that part; a decrease never adds unused retries.
func (b *budget) resize(now time.Time, limit float64, window time.Duration) {
	b.expire(now, window)
	if window > 0 && limit > b.max {
		b.charge(now, limit-b.max)
	}
	b.max = limit
	b.earn(max(0, b.spent()-limit))
}
