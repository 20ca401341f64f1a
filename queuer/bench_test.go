package queuer_test

import (
	"fmt"
	"testing"

	"bramleyshunt/queuer"
)

// backlog is a queue in which each account has ten requests.
func backlog(accounts int) *queuer.Queuer {
	q := &queuer.Queuer{}
	for a := range accounts {
		push(q, fmt.Sprint("a", a), 1, 1000+a, 10)
	}
	return q
}

// turn serves one request and adds it again.
func turn(q *queuer.Queuer) { q.Push(q.Pop()) }

func TestQueuerAllocs(t *testing.T) {
	for _, accounts := range []int{10, 1300} {
		q := backlog(accounts)
		if got := testing.AllocsPerRun(1000, func() { turn(q) }); got > 0 {
			t.Errorf("%d accounts: %.0f allocations a turn", accounts, got)
		}
	}
}

func BenchmarkTurn(b *testing.B) {
	for _, accounts := range []int{10, 1300} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			q := backlog(accounts)
			b.ReportAllocs()
			for b.Loop() {
				turn(q)
			}
		})
	}
}
