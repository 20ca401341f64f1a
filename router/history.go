package router

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleyshunt/messenger"
)

const (
	minPrefixBytes = 1024 // bytes of prompt covered by the first prefix hash
	maxPrefixes    = 13   // 1 KiB to 4 MiB
	historySize    = 1 << 16
	historyTTL     = 2 * time.Minute
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

// history records which target last received each prompt prefix. It is a hint: entries
// expire after historyTTL, and beyond historySize the least recently sent ones are evicted.
type history struct {
	byHash map[uint64]*list.Element
	order  *list.List
}

// historyEntry records that a prefix was sent to a target.
type historyEntry struct {
	hash        uint64
	target      string
	incarnation uint64
	sentAt      time.Time
}

func (h *history) add(now time.Time, hashes []uint64, t messenger.Target) {
	if h.byHash == nil {
		h.byHash, h.order = map[uint64]*list.Element{}, list.New()
	}
	for _, hash := range hashes {
		s := historyEntry{hash: hash, target: t.ID, incarnation: t.Incarnation, sentAt: now}
		if e := h.byHash[hash]; e != nil {
			e.Value = s
			h.order.MoveToFront(e)
			continue
		}
		h.byHash[hash] = h.order.PushFront(s)
	}
	for h.order.Len() > historySize {
		last := h.order.Back()
		delete(h.byHash, last.Value.(historyEntry).hash)
		h.order.Remove(last)
	}
}

// find returns the live target that received the longest known prefix, and the index of
// that prefix.
func (h *history) find(now time.Time, hashes []uint64, live map[string]*targetState) (string, int) {
	for i := len(hashes) - 1; i >= 0; i-- {
		e := h.byHash[hashes[i]]
		if e == nil {
			continue
		}
		s := e.Value.(historyEntry)
		t := live[s.target]
		if t != nil && t.target.Incarnation == s.incarnation && now.Sub(s.sentAt) <= historyTTL {
			return s.target, i
		}
	}
	return "", 0
}
