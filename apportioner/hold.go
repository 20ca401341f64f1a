package apportioner

import (
	"cmp"
	"slices"
	"time"
)

const (
	// MaxHeld bounds the accounts whose holds are recorded at a time. Other accounts are
	// refused all the same.
	MaxHeld = 20
	// holdTime is the time without a refusal after which a hold has ended. It also bounds
	// how often the holds of one account begin.
	holdTime = 10 * time.Second
)

// Hold is a time in which requests of an account are refused because it is above its share.
type Hold struct {
	Account string
	Use     float64 // milliseconds
	Share   float64 // milliseconds
	Since   time.Time
	Refused int           // requests
	Age     time.Duration // of the uses of other entries
	Known   bool          // uses of other entries were used

	last time.Time
}

// Refuse records that a request of an account was refused because the account is above its
// share. It returns the hold if it begins one, nil otherwise.
func (a *Apportioner) Refuse(now time.Time, name string) *Hold {
	a.advance(now)
	a.account(name).refused++
	if h := a.held[name]; h != nil {
		h.last = a.now
		h.Refused++
		return nil
	}
	if len(a.held) >= MaxHeld {
		return nil
	}
	if a.held == nil {
		a.held = map[string]*Hold{}
	}
	h := &Hold{Account: name, Since: a.now, Refused: 1, last: a.now}
	a.describe(h)
	a.held[name] = h
	return h
}

// EndedHolds returns the holds that have ended since the last call, by account.
func (a *Apportioner) EndedHolds(now time.Time) []Hold {
	if len(a.held) == 0 {
		return nil
	}
	a.advance(now)
	var out []Hold
	for name, h := range a.held {
		if a.now.Sub(h.last) >= holdTime {
			a.describe(h)
			out = append(out, *h)
			delete(a.held, name)
		}
	}
	slices.SortFunc(out, func(x, y Hold) int { return cmp.Compare(x.Account, y.Account) })
	return out
}

// describe sets the figures of a hold to the present ones.
func (a *Apportioner) describe(h *Hold) {
	h.Use, h.Share = a.Use(a.now, h.Account), a.Share(a.now, h.Account)
	h.Age, h.Known = a.Age(a.now)
}

// Late records a request whose first token came later than its objective, or not at all.
func (a *Apportioner) Late(now time.Time, name string) {
	a.advance(now)
	a.account(name).late++
}
