package queuer_test

import (
	"fmt"
	"testing"

	"bramleyshunt/queuer"
)

// backlog returns a queue with ten requests of each account.
func backlog(accounts int) *queuer.Queuer {
	q := &queuer.Queuer{}
	for a := range accounts {
		push(q, fmt.Sprint("a", a), 1, 1000+a, 10)
	}
	return q
}

// popAndPush pops the next request and pushes it again, so that the queue keeps its
// length.
func popAndPush(q *queuer.Queuer) { q.Push(q.Pop()) }

func TestQueuerAllocs(t *testing.T) {
	for _, accounts := range []int{10, 1300} {
		q := backlog(accounts)
		if got := testing.AllocsPerRun(1000, func() { popAndPush(q) }); got > 0 {
			t.Errorf("%d accounts: %.0f allocations per pop and push", accounts, got)
		}
	}
}

func BenchmarkTurn(b *testing.B) {
	for _, accounts := range []int{10, 1300} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			q := backlog(accounts)
			b.ReportAllocs()
			for b.Loop() {
				popAndPush(q)
			}
		})
	}
}
