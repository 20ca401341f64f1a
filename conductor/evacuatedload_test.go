package conductor

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"bramleyshunt/allocator"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// evacuationLoad is a load of split requests while zones are evacuated and return.
type evacuationLoad struct {
	*holdBed
	rnd         *rand.Rand
	sent        atomic.Int64
	evacuations int
}

// answerRequest takes a while, and some attempts fail.
func (l *evacuationLoad) answerRequest(_ context.Context, a *Attempt) error {
	n := l.sent.Add(1)
	for _, target := range append([]messenger.Target{a.Target}, a.Helpers...) {
		if l.view.Load().Evacuated.Find(target.Zone) != nil {
			l.t.Errorf("%s was sent to %s", a.ID, target.ID)
		}
	}
	<-time.After(30 * time.Millisecond)
	if n%7 == 0 {
		return coder.Errorf(coder.EngineFailed, "")
	}
	return nil
}

// run sends requests at random moments and changes the evacuated zones between them.
func (l *evacuationLoad) run(requests int) {
	zones := [][]string{nil, {zoneOf("t1")}, {zoneOf("t2")}, {zoneOf("t3")}, {zoneOf("t1"), zoneOf("t2"), zoneOf("t3")}}
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() { _, _ = l.sendLong() }) // refused while all zones are evacuated
		<-time.After(time.Duration(l.rnd.Int64N(int64(20 * time.Millisecond))))
		synctest.Wait() // all wait, so none is between its last check and its exchange
		if l.rnd.IntN(3) == 0 {
			l.evacuations++
			l.evacuate(zones[l.rnd.IntN(len(zones))]...)
		}
	}
	l.evacuate()
	wg.Wait()
	<-time.After(time.Second)
}

// TestNothingReachesEvacuatedZones sends split requests and relayed ones, some of which fail,
// while random zones are evacuated and return, at random moments: in the queue, while the relay is
// asked and while memory is reserved. It guards against any attempt whose target or helper is in
// a zone that is evacuated when it is sent.
func TestNothingReachesEvacuatedZones(t *testing.T) {
	for seed := range uint64(16) {
		m := &memory{during: func(allocator.Reservation, []string) { <-time.After(20 * time.Millisecond) }}
		cfg := Config{Allocator: m.allocator(), Seed: seed, Place: func(context.Context, *messenger.Place) (*messenger.Placed, error) {
			<-time.After(5 * time.Millisecond)
			return nil, nil
		}}
		withHolds(t, cfg, zoned(splitTargets()), func(b *holdBed) {
			l := &evacuationLoad{holdBed: b, rnd: rand.New(rand.NewPCG(seed, 1))}
			b.answer = l.answerRequest
			l.run(60)
			b.Expect(b.cd.Sends()).To(BeEmpty())
			b.Expect(l.sent.Load()).To(BeNumerically(">", 0))
			b.Expect(l.evacuations).To(BeNumerically(">", 0))
		})
	}
}
