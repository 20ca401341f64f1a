// Package budgeter decides which message bodies a process may hold in memory at the same
// time. When they would need more than the budget, it gives up those that are not complete
// and have occupied most memory for longest: clients that stop short of the end of a body
// lose to those that send theirs.
package budgeter

import (
	"cmp"
	"slices"
	"time"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Verdict -output=verdict_string.go

const (
	// SmallBytes is the largest reservation that may use the whole budget.
	SmallBytes = 64 << 10
	// largeShare is the fraction of the budget for larger ones. The remainder serves small
	// messages while large ones wait for targets.
	largeShare = 0.75
	// uploadTime is how long an incomplete message keeps its memory at least. Most of those
	// that arrive steadily are complete by then: in a burst of large ones, newcomers are
	// refused rather than uploads that have got far.
	uploadTime = time.Second
)

// Verdict is the answer to a request for memory. The zero value refuses it.
type Verdict uint8

// Answers to a request for memory.
const (
	Refused Verdict = iota
	Granted
	Wait // until the reservations that were given up are released
)

// Budgeter holds the reservations of one process. The zero value has no budget and grants
// only what is asked for while nothing else is reserved. It is not safe for concurrent use.
type Budgeter struct {
	Max int // bytes

	reservations map[uint64]*reservation
	last         uint64 // number of the newest reservation
	used         int    // bytes of all reservations
	large        int    // bytes of those above SmallBytes
}

// reservation is the memory of one message.
type reservation struct {
	bytes    int
	since    time.Time
	complete bool // the message was read to its end
	givenUp  bool // its reader was asked to release it
}

// occupancy returns the memory that a reservation has occupied, in byte-seconds.
func (r *reservation) occupancy(now time.Time) float64 {
	return float64(r.bytes) * now.Sub(r.since).Seconds()
}

// Open adds an empty reservation for a message that begins to arrive, and returns its number.
func (b *Budgeter) Open(now time.Time) uint64 {
	if b.reservations == nil {
		b.reservations = map[uint64]*reservation{}
	}
	b.last++
	b.reservations[b.last] = &reservation{since: now}
	return b.last
}

// Resize asks for a reservation to have the given size in bytes. It always grants a smaller
// one, and any size while there is no other reservation: a single message within the limits
// on messages is never refused. If it answers Wait, it returns the numbers of further
// reservations to give up; the caller asks again once one was released. A refused reservation
// keeps its size.
func (b *Budgeter) Resize(now time.Time, id uint64, bytes int) (Verdict, []uint64) {
	r := b.reservations[id]
	if r == nil || r.givenUp {
		return Refused, nil
	}
	missing := b.missing(r, bytes)
	if bytes <= r.bytes || missing <= 0 || b.used == r.bytes {
		b.set(r, bytes)
		return Granted, nil
	}
	var victims []uint64
	for _, v := range b.candidates(now, r, bytes) {
		if missing <= 0 {
			break
		}
		c := b.reservations[v]
		missing -= c.bytes
		if !c.givenUp {
			victims = append(victims, v)
		}
	}
	if missing > 0 {
		return Refused, nil
	}
	for _, v := range victims {
		b.reservations[v].givenUp = true
	}
	return Wait, victims
}

// missing returns by how many bytes a new size of r exceeds what is free; at most zero if it
// fits.
func (b *Budgeter) missing(r *reservation, bytes int) int {
	missing := b.used - r.bytes + bytes - b.Max
	if bytes > SmallBytes {
		missing = max(missing, b.large-largeBytes(r.bytes)+bytes-int(largeShare*float64(b.Max)))
	}
	return missing
}

// candidates returns the incomplete reservations that may make room for r: first those that
// were given up already, then the others in the order in which they are given up. They are
// older than uploadTime and have occupied more memory than r. A large reservation needs the
// memory of large ones.
func (b *Budgeter) candidates(now time.Time, r *reservation, bytes int) []uint64 {
	own := r.occupancy(now)
	var out []uint64
	for id, c := range b.reservations {
		if c == r || c.complete || c.bytes == 0 || bytes > SmallBytes && c.bytes <= SmallBytes {
			continue
		}
		if c.givenUp || now.Sub(c.since) > uploadTime && c.occupancy(now) > own {
			out = append(out, id)
		}
	}
	slices.SortFunc(out, func(x, y uint64) int {
		cx, cy := b.reservations[x], b.reservations[y]
		if cx.givenUp != cy.givenUp {
			if cx.givenUp {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(cy.occupancy(now), cx.occupancy(now)), cmp.Compare(x, y))
	})
	return out
}

// Complete records that a message was read to its end. It is not given up any more. Complete
// returns false if it was given up before.
func (b *Budgeter) Complete(id uint64) bool {
	r := b.reservations[id]
	if r == nil || r.givenUp {
		return false
	}
	r.complete = true
	return true
}

// Close releases a reservation.
func (b *Budgeter) Close(id uint64) {
	if r := b.reservations[id]; r != nil {
		b.set(r, 0)
		delete(b.reservations, id)
	}
}

// GivenUp reports whether a reservation was given up.
func (b *Budgeter) GivenUp(id uint64) bool {
	r := b.reservations[id]
	return r != nil && r.givenUp
}

// Used returns the bytes of all reservations.
func (b *Budgeter) Used() int { return b.used }

func (b *Budgeter) set(r *reservation, bytes int) {
	b.used += bytes - r.bytes
	b.large += largeBytes(bytes) - largeBytes(r.bytes)
	r.bytes = bytes
}

// largeBytes returns the size of a reservation if it is large, else zero.
func largeBytes(bytes int) int {
	if bytes > SmallBytes {
		return bytes
	}
	return 0
}
