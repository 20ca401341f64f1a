// Package apportioner accounts for the work that client accounts have used in a fleet, and
// tells which of them have used more than their share of it. Uses are milliseconds of engine
// time that decay with a half-life. Each entry counts its own and receives the sum of the
// other entries.
package apportioner

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// HalfLife is the time in which a use decays to its half.
	HalfLife = 5 * time.Second
	// MaxAccounts bounds the accounts whose uses are kept. The use of an evicted account
	// remains in the total.
	MaxAccounts = 1300
	// MaxAge is the age from which the uses of other entries are ignored.
	MaxAge = time.Second

	// tolerance is how far the use of an account may exceed its share before it counts as
	// above it. Accounts of equal demand otherwise alternate between the two.
	tolerance = 1.1
	// activeUse is the decayed use, in milliseconds, from which an account takes part in the
	// division. A short prompt costs some 20 ms, so its account takes part for 20 s.
	activeUse = 1.0
	// creditFraction is the fraction of the mean use per weight below which accounts rank
	// equally, so that one that was idle is not served alone until it has caught up.
	creditFraction = 0.5
	// activeInterval is how long a sum over the active accounts is used again.
	activeInterval = 100 * time.Millisecond
	// maxHalfLives is the number of half-lives after which scaled uses are scaled anew.
	maxHalfLives = 64
	// maxRetry bounds the time that Retry returns.
	maxRetry = 2 * time.Minute
)

// Apportioner keeps the uses of one entry and those that the others have reported. The zero
// value is ready to use. It is not safe for concurrent use.
//
// Uses are kept multiplied by two to the power of the half-lives since a fixed time. A use
// then changes only when work is added, and uses compare without the time.
type Apportioner struct {
	now      time.Time // latest time passed in; time never goes backwards
	landmark time.Time // at which scaled uses equal milliseconds

	index    map[string]int // into accounts, by name
	byHash   map[uint64]int // into accounts
	accounts []account
	evicted  account // sums over evicted accounts

	weights      map[string]int     // by name, from the configuration
	weightByHash map[uint64]float64 // the same
	ownTotal     float64            // scaled, including evicted accounts
	peers        map[uint64]float64 // uses at the other entries, scaled
	peerTotal    float64            // scaled, including accounts that are not listed
	peerAge      time.Duration      // when they were received
	peersAt      time.Time          // zero if there are none

	active     float64 // sum of the weights of the active accounts
	activeAt   time.Time
	generation uint64

	held map[string]*Hold
}

// account is the state of one account. Uses are scaled.
type account struct {
	name    string
	hash    uint64
	weight  float64
	own     float64
	refused int
	late    int
}

// Hash returns the number that stands for an account in messages. It has 32 bits, as it is
// sent often; two of 1,300 accounts have the same one with a probability of 1 to 5,000, and
// their uses are added up then.
func Hash(name string) uint64 { return max(1, xxhash.Sum64String(name)>>32) }

// SetWeights sets the weights of all accounts of the configuration. Weights below one, and
// those of other accounts, are one.
func (a *Apportioner) SetWeights(weights map[string]int) {
	a.weights, a.weightByHash = weights, make(map[uint64]float64, len(weights))
	for name, w := range weights {
		a.weightByHash[Hash(name)] = float64(max(1, w))
	}
	for i := range a.accounts {
		a.accounts[i].weight = a.weightOf(a.accounts[i].name)
	}
	a.changed()
}

func (a *Apportioner) weightOf(name string) float64 { return float64(max(1, a.weights[name])) }

// Charge adds work, in milliseconds, that was begun at a time. A negative amount takes back
// work that was charged at the same time, as far as it has not decayed.
func (a *Apportioner) Charge(at time.Time, name string, ms float64) {
	if math.IsNaN(ms) || math.IsInf(ms, 0) || ms == 0 {
		return
	}
	if _, known := a.index[name]; !known && ms < 0 {
		return // it was evicted
	}
	a.advance(at)
	x := a.account(name)
	before := x.own
	x.own = max(0, x.own+ms*a.scale(at))
	a.ownTotal = max(0, a.ownTotal+x.own-before)
}

// Use returns the decayed use of an account at all entries, in milliseconds.
func (a *Apportioner) Use(now time.Time, name string) float64 {
	a.advance(now)
	return a.use(name) / a.scale(a.now)
}

// Share returns the use that is the share of an account, in milliseconds: the use of all
// accounts at all entries, divided by the weights of the active accounts and this one.
func (a *Apportioner) Share(now time.Time, name string) float64 {
	a.advance(now)
	return a.share(name) / a.scale(a.now)
}

// Above reports whether the use of an account exceeds its share.
func (a *Apportioner) Above(now time.Time, name string) bool {
	a.advance(now)
	return a.use(name) > tolerance*a.share(name)
}

// Excess returns by how much the use of an account exceeds its share, in milliseconds.
func (a *Apportioner) Excess(now time.Time, name string) float64 {
	return max(0, a.Use(now, name)-a.Share(now, name))
}

