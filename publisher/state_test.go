package publisher

import (
	"fmt"
	"testing"
	"time"

	"bramleyshunt/applier"
	"bramleyshunt/messenger"
	"bramleyshunt/registrar"
)

func renew(t *testing.T, r *registrar.Registrar, now time.Time, id string, waiting int) {
	t.Helper()
	target := messenger.Target{ID: id, Incarnation: 1, Load: messenger.Load{Waiting: waiting}}
	if _, err := r.Announce(now, messenger.Announce{Target: target}); err != nil {
		t.Fatal(err)
	}
}

// TestDigests changes the loads of more targets each second than one stream may
// carry, and checks that every target's load is sent within loadBytesPerSecond.
func TestDigests(t *testing.T) {
	const targets, seconds = 1000, 10
	var r registrar.Registrar
	c := cursor{}
	now := time.Unix(1000, 0)
	sent, bytes := map[string]int{}, 0
	for half := range 2 * seconds {
		for i := range targets {
			renew(t, &r, now, fmt.Sprintf("target-%04d", i), 1000<<(half%2))
		}
		u := c.nextUpdate(&state{view: &applier.View{}, live: r.Live(), leaseRev: r.Rev()}, now)
		now = now.Add(500 * time.Millisecond)
		if u == nil {
			continue
		}
		for _, d := range u.Loads {
			sent[d.ID]++
			bytes += digestBytes + len(d.ID)
		}
	}
	if len(sent) != targets {
		t.Errorf("sent the loads of %d of %d targets", len(sent), targets)
	}
	if bytes > (seconds+1)*loadBytesPerSecond {
		t.Errorf("sent %d bytes of loads in %d seconds", bytes, seconds)
	}
	for id, n := range sent {
		if n < 1 || n > 3 {
			t.Errorf("load of %s sent %d times, want 1 to 3", id, n)
		}
	}
}
