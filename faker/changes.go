package faker

import (
	"sync"
	"time"

	"bramleyshunt/driver"
)

const keptChanges = 4096

// changes publishes the changes of the prefix cache late and with gaps.
type changes struct {
	lag  time.Duration
	loss float64
	seed uint64

	mu      sync.Mutex
	log     []change
	changed chan struct{}
}

type change struct {
	driver.Event
	at time.Time
}

func newChanges(cfg Config) *changes {
	return &changes{lag: cfg.EventLag, loss: cfg.EventLoss, seed: cfg.Seed, changed: make(chan struct{})}
}

func (c *changes) add(e driver.Event) {
	if c.lost(e.Seq) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log = append(c.log, change{Event: e, at: time.Now()})
	if len(c.log) > keptChanges {
		c.log = c.log[len(c.log)-keptChanges:]
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *changes) lost(seq uint64) bool {
	_, h := hash(c.seed^hashStart, string([]byte{byte(seq), byte(seq >> 8), byte(seq >> 16), byte(seq >> 24)}), 1)
	return float64(h>>11)/(1<<53) < c.loss
}

// read returns the events after seq that are old enough, how long until the
// next one is (negative if there is none), and a channel that closes when one is added.
func (c *changes) read(seq uint64) ([]driver.Event, time.Duration, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []driver.Event
	for _, e := range c.log {
		if e.Seq <= seq {
			continue
		}
		if wait := c.lag - time.Since(e.at); wait > 0 {
			return out, wait, c.changed
		}
		out = append(out, e.Event)
	}
	return out, -1, c.changed
}
