package router

import (
	"container/list"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleyshunt/weigher"
)

const (
	minPrefixBytes = 1024 // bytes of prompt covered by the first prefix hash
	maxPrefixes    = 13   // 1 KiB to 4 MiB
	historySize    = 1 << 16
	historyTTL     = weigher.MaxAge
	maxHolders     = 4 // known targets of one prefix
)

// PrefixBytes returns the number of prompt bytes that the i-th prefix hash covers.
func PrefixBytes(i int) int { return minPrefixBytes << i }

// PrefixHashes returns the hashes of the prefixes of a prompt, shortest first. The salt
// must name model and adapter, as these do not share caches.
func PrefixHashes(salt, prompt string) []uint64 {
	var hashes []uint64
	d := xxhash.New()
	_, _ = d.WriteString(salt)
	from := 0
	for i := range maxPrefixes {
		if PrefixBytes(i) > len(prompt) {
			break
		}
		_, _ = d.WriteString(prompt[from:PrefixBytes(i)])
		hashes = append(hashes, d.Sum64())
		from = PrefixBytes(i)
	}
	return hashes
}

// history records which targets last received each prompt prefix. It is a hint: holders
// expire after historyTTL, and beyond historySize holders those of the prefixes that were sent
// least recently are evicted.
type history struct {
	byHash  map[uint64]*list.Element
	order   *list.List // of *historyEntry
	holders int        // of all entries
}

// historyEntry holds the targets that received a prefix, the latest first.
type historyEntry struct {
	hash    uint64
	holders []holder
}

// holder is a target that received a prefix.
type holder struct {
	target      string
	incarnation uint64
	sentAt      time.Time
	sentTokens  int // counter of the target's tokens then
}

// hint is a live target that received a prefix of a prompt.
type hint struct {
	target *targetState
	index  int // of the longest such prefix
	holder holder
}

// hints are the holders of the prefixes of one prompt, those of longer prefixes first.
type hints struct {
	n    int
	list [maxHolders]hint
}

// of returns the hint of a target, nil if there is none.
func (h *hints) of(s *targetState) *hint {
	for i := range h.list[:h.n] {
		if h.list[i].target == s {
			return &h.list[i]
		}
	}
	return nil
}

func (h *history) add(now time.Time, hashes []uint64, s *targetState) {
	if h.byHash == nil {
		h.byHash, h.order = map[uint64]*list.Element{}, list.New()
	}
	added := holder{target: s.target.ID, incarnation: s.target.Incarnation, sentAt: now, sentTokens: s.sentTokens}
	for _, hash := range hashes {
		e := h.byHash[hash]
		if e == nil {
			e = h.order.PushFront(&historyEntry{hash: hash})
			h.byHash[hash] = e
		} else {
			h.order.MoveToFront(e)
		}
		entry := e.Value.(*historyEntry)
		h.holders -= len(entry.holders)
		entry.add(added)
		h.holders += len(entry.holders)
	}
	for h.holders > historySize {
		last := h.order.Back()
		entry := last.Value.(*historyEntry)
		h.holders -= len(entry.holders)
		delete(h.byHash, entry.hash)
		h.order.Remove(last)
	}
}

// add puts a holder in the first place, instead of an earlier record of its target or of the
// last holder if there are maxHolders.
func (e *historyEntry) add(added holder) {
	i := slices.IndexFunc(e.holders, func(o holder) bool { return o.target == added.target })
	if i < 0 && len(e.holders) < maxHolders {
		e.holders = append(e.holders, holder{})
	}
	if i < 0 {
		i = len(e.holders) - 1
	}
	copy(e.holders[1:i+1], e.holders[:i])
	e.holders[0] = added
}

// find returns the live targets that received the longest known prefixes of a prompt.
func (h *history) find(now time.Time, hashes []uint64, live map[string]*targetState) (found hints) {
	for i := len(hashes) - 1; i >= 0 && found.n < maxHolders; i-- {
		e := h.byHash[hashes[i]]
		if e == nil {
			continue
		}
		for _, o := range e.Value.(*historyEntry).holders {
			t := live[o.target]
			if t == nil || t.target.Incarnation != o.incarnation || now.Sub(o.sentAt) > historyTTL || found.of(t) != nil {
				continue
			}
			if found.n < maxHolders {
				found.list[found.n] = hint{target: t, index: i, holder: o}
				found.n++
			}
		}
	}
	return found
}
