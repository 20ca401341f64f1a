package queuer_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bramleyshunt/queuer"
)

func push(q *queuer.Queuer, account string, share, cost, n int) {
	for i := range n {
		q.Push(&queuer.Item{ID: fmt.Sprint(account, i, cost), Account: account, Share: share, Cost: cost})
	}
}

// popTokens pops requests until their total cost reaches tokens or the queue is
// empty. It returns the popped cost by account.
func popTokens(q *queuer.Queuer, tokens int) map[string]int {
	got := map[string]int{}
	for popped := 0; popped < tokens; {
		it := q.Pop()
		if it == nil {
			break
		}
		got[it.Account] += it.Cost
		popped += it.Cost
	}
	return got
}

var _ = Describe("Queuer", func() {
	It("divides tokens, not requests, equally between accounts", func() {
		var q queuer.Queuer
		push(&q, "short", 1, 1000, 500)
		push(&q, "long", 1, 100000, 5)
		got := popTokens(&q, 400000)
		Expect(got["short"]).To(BeNumerically("~", 200000, 100000))
	})

	It("divides tokens in proportion to the shares", func() {
		var q queuer.Queuer
		push(&q, "a", 3, 2000, 500)
		push(&q, "b", 1, 2000, 500)
		got := popTokens(&q, 400000)
		Expect(got["a"]).To(BeNumerically("~", 300000, 10000))
	})

	It("serves a new account promptly while another has thousands of requests waiting", func() {
		var q queuer.Queuer
		push(&q, "large", 1, 1000, 5000)
		popTokens(&q, 50000)
		push(&q, "small", 1, 1000, 1)
		Expect(popTokens(&q, 4000)).To(HaveKey("small"))
	})

	It("charges the debt of an account that sends long requests one at a time", func() {
		var q queuer.Queuer
		push(&q, "short", 1, 1000, 1000)
		long := 0
		for range 500 {
			if q.Remove("long0100000") {
				push(&q, "long", 1, 100000, 1)
			} else if q.Len() > 0 {
				push(&q, "long", 1, 100000, 1)
			}
			long += popTokens(&q, 1)["long"]
		}
		Expect(long).To(BeNumerically("<=", 600000))
	})

	It("charges a request that is taken out of turn", func() {
		var q queuer.Queuer
		push(&q, "a", 1, 1000, 100)
		push(&q, "b", 1, 1000, 100)
		push(&q, "a", 1, 50000, 1)
		Expect(q.Take(fmt.Sprint("a", 0, 50000))).To(BeTrue())
		Expect(q.Take(fmt.Sprint("a", 0, 50000))).To(BeFalse())
		Expect(popTokens(&q, 40000)).To(HaveKeyWithValue("b", BeNumerically(">=", 39000)))
	})

	It("orders the requests of an account by priority, then by deadline", func() {
		var q queuer.Queuer
		epoch := time.Unix(0, 0)
		q.Push(&queuer.Item{ID: "later", Account: "a", Cost: 1, Deadline: epoch.Add(2)})
		q.Push(&queuer.Item{ID: "sooner", Account: "a", Cost: 1, Deadline: epoch.Add(1)})
		q.Push(&queuer.Item{ID: "urgent", Account: "a", Cost: 1, Priority: 1, Deadline: epoch.Add(3)})
		for _, want := range []string{"urgent", "sooner", "later"} {
			Expect(q.Pop().ID).To(Equal(want))
		}
		Expect(q.Pop()).To(BeNil())
	})
})

// model is a reference implementation that records only which requests wait and at
// what cost.
type model struct {
	q      queuer.Queuer
	costs  map[string]int // of the waiting requests, by identity
	tokens int
	lastID int
}

func (m *model) Push(t *rapid.T) {
	m.lastID++
	it := &queuer.Item{
		ID:      fmt.Sprint(m.lastID),
		Cost:    rapid.IntRange(0, 1_000_000).Draw(t, "cost"),
		Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
		Share:   rapid.IntRange(0, 4).Draw(t, "share"),
	}
	m.costs[it.ID] = it.Cost
	m.tokens += it.Cost
	m.q.Push(it)
}

func (m *model) Pop(t *rapid.T) {
	it := m.q.Pop()
	if it == nil {
		if len(m.costs) > 0 {
			t.Fatalf("Pop returned nil with %d requests waiting", len(m.costs))
		}
		return
	}
	m.remove(t, it.ID)
}

func (m *model) Remove(t *rapid.T) {
	id := fmt.Sprint(rapid.IntRange(1, max(1, m.lastID)).Draw(t, "id"))
	_, waiting := m.costs[id]
	if m.q.Remove(id) != waiting {
		t.Fatalf("Remove(%s) disagrees with the model: waiting is %v", id, waiting)
	}
	if waiting {
		m.remove(t, id)
	}
}

func (m *model) remove(t *rapid.T, id string) {
	cost, ok := m.costs[id]
	if !ok {
		t.Fatalf("request %s is not waiting in the model", id)
	}
	delete(m.costs, id)
	m.tokens -= cost
}

func (m *model) Check(t *rapid.T) {
	if m.q.Len() != len(m.costs) || m.q.Tokens() != m.tokens {
		t.Fatalf("got %d requests of %d tokens, want %d of %d", m.q.Len(), m.q.Tokens(), len(m.costs), m.tokens)
	}
}

// TestQueuerMatchesModel checks with random operations that no request is lost,
// returned twice or served after its removal, and that Len and Tokens are right.
func TestQueuerMatchesModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(&model{costs: map[string]int{}}))
	})
}
