package apportioner_test

import (
	"fmt"
	"testing"
	"time"

	"bramleyshunt/apportioner"
	"bramleyshunt/messenger"
)

// filled returns an Apportioner with as many accounts as it keeps, and their names.
func filled() (*apportioner.Apportioner, []string) {
	a, names := &apportioner.Apportioner{}, make([]string, apportioner.MaxAccounts)
	var peers []messenger.Use
	for i := range names {
		names[i] = fmt.Sprint("account-", i)
		a.Charge(epoch, names[i], float64(10+i))
		if i < messenger.MaxUses {
			peers = append(peers, messenger.Use{Account: apportioner.Hash(names[i]), Work: 100})
		}
	}
	a.SetPeers(epoch, peers, 0)
	return a, names
}

// decide does what one request of an account needs: a charge, its rank, its share and the time to
// come back.
func decide(a *apportioner.Apportioner, now time.Time, name string) {
	a.Charge(now, name, 5)
	_ = a.Rank(name)
	_ = a.Floor()
	_ = a.Above(now, name)
	_ = a.Retry(now, name)
}

// Guards against a decision that allocates at 1,300 accounts.
func TestDecisionAllocs(t *testing.T) {
	a, names := filled()
	i := 0
	if got := testing.AllocsPerRun(1000, func() { i++; decide(a, epoch, names[i%len(names)]) }); got > 0 {
		t.Errorf("%.1f allocations, want none", got)
	}
}

func BenchmarkDecision(b *testing.B) {
	a, names := filled()
	b.ReportAllocs()
	now, i := epoch, 0
	for b.Loop() {
		i++
		now = now.Add(10 * time.Microsecond)
		decide(a, now, names[i%len(names)])
	}
}

func BenchmarkReport(b *testing.B) {
	a, _ := filled()
	b.ReportAllocs()
	for b.Loop() {
		a.Report(epoch)
	}
}
