// Package queuer orders waiting requests: deficit round robin by token cost over
// client accounts, and within one account by priority, then earliest deadline.
package queuer

import (
	"container/heap"
	"slices"
	"time"
)

const quantum = 1024 // tokens a round and unit of share

// Item is one waiting request.
type Item struct {
	ID       string // unique among those waiting
	Account  string
	Share    int // weight of the account; 1 if zero
	Cost     int // tokens
	Priority int // higher goes first
	Deadline time.Time

	seq   uint64
	index int
	flow  *flow
}

// Queuer holds waiting requests. The zero value is empty. A decision takes time
// logarithmic in one account's requests; costs far above the quantum add one
// pass over the waiting accounts.
type Queuer struct {
	items  map[string]*Item
	flows  map[string]*flow
	ring   []*flow // accounts with waiting requests, in round order
	turn   int
	round  int
	shares int             // of the flows in the ring
	debts  map[string]debt // of accounts that left the ring with a debt
	seq    uint64
	tokens int
}

// debt is a negative deficit and the round in which its flow left the ring.
type debt struct {
	deficit int
	round   int
}

// flow is one account's requests. A flow is served while its deficit is
// positive; one request may take it below zero, and later rounds repay that.
type flow struct {
	account string
	share   int
	deficit int
	tokens  int
	heap    byUrgency
}

// Len returns the number of waiting requests.
func (q *Queuer) Len() int { return len(q.items) }

// Tokens returns the cost of all waiting requests.
func (q *Queuer) Tokens() int { return q.tokens }

// Push adds a request. The queue owns it until it is popped or removed.
func (q *Queuer) Push(it *Item) {
	if q.items == nil {
		q.items, q.flows, q.debts = map[string]*Item{}, map[string]*flow{}, map[string]debt{}
	}
	f := q.flows[it.Account]
	if f == nil {
		f = q.join(it)
	}
	q.shares += max(1, it.Share) - f.share
	f.share = max(1, it.Share)
	q.seq++
	it.seq, it.flow = q.seq, f
	q.items[it.ID] = it
	q.tokens += it.Cost
	f.tokens += it.Cost
	heap.Push(&f.heap, it)
}

// join adds an account's flow to the ring with what is left of its debt.
func (q *Queuer) join(it *Item) *flow {
	f := &flow{account: it.Account, share: max(1, it.Share)}
	if d, ok := q.debts[it.Account]; ok {
		f.deficit = min(0, d.deficit+(q.round-d.round)*quantum*f.share)
		delete(q.debts, it.Account)
	}
	q.flows[it.Account] = f
	q.ring = append(q.ring, f)
	q.shares += f.share
	return f
}

// Peek returns the request whose turn it is, or nil if none waits.
func (q *Queuer) Peek() *Item {
	if len(q.ring) == 0 {
		return nil
	}
	for range q.ring {
		if f := q.ring[q.turn]; f.deficit > 0 {
			return f.heap[0]
		}
		q.advance()
	}
	q.skip()
	for q.ring[q.turn].deficit <= 0 {
		q.advance()
	}
	return q.ring[q.turn].heap[0]
}

// Pop removes and returns the request whose turn it is, or nil if none waits.
func (q *Queuer) Pop() *Item {
	it := q.Peek()
	if it == nil {
		return nil
	}
	it.flow.deficit -= it.Cost
	q.drop(it)
	return it
}

// Remove takes a request out before its turn and reports whether it waited.
func (q *Queuer) Remove(id string) bool {
	it := q.items[id]
	if it != nil {
		q.drop(it)
	}
	return it != nil
}

// Ahead returns the tokens that are served before a new request of an account:
// its own, and of the others as many as their shares allow meanwhile.
func (q *Queuer) Ahead(account string, share int) int {
	own, others := 0, q.shares
	if f := q.flows[account]; f != nil {
		own, others = f.tokens, q.shares-f.share
	}
	return min(q.tokens, own+(own+quantum)*others/max(1, share))
}

// advance ends a flow's turn and grants the next one its quantum.
func (q *Queuer) advance() {
	q.turn++
	if q.turn >= len(q.ring) {
		q.turn = 0
		q.round++
	}
	f := q.ring[q.turn]
	f.deficit += quantum * f.share
}

// skip grants at once the rounds after which some flow is about to be served.
func (q *Queuer) skip() {
	rounds := -1
	for _, f := range q.ring {
		n := -f.deficit / (quantum * f.share)
		if rounds < 0 || n < rounds {
			rounds = n
		}
	}
	q.round += rounds
	for _, f := range q.ring {
		f.deficit += rounds * quantum * f.share
	}
}

func (q *Queuer) drop(it *Item) {
	f := it.flow
	heap.Remove(&f.heap, it.index)
	delete(q.items, it.ID)
	q.tokens -= it.Cost
	f.tokens -= it.Cost
	if len(f.heap) > 0 {
		return
	}
	q.leave(f)
}

// leave takes an empty flow out of the ring. Its credit is lost; its debt stays
// until later rounds have repaid it or nobody waits.
func (q *Queuer) leave(f *flow) {
	delete(q.flows, f.account)
	q.shares -= f.share
	i := slices.Index(q.ring, f)
	q.ring = slices.Delete(q.ring, i, i+1)
	if i < q.turn {
		q.turn--
	}
	if q.turn >= len(q.ring) {
		q.turn = 0
	}
	if len(q.ring) == 0 {
		clear(q.debts)
		return
	}
	if f.deficit < 0 {
		q.debts[f.account] = debt{deficit: f.deficit, round: q.round}
	}
}

// byUrgency is a heap by priority, deadline and arrival.
type byUrgency []*Item

func (h byUrgency) Len() int { return len(h) }

func (h byUrgency) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.Priority != b.Priority {
		return a.Priority > b.Priority
	}
	if !a.Deadline.Equal(b.Deadline) {
		return a.Deadline.Before(b.Deadline)
	}
	return a.seq < b.seq
}

func (h byUrgency) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push adds x, an *Item; container/heap calls it.
func (h *byUrgency) Push(x any) {
	it := x.(*Item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop removes the last item; container/heap calls it.
func (h *byUrgency) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}
