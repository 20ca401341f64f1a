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

// TestDigests has more targets change their load each second than one stream
// may tell, and checks that all get their turn within the stream's bytes.
func TestDigests(t *testing.T) {
	const targets, seconds = 1000, 10
	var r registrar.Registrar
	c := cursor{}
	now := time.Unix(1000, 0)
	told, bytes := map[string]int{}, 0
	for half := range 2 * seconds {
		for i := range targets {
			renew(t, &r, now, fmt.Sprintf("target-%04d", i), 1000<<(half%2))
		}
		u := c.update(&board{view: &applier.View{}, live: r.Live(), rev: r.Rev()}, now)
		now = now.Add(500 * time.Millisecond)
		if u == nil {
			continue
		}
		for _, d := range u.Loads {
			told[d.ID]++
			bytes += digestBytes + len(d.ID)
		}
	}
	if len(told) != targets {
		t.Errorf("%d of %d targets had their turn", len(told), targets)
	}
	if bytes > (seconds+1)*loadRate {
		t.Errorf("%d bytes in %d seconds", bytes, seconds)
	}
	for id, n := range told {
		if n < 1 || n > 3 {
			t.Errorf("%s told %d times", id, n)
		}
	}
}
