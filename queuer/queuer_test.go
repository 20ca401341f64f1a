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

// served pops items until their cost reaches tokens and adds up each account's.
func served(q *queuer.Queuer, tokens int) map[string]int {
	got := map[string]int{}
	for sum := 0; sum < tokens; {
		it := q.Pop()
		if it == nil {
			break
		}
		got[it.Account] += it.Cost
		sum += it.Cost
	}
	return got
}

var _ = Describe("queueing", func() {
	It("shares tokens, not requests", func() {
		var q queuer.Queuer
		push(&q, "short", 1, 1000, 500)
		push(&q, "long", 1, 100000, 5)
		got := served(&q, 400000)
		Expect(got["short"]).To(BeNumerically("~", 200000, 100000))
	})

	It("weighs accounts by share", func() {
		var q queuer.Queuer
		push(&q, "a", 3, 2000, 500)
		push(&q, "b", 1, 2000, 500)
		got := served(&q, 400000)
		Expect(got["a"]).To(BeNumerically("~", 300000, 10000))
	})

	It("serves a newcomer at once though another account waits with thousands", func() {
		var q queuer.Queuer
		push(&q, "large", 1, 1000, 5000)
		served(&q, 50000)
		push(&q, "small", 1, 1000, 1)
		Expect(served(&q, 4000)).To(HaveKey("small"))
	})

	It("remembers the debt of an account that sends its long requests singly", func() {
		var q queuer.Queuer
		push(&q, "short", 1, 1000, 1000)
		long := 0
		for range 500 {
			if q.Remove("long0100000") {
				push(&q, "long", 1, 100000, 1)
			} else if q.Len() > 0 {
				push(&q, "long", 1, 100000, 1)
			}
			long += served(&q, 1)["long"]
		}
		Expect(long).To(BeNumerically("<=", 600000))
	})

	It("goes by priority, then by deadline, within an account", func() {
		var q queuer.Queuer
		at := time.Unix(0, 0)
		q.Push(&queuer.Item{ID: "late", Account: "a", Cost: 1, Deadline: at.Add(2)})
		q.Push(&queuer.Item{ID: "soon", Account: "a", Cost: 1, Deadline: at.Add(1)})
		q.Push(&queuer.Item{ID: "first", Account: "a", Cost: 1, Priority: 1, Deadline: at.Add(3)})
		for _, want := range []string{"first", "soon", "late"} {
			Expect(q.Pop().ID).To(Equal(want))
		}
		Expect(q.Pop()).To(BeNil())
	})
})

// model is a plain set of what waits, beside the queue.
type model struct {
	q      queuer.Queuer
	held   map[string]int
	tokens int
	next   int
}

func (m *model) Push(t *rapid.T) {
	m.next++
	it := &queuer.Item{
		ID:      fmt.Sprint(m.next),
		Cost:    rapid.IntRange(0, 1_000_000).Draw(t, "cost"),
		Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
		Share:   rapid.IntRange(0, 4).Draw(t, "share"),
	}
	m.held[it.ID] = it.Cost
	m.tokens += it.Cost
	m.q.Push(it)
}

func (m *model) Pop(t *rapid.T) {
	it := m.q.Pop()
	if it == nil {
		if len(m.held) > 0 {
			t.Fatalf("%d wait, none served", len(m.held))
		}
		return
	}
	m.forget(t, it.ID)
}

func (m *model) Remove(t *rapid.T) {
	id := fmt.Sprint(rapid.IntRange(1, max(1, m.next)).Draw(t, "id"))
	_, waits := m.held[id]
	if m.q.Remove(id) != waits {
		t.Fatalf("%s: waiting is %v", id, waits)
	}
	if waits {
		m.forget(t, id)
	}
}

func (m *model) forget(t *rapid.T, id string) {
	cost, ok := m.held[id]
	if !ok {
		t.Fatalf("%s was not waiting", id)
	}
	delete(m.held, id)
	m.tokens -= cost
}

func (m *model) Check(t *rapid.T) {
	if m.q.Len() != len(m.held) || m.q.Tokens() != m.tokens {
		t.Fatalf("%d of %d tokens, want %d of %d", m.q.Len(), m.q.Tokens(), len(m.held), m.tokens)
	}
}

// TestQueuerKeeps checks that nothing is lost, doubled or served after its
// removal, and that the sums hold.
func TestQueuerKeeps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		t.Repeat(rapid.StateMachineActions(&model{held: map[string]int{}}))
	})
}
