// Package locator knows where the keepers are: those named in the settings, and
// the members of their group that a keeper has told of since.
package locator

import (
	"slices"
	"sync"

	"bramleyshunt/messenger"
	"bramleyshunt/setter"
)

// Locator lists keepers. The zero value knows none.
type Locator struct {
	Seeds []setter.Keeper // from the settings; they may be gone

	mu      sync.Mutex
	members []setter.Keeper
}

// Reseed replaces the seeds.
func (l *Locator) Reseed(seeds []setter.Keeper) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Seeds = seeds
}

// Learn takes the members that a keeper told of. An empty list is ignored.
func (l *Locator) Learn(members []messenger.Member) {
	if len(members) == 0 {
		return
	}
	next := make([]setter.Keeper, 0, len(members))
	for _, m := range members {
		next = append(next, setter.Keeper{Node: m.Node, Address: m.Address})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = next
}

// Keepers returns the members and then the seeds that are none of them.
func (l *Locator) Keepers() []setter.Keeper {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := slices.Clone(l.members)
	for _, s := range l.Seeds {
		if !slices.ContainsFunc(all, func(k setter.Keeper) bool { return k.Address == s.Address }) {
			all = append(all, s)
		}
	}
	return all
}
