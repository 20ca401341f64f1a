package announcer_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/announcer"
	"bramleyshunt/messenger"
	"bramleyshunt/setter"
)

// keepers counts announcements by address. A keeper that hangs doesn't answer, one
// that is down fails at once, and others accept the announcement.
type keepers struct {
	mu     sync.Mutex
	counts map[string]int
	hung   map[string]bool
	down   map[string]bool
}

func (k *keepers) call(ctx context.Context, addr string, m *messenger.Announce) (messenger.Announced, error) {
	k.mu.Lock()
	k.counts[addr]++
	hung, down := k.hung[addr], k.down[addr]
	k.mu.Unlock()
	if hung {
		<-ctx.Done()
		return messenger.Announced{}, ctx.Err()
	}
	if down {
		return messenger.Announced{}, errors.New("down")
	}
	return messenger.Announced{Fence: uint64(m.Lease / time.Second)}, nil
}

func (k *keepers) set(addr string, down bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.down[addr] = down
}

func (k *keepers) count(addr string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.counts[addr]
}

func announce(k *keepers, onAnnounced func(time.Time, messenger.Announced)) (*announcer.Announcer, func()) {
	return announcer.New(announcer.Config{
		Keepers:     []setter.Keeper{{Address: "a"}, {Address: "b"}},
		Target:      func() messenger.Target { return messenger.Target{ID: "t"} },
		OnAnnounced: onAnnounced,
		Call:        k.call,
	})
}

func newKeepers() *keepers {
	return &keepers{counts: map[string]int{}, hung: map[string]bool{}, down: map[string]bool{}}
}

// wait lets virtual time pass and waits until all goroutines are blocked.
func wait(d time.Duration) {
	<-time.After(d)
	synctest.Wait()
}

func TestRenewsAtEveryKeeperThoughOneHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		k := newKeepers()
		k.hung["a"] = true
		a, stop := announce(k, nil)
		defer stop()
		wait(5500 * time.Millisecond)
		g.Expect(k.count("b")).To(Equal(6))
		g.Expect(a.Held(time.Now())).To(BeTrue())
		g.Expect(a.Errors()).To(HaveKey("a"))
		a.RenewNow()
		wait(0)
		g.Expect(k.count("b")).To(Equal(7))
	})
}

func TestLeaseEndsWithoutAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		k := newKeepers()
		var fences []uint64
		var mu sync.Mutex
		a, stop := announce(k, func(_ time.Time, m messenger.Announced) {
			mu.Lock()
			defer mu.Unlock()
			fences = append(fences, m.Fence)
		})
		defer stop()
		wait(0)
		g.Expect(a.Held(time.Now())).To(BeTrue())
		g.Expect(a.Held(time.Now().Add(announcer.DefaultLease))).To(BeFalse())
		k.set("a", true)
		k.set("b", true)
		wait(3 * time.Second)
		g.Expect(a.Held(time.Now())).To(BeFalse())
		k.set("b", false)
		wait(time.Second)
		g.Expect(a.Held(time.Now())).To(BeTrue())
		g.Expect(a.Lapses()).To(Equal(1))
		mu.Lock()
		defer mu.Unlock()
		g.Expect(fences).To(Equal([]uint64{3, 3, 3}))
	})
}

// BenchmarkAnnounce reports the encoded size of one renewal and of its answer, without
// the frame headers.
func BenchmarkAnnounce(b *testing.B) {
	m := &messenger.Announce{Lease: announcer.DefaultLease, Target: messenger.Target{
		ID: "erzaehler-halle-gar-01", Service: "erzaehler", Model: "erzaehler-large", Version: "2026-11-30",
		Adapters: []string{"checkpoint", "digest"}, Address: "10.1.2.3:7001", Zone: "halle-gar", Lane: "short",
		Incarnation: 1796330433728541553, Fence: 1 << 40, Config: 1000,
		Load: messenger.Load{Seq: 1 << 20, Waiting: 1 << 17, Running: 32, Used: 1 << 18, Memory: 1 << 19, Speed: 50000, Pace: 40},
	}}
	answer := &messenger.Announced{Fence: 1 << 40, Leader: "eingang-gar", Version: 1000, Confirmed: true}
	for b.Loop() {
		p, err := msgpack.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		q, err := msgpack.Marshal(answer)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(p)), "bytes-sent")
		b.ReportMetric(float64(len(q)), "bytes-answered")
	}
}
