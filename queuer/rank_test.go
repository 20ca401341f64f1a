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

// ranked returns a queue that is ordered by the given ranks, and the ranks.
func ranked(ranks map[string]float64, floor float64) (*queuer.Queuer, *queuer.Ranks) {
	r := &queuer.Ranks{
		Of: func(a string) float64 { return ranks[a] }, Floor: func() float64 { return floor }, Generation: func() uint64 { return 0 },
	}
	q := &queuer.Queuer{}
	q.SetRanks(r)
	return q, r
}

func popAccounts(q *queuer.Queuer) (out []string) {
	for it := q.Pop(); it != nil; it = q.Pop() {
		out = append(out, it.Account)
	}
	return out
}

var _ = Describe("Queuer with ranks", func() {
	// Guards against an entry that starts from zero, as if an account had used nothing elsewhere.
	It("serves the account with the least rank, however long it has waited", func() {
		q, _ := ranked(map[string]float64{"large": 9, "medium": 5, "small": 1}, 0)
		push(q, "large", 1, 10, 2)
		push(q, "medium", 1, 10, 1)
		push(q, "small", 1, 10, 2)
		Expect(popAccounts(q)).To(Equal([]string{"small", "small", "medium", "large", "large"}))
	})

	It("puts priority before rank", func() {
		q, _ := ranked(map[string]float64{"large": 9, "small": 1}, 0)
		push(q, "small", 1, 10, 1)
		q.Push(&queuer.Item{ID: "urgent", Account: "large", Priority: 1, Cost: 10})
		Expect(popAccounts(q)).To(Equal([]string{"large", "small"}))
	})

	// Pattern: many small accounts together. Guards against one of them that is served before all
	// others because it has used a little less.
	It("serves accounts below the floor in turn", func() {
		q, _ := ranked(map[string]float64{"a": 0, "b": 1, "c": 2}, 3)
		push(q, "a", 1, 10, 2)
		push(q, "b", 1, 10, 2)
		push(q, "c", 1, 10, 2)
		Expect(popAccounts(q)).To(Equal([]string{"a", "b", "c", "a", "b", "c"}))
	})

	It("follows ranks that change", func() {
		ranks := map[string]float64{"a": 1, "b": 2}
		q, r := ranked(ranks, 0)
		push(q, "a", 1, 10, 1)
		push(q, "b", 1, 10, 1)
		ranks["a"] = 3
		Expect(q.Peek().Account).To(Equal("a"), "not told")
		q.Charged("a")
		Expect(q.Peek().Account).To(Equal("b"))
		ranks["b"] = 4
		r.Generation = func() uint64 { return 1 }
		Expect(q.Peek().Account).To(Equal("a"))
	})

	It("counts the tokens ahead by rank", func() {
		q, _ := ranked(map[string]float64{"large": 9, "small": 1}, 0)
		push(q, "large", 1, 5000, 10)
		push(q, "small", 1, 1000, 1)
		Expect(q.TokensAhead("large", 1)).To(Equal(51000))
		Expect(q.TokensAhead("small", 1)).To(BeNumerically("<", 4000))
	})

	// Guards against deficits of the time with ranks that starve an account after it.
	It("can be ordered by deficit again", func() {
		q, _ := ranked(map[string]float64{"a": 1, "b": 2}, 0)
		push(q, "a", 1, 1000, 500)
		push(q, "b", 1, 1000, 500)
		popTokens(q, 100000)
		q.SetRanks(nil)
		got := popTokens(q, 100000)
		Expect(got["a"]).To(BeNumerically("~", 50000, 3000))
	})
})

// Guards against requests that are lost, returned twice or served before one of higher priority or
// lower rank.
func TestRankedQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := map[string]float64{}
		floor := rapid.Float64Range(0, 5).Draw(t, "floor")
		q, _ := ranked(ranks, floor)
		waiting := map[string]*queuer.Item{}
		for i := range rapid.IntRange(1, 100).Draw(t, "steps") {
			account := rapid.StringMatching("[a-e]").Draw(t, "account")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				it := &queuer.Item{ID: fmt.Sprint(i), Account: account, Cost: 1, Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Deadline: time.Unix(int64(i), 0)}
				waiting[it.ID] = it
				q.Push(it)
			case 2:
				ranks[account] = rapid.Float64Range(0, 10).Draw(t, "rank")
				q.Charged(account)
			default:
				checkNext(t, q.Pop(), waiting, ranks, floor)
			}
		}
		for len(waiting) > 0 {
			checkNext(t, q.Pop(), waiting, ranks, floor)
		}
		if q.Pop() != nil || q.Len() != 0 {
			t.Fatal("not empty")
		}
	})
}

func checkNext(t *rapid.T, it *queuer.Item, waiting map[string]*queuer.Item, ranks map[string]float64, floor float64) {
	if it == nil {
		if len(waiting) > 0 {
			t.Fatalf("nothing served, %d wait", len(waiting))
		}
		return
	}
	if waiting[it.ID] == nil {
		t.Fatalf("%s does not wait", it.ID)
	}
	delete(waiting, it.ID)
	for _, o := range waiting {
		if o.Priority > it.Priority || o.Priority == it.Priority && max(ranks[o.Account], floor) < max(ranks[it.Account], floor) {
			t.Fatalf("%s of %s (%d) served before %s of %s (%d)", it.ID, it.Account, it.Priority, o.ID, o.Account, o.Priority)
		}
	}
}

func rankedBacklog(accounts int) *queuer.Queuer {
	ranks := map[string]float64{}
	q, _ := ranked(ranks, 10)
	for a := range accounts {
		ranks[fmt.Sprint("a", a)] = float64(a % 100)
		push(q, fmt.Sprint("a", a), 1, 1000+a, 10)
	}
	return q
}

func TestRankedQueuerAllocs(t *testing.T) {
	for _, accounts := range []int{10, 1300} {
		q := rankedBacklog(accounts)
		if got := testing.AllocsPerRun(1000, func() { popAndPush(q) }); got > 0 {
			t.Errorf("%d accounts: %.0f allocations per pop and push", accounts, got)
		}
	}
}

func BenchmarkRankedTurn(b *testing.B) {
	for _, accounts := range []int{10, 1300} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			q := rankedBacklog(accounts)
			b.ReportAllocs()
			for b.Loop() {
				popAndPush(q)
			}
		})
	}
}