// Retry returns the time until the use of an account has decayed to its share, if none of its
// requests run meanwhile and the fleet stays as busy as it is.
func (a *Apportioner) Retry(now time.Time, name string) time.Duration {
	use, share := a.Use(now, name), a.Share(now, name)
	if use <= share {
		return 0
	}
	halfLives := math.Log2(use / share)
	if share <= 0 || halfLives*float64(HalfLife) > float64(maxRetry) {
		return maxRetry
	}
	return time.Duration(halfLives * float64(HalfLife))
}

// Rank returns a number by which accounts are served, the least first: the use per weight.
// Ranks compare whenever they were returned, until Generation changes. Only Charge changes
// the rank of its account otherwise.
func (a *Apportioner) Rank(name string) float64 {
	return a.use(name) / a.weight(name)
}

// Floor returns the rank below which accounts are served equally.
func (a *Apportioner) Floor() float64 {
	if w := a.activeWeight(); w > 0 {
		return creditFraction * a.total() / w
	}
	return 0
}

// Generation changes whenever ranks that were returned before compare no more.
func (a *Apportioner) Generation() uint64 { return a.generation }

// Age returns the age of the uses of other entries, and whether they are used.
func (a *Apportioner) Age(now time.Time) (time.Duration, bool) {
	a.advance(now)
	if a.peersAt.IsZero() {
		return 0, false
	}
	return a.peerAge + a.now.Sub(a.peersAt), true
}

// use returns the scaled use of an account at all entries.
func (a *Apportioner) use(name string) float64 {
	if i, ok := a.index[name]; ok {
		x := &a.accounts[i]
		return x.own + a.peers[x.hash]
	}
	if len(a.peers) == 0 {
		return 0
	}
	return a.peers[Hash(name)]
}

// share returns the scaled share of an account.
func (a *Apportioner) share(name string) float64 {
	w, all := a.weight(name), a.activeWeight()
	if a.use(name) < activeUse*a.scale(a.now) {
		all += w
	}
	return a.total() * w / max(w, all)
}

func (a *Apportioner) weight(name string) float64 {
	if i, ok := a.index[name]; ok {
		return a.accounts[i].weight
	}
	return a.weightOf(name)
}

func (a *Apportioner) total() float64 { return a.ownTotal + a.peerTotal }

// advance moves the time forward, drops uses of other entries that are too old, and scales
// the uses anew if necessary.
func (a *Apportioner) advance(now time.Time) {
	if a.landmark.IsZero() {
		a.now, a.landmark = now, now
	}
	if now.After(a.now) {
		a.now = now
	}
	if !a.peersAt.IsZero() && a.peerAge+a.now.Sub(a.peersAt) > MaxAge {
		a.dropPeers()
	}
	if a.now.Sub(a.landmark) > maxHalfLives*HalfLife {
		a.rescale()
	}
}

// scale returns the factor between milliseconds at a time and scaled uses.
func (a *Apportioner) scale(at time.Time) float64 {
	return math.Exp2(float64(at.Sub(a.landmark)) / float64(HalfLife))
}

func (a *Apportioner) rescale() {
	by := 1 / a.scale(a.now)
	a.ownTotal, a.peerTotal = a.ownTotal*by, a.peerTotal*by
	a.evicted.own *= by
	for i := range a.accounts {
		a.accounts[i].own *= by
	}
	for h := range a.peers {
		a.peers[h] *= by
	}
	a.landmark = a.now
	a.changed()
}

// changed notes that all ranks may have changed.
func (a *Apportioner) changed() {
	a.generation++
	a.activeAt = time.Time{}
}

// account returns the state of an account. It evicts the account with the least use if
// there are too many.
func (a *Apportioner) account(name string) *account {
	if i, ok := a.index[name]; ok {
		return &a.accounts[i]
	}
	if a.index == nil {
		a.index, a.byHash = map[string]int{}, map[uint64]int{}
	}
	i := len(a.accounts)
	if i >= MaxAccounts {
		i = a.evict()
	} else {
		a.accounts = append(a.accounts, account{})
	}
	a.accounts[i] = account{name: name, hash: Hash(name), weight: a.weightOf(name)}
	a.index[name], a.byHash[a.accounts[i].hash] = i, i
	return &a.accounts[i]
}

// evict removes the account with the least use of this entry and returns its place.
func (a *Apportioner) evict() int {
	least := 0
	for i := range a.accounts {
		if a.accounts[i].own < a.accounts[least].own {
			least = i
		}
	}
	x := &a.accounts[least]
	a.evicted.own += x.own
	a.evicted.refused += x.refused
	a.evicted.late += x.late
	delete(a.index, x.name)
	if a.byHash[x.hash] == least {
		delete(a.byHash, x.hash)
	}
	return least
}

// activeWeight returns the sum of the weights of the active accounts.
func (a *Apportioner) activeWeight() float64 {
	if !a.activeAt.IsZero() && a.now.Sub(a.activeAt) < activeInterval {
		return a.active
	}
	a.activeAt, a.active = a.now, 0
	least := activeUse * a.scale(a.now)
	for i := range a.accounts {
		if x := &a.accounts[i]; x.own+a.peers[x.hash] >= least {
			a.active += x.weight
		}
	}
	for h, u := range a.peers {
		if _, known := a.byHash[h]; !known && u >= least {
			a.active += max(1, a.weightByHash[h])
		}
	}
	return a.active
}
