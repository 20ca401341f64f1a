package queuer

// Ranks orders accounts by what they have used beyond this queue. Of two waiting requests of the
// same priority, the one of the account with the lower rank is served first; accounts whose
// ranks are at most the floor are served in turn.
type Ranks struct {
	Of         func(account string) float64
	Floor      func() float64
	Generation func() uint64 // changes when the ranks of all accounts may have changed
}

// SetRanks orders accounts by ranks, with the priority of their requests before them, instead of
// by deficit. Nil restores the order by deficit.
func (q *Queuer) SetRanks(r *Ranks) {
	q.ranks = r
	if r != nil {
		q.refreshRanks()
	}
}

// Charged notes that the rank of an account has changed.
func (q *Queuer) Charged(account string) {
	if f := q.flows[account]; f != nil && q.ranks != nil {
		f.rank = q.ranks.Of(account)
	}
}

// Head returns the first waiting request of an account, nil if there is none.
func (q *Queuer) Head(account string) *Item {
	if f := q.flows[account]; f != nil {
		return f.heap[0]
	}
	return nil
}

// EachHead calls f with the first waiting request of each account, in the order of their turns,
// until f returns false.
func (q *Queuer) EachHead(f func(*Item) bool) {
	for i := range q.ring {
		if !f(q.ring[(q.current+i)%len(q.ring)].heap[0]) {
			return
		}
	}
}

// OtherWaits reports whether the first waiting request of another account has the given priority
// and its account satisfies a condition.
func (q *Queuer) OtherWaits(account string, priority int, ok func(account string) bool) bool {
	for _, f := range q.ring {
		if f.account != account && f.heap[0].Priority == priority && ok(f.account) {
			return true
		}
	}
	return false
}

func (q *Queuer) refreshRanks() {
	q.generation = q.ranks.Generation()
	for _, f := range q.ring {
		f.rank = q.ranks.Of(f.account)
	}
}

// leastRanked returns the flow to serve next by priority and rank. Flows that are equal in both
// are served in turn.
func (q *Queuer) leastRanked() *flow {
	if q.generation != q.ranks.Generation() {
		q.refreshRanks()
	}
	floor := q.ranks.Floor()
	var best *flow
	priority, rank := 0, 0.0
	for i := range q.ring {
		j := q.current + i
		if j >= len(q.ring) {
			j -= len(q.ring)
		}
		f := q.ring[j]
		p, r := f.heap[0].Priority, max(f.rank, floor)
		if best == nil || p > priority || p == priority && r < rank {
			best, priority, rank = f, p, r
		}
	}
	return best
}

// served moves the turn to the flow after the given one.
func (q *Queuer) served(f *flow) {
	for i := range q.ring {
		if q.ring[i] == f {
			q.current = i + 1
		}
	}
	if q.current >= len(q.ring) {
		q.current = 0
	}
}

// rankedAhead estimates the tokens that are served before a new request of an account: those of
// the account and of accounts with a lower rank, and of the others as many as their shares
// allow in the same time.
func (q *Queuer) rankedAhead(account string, share int) int {
	if q.generation != q.ranks.Generation() {
		q.refreshRanks()
	}
	own, rank, floor := 0, max(q.ranks.Of(account), q.ranks.Floor()), q.ranks.Floor()
	if f := q.flows[account]; f != nil {
		own = f.tokens
	}
	ahead := own
	for _, f := range q.ring {
		switch {
		case f.account == account:
		case max(f.rank, floor) < rank:
			ahead += f.tokens
		default:
			ahead += min(f.tokens, (own+quantum)*f.share/max(1, share))
		}
	}
	return ahead
}
