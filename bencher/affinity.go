package bencher

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleyshunt/messenger"
	"bramleyshunt/router"
)

// Prefixes selects load patterns and faults that concern cached prompt prefixes.
type Prefixes struct {
	HotShare float64 // of the short and medium prompts share one prefix, of three quarters of the prompt
	Full     bool    // fills the memory of a quarter of the targets from a quarter of the trace on
	NoCache  bool    // engines find no prefix in their caches, so that all hints are wrong
	Restart  bool    // restarts all targets and entries halfway through the trace
}

const (
	hotFamily   = 1<<63 | 1
	maxHot      = 8192        // tokens of the hot prefix
	restartTime = time.Second // of all targets together
)

// CachedCounts counts how far expected cached tokens were there.
type CachedCounts struct {
	Picks    int // requests that were sent to a target which was expected to have cached tokens
	Wrong    int // of these, those with fewer cached tokens than expected
	Expected int // tokens
	Reported int // tokens, of all requests
	Prompt   int // tokens of all requests
}

func (c *CachedCounts) add(o CachedCounts) {
	c.Picks += o.Picks
	c.Wrong += o.Wrong
	c.Expected += o.Expected
	c.Reported += o.Reported
	c.Prompt += o.Prompt
}

// recordCached reports the cached tokens of an answer to the scheduler and counts them.
func (a *attempt) recordCached(u messenger.Usage) {
	c := &a.entry.b.result.Cached
	if a.entry.scheduler.RecordCached(a.entry.b.now, a.placement.Pick, u) {
		c.Wrong++
	}
	if a.placement.Pick.Cached > 0 {
		c.Picks++
	}
	c.Expected += a.placement.Pick.Cached
	c.Reported += u.Cached
	c.Prompt += u.Prompt
}

// sharePrefix gives a request the hot prefix. The choice depends on the request's ID only, so
// that a trace without it is otherwise identical.
func (b *Bencher) sharePrefix(r *request) {
	const steps = 1 << 20
	if r.class >= messenger.Long || float64(xxhash.Sum64String(fmt.Sprint(b.Seed, "/", r.id))%steps) >= b.Prefixes.HotShare*steps {
		return
	}
	r.family, r.shared = hotFamily, min(maxHot, r.prompt/4*3)
}

// cachedHashes returns the block hashes by which an engine finds a cached prefix.
func (b *Bencher) cachedHashes(r *request) []uint64 {
	if !b.Prefixes.NoCache {
		return blockHashes(r)
	}
	alone := *r
	alone.shared = 0
	return blockHashes(&alone)
}

func (b *Bencher) schedulePrefixFaults() {
	if b.Prefixes.Full {
		b.after(b.Length/4, func() {
			for _, t := range b.targets[:len(b.targets)/4] {
				t.occupy(350_000)
				t.occupy(38_000)
			}
		})
	}
	if b.Prefixes.Restart {
		b.after(b.Length/2, b.restartAll)
	}
}

// occupy fills memory of a target for the length of the trace with a request that no entry of
// the simulation sent.
func (t *target) occupy(prompt int) {
	r := &request{id: fmt.Sprint("occupant-", prompt), prompt: prompt, output: int(t.b.Length / engineStep), timeout: 2 * t.b.Length, class: messenger.Huge}
	order := &messenger.Reserve{Attempt: r.id, Incarnation: t.info.Incarnation, Prompt: r.prompt, Output: r.output, Remaining: r.timeout}
	if _, err := t.agent.Reserve(t.b.now, order); err != nil {
		return
	}
	if _, err := t.agent.Run(t.b.now, &messenger.Run{Attempt: r.id, Incarnation: t.info.Incarnation, Remaining: r.timeout}); err != nil {
		return
	}
	agent := t.agent
	t.submit(r.id, &run{request: r, onFirst: func() {}, onEnd: func(u messenger.Usage, err error) { agent.End(t.b.now, r.id, outcome(u, err)) }}, 0, r.timeout)
}

// restartAll restarts all targets and empties the entries' memory of them.
func (b *Bencher) restartAll() {
	for _, t := range b.targets {
		t.crash()
	}
	b.after(restartTime, func() {
		for _, t := range b.targets {
			t.restart()
		}
		for _, e := range b.entries {
			old := &e.scheduler.Router
			e.scheduler.Router = router.Router{Seed: old.Seed + entryCount, Disabled: old.Disabled, MaxWait: old.MaxWait}
			e.update(b.announcedTargets())
		}
	})
}
