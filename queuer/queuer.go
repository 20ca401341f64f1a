// Package queuer orders waiting requests. It applies deficit round robin by token
// cost across client accounts; within an account it orders requests by priority,
// then by earliest deadline.
package queuer

import (
	"container/heap"
	"slices"
	"time"
)

const quantum = 1024 // tokens granted per round and unit of share

// Item is one waiting request.
type Item struct {
	ID       string // unique among the waiting requests
	Account  string
	Share    int // weight of the account; zero means 1
	Cost     int // tokens
	Priority int // higher is served first
	Deadline time.Time

	seq   uint64
	index int
	flow  *flow
}

// Queuer holds waiting requests. The zero value is an empty queue. Serving a
// request takes time logarithmic in the number of requests of its account; costs far
// above the quantum add one pass over the waiting accounts.
type Queuer struct {
	items      map[string]*Item
	flows      map[string]*flow
	ring       []*flow // flows with waiting requests, in round-robin order
	current    int     // index in the ring of the flow being served
	round      int
	totalShare int                   // sum over the flows in the ring
	debts      map[string]debtRecord // by account, of flows that left the ring with a negative deficit
	seq        uint64
	tokens     int
	ranks      *Ranks // nil if flows are served by deficit
	generation uint64 // of ranks, as flows hold them
}

// debtRecord is the negative deficit of a flow that left the ring, and the round in
// which it left.
type debtRecord struct {
	deficit int
	round   int
}

// flow holds the requests of one account. A flow is served while its deficit is
// positive. A single request may make the deficit negative; the quanta of later
// rounds repay it.
type flow struct {
	account string
	share   int
	deficit int
	tokens  int
	heap    byUrgency
	rank    float64 // if the queue has ranks
}

// Len returns the number of waiting requests over all accounts.
func (q *Queuer) Len() int { return len(q.items) }

// Tokens returns the total cost of the waiting requests, in tokens.
func (q *Queuer) Tokens() int { return q.tokens }

// Push adds a request. The queue owns the item until it is popped or removed.
func (q *Queuer) Push(it *Item) {
	if q.items == nil {
		q.items, q.flows, q.debts = map[string]*Item{}, map[string]*flow{}, map[string]debtRecord{}
	}
	f := q.flows[it.Account]
	if f == nil {
		f = q.addFlow(it)
	}
	q.totalShare += max(1, it.Share) - f.share
	f.share = max(1, it.Share)
	q.seq++
	it.seq, it.flow = q.seq, f
	q.items[it.ID] = it
	q.tokens += it.Cost
	f.tokens += it.Cost
	heap.Push(&f.heap, it)
}

// addFlow adds a flow for the item's account to the end of the ring. A debt that the
// account left behind is reduced by the rounds since then and carried over.
func (q *Queuer) addFlow(it *Item) *flow {
	f := &flow{account: it.Account, share: max(1, it.Share)}
	if d, ok := q.debts[it.Account]; ok {
		f.deficit = min(0, d.deficit+(q.round-d.round)*quantum*f.share)
		delete(q.debts, it.Account)
	}
	if q.ranks != nil {
		f.rank = q.ranks.Of(it.Account)
	}
	q.flows[it.Account] = f
	q.ring = append(q.ring, f)
	q.totalShare += f.share
	return f
}

// Peek returns the next request to serve, or nil if the queue is empty.
func (q *Queuer) Peek() *Item {
	if len(q.ring) == 0 {
		return nil
	}
	if q.ranks != nil {
		return q.leastRanked().heap[0]
	}
	for range q.ring {
		if f := q.ring[q.current]; f.deficit > 0 {
			return f.heap[0]
		}
		q.advance()
	}
	q.skipRounds()
	for q.ring[q.current].deficit <= 0 {
		q.advance()
	}
	return q.ring[q.current].heap[0]
}

// Pop removes and returns the next request to serve, or nil if the queue is empty.
func (q *Queuer) Pop() *Item {
	it := q.Peek()
	if it == nil {
		return nil
	}
	q.serve(it)
	return it
}

// Take removes a request out of turn and charges its cost to the account. It reports
// whether the request was waiting.
func (q *Queuer) Take(id string) bool {
	it := q.items[id]
	if it != nil {
		q.serve(it)
	}
	return it != nil
}

func (q *Queuer) serve(it *Item) {
	if q.ranks != nil {
		q.served(it.flow)
	} else {
		it.flow.deficit -= it.Cost
	}
	q.remove(it)
}

// Remove removes a request without serving it, so that its cost is not charged to
// the account. It reports whether the request was waiting.
func (q *Queuer) Remove(id string) bool {
	it := q.items[id]
	if it != nil {
		q.remove(it)
	}
	return it != nil
}

// TokensAhead estimates the tokens that are served before a new request of an
// account: all waiting tokens of that account, and of the other accounts as many as
// their shares allow in the same time.
func (q *Queuer) TokensAhead(account string, share int) int {
	if q.ranks != nil {
		return q.rankedAhead(account, share)
	}
	own, others := 0, q.totalShare
	if f := q.flows[account]; f != nil {
		own, others = f.tokens, q.totalShare-f.share
	}
	return min(q.tokens, own+(own+quantum)*others/max(1, share))
}

// advance moves to the next flow of the ring and grants it its quantum.
func (q *Queuer) advance() {
	q.current++
	if q.current >= len(q.ring) {
		q.current = 0
		q.round++
	}
	f := q.ring[q.current]
	f.deficit += quantum * f.share
}

// skipRounds grants all flows at once the rounds that pass before any flow has a
// positive deficit.
func (q *Queuer) skipRounds() {
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

func (q *Queuer) remove(it *Item) {
	f := it.flow
	heap.Remove(&f.heap, it.index)
	delete(q.items, it.ID)
	q.tokens -= it.Cost
	f.tokens -= it.Cost
	if len(f.heap) > 0 {
		return
	}
	q.removeFlow(f)
}

// removeFlow removes an empty flow from the ring. A positive deficit is discarded; a
// negative one is recorded until later rounds repay it or the queue is empty.
func (q *Queuer) removeFlow(f *flow) {
	delete(q.flows, f.account)
	q.totalShare -= f.share
	i := slices.Index(q.ring, f)
	q.ring = slices.Delete(q.ring, i, i+1)
	if i < q.current {
		q.current--
	}
	if q.current >= len(q.ring) {
		q.current = 0
	}
	if len(q.ring) == 0 {
		clear(q.debts)
		return
	}
	if f.deficit < 0 {
		q.debts[f.account] = debtRecord{deficit: f.deficit, round: q.round}
	}
}

// byUrgency is a heap ordered by priority, deadline and arrival.
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

// Push implements heap.Interface; x is an *Item.
func (h *byUrgency) Push(x any) {
	it := x.(*Item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *byUrgency) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}
