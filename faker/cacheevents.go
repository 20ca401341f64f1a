package faker

import (
	"sync"
	"time"

	"bramleyshunt/driver"
)

// maxCacheEvents bounds how many events a reader can catch up on.
const maxCacheEvents = 4096

// cacheEvents keeps the latest changes of the prefix cache for publication. To
// imitate a lossy channel it delays every event by lag and drops the fraction loss
// of them.
type cacheEvents struct {
	lag  time.Duration
	loss float64
	seed uint64

	mu      sync.Mutex
	events  []cacheEvent
	changed chan struct{}
}

type cacheEvent struct {
	driver.Event
	at time.Time // when the cache changed
}

func newCacheEvents(cfg Config) *cacheEvents {
	return &cacheEvents{lag: cfg.EventLag, loss: cfg.EventLoss, seed: cfg.Seed, changed: make(chan struct{})}
}

func (c *cacheEvents) add(e driver.Event) {
	if c.dropped(e.Seq) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, cacheEvent{Event: e, at: time.Now()})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

func (c *cacheEvents) dropped(seq uint64) bool {
	_, h := hashBlocks(c.seed^hashOffset, string([]byte{byte(seq), byte(seq >> 8), byte(seq >> 16), byte(seq >> 24)}), 1)
	return float64(h>>11)/(1<<53) < c.loss
}

// since returns the events after seq that are at least lag old, the time until the
// next one is due (negative if there is none), and a channel that is closed when an
// event is added.
func (c *cacheEvents) since(seq uint64) ([]driver.Event, time.Duration, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []driver.Event
	for _, e := range c.events {
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
