package router

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleyshunt/messenger"
)

const (
	firstCut    = 1024 // bytes of prompt under the first prefix hash
	mostCuts    = 13   // 1 KiB to 4 MiB
	historySize = 1 << 16
	historyAge  = 2 * time.Minute
)

// Cut returns how many bytes of the prompt the i-th prefix hash covers.
func Cut(i int) int { return firstCut << i }

// Prefixes returns the hashes of a prompt's beginnings, shortest first. Model
// and adapter belong in salt, as caches aren't shared between them.
func Prefixes(salt, prompt string) []uint64 {
	var hashes []uint64
	d := xxhash.New()
	_, _ = d.WriteString(salt)
	from := 0
	for i := range mostCuts {
		if Cut(i) > len(prompt) {
			break
		}
		_, _ = d.WriteString(prompt[from:Cut(i)])
		hashes = append(hashes, d.Sum64())
		from = Cut(i)
	}
	return hashes
}

// history remembers which target last got a prompt's beginning. It is a hint:
// the oldest entries are dropped beyond historySize, and each ages out.
type history struct {
	byHash map[uint64]*list.Element
	order  *list.List
}

// sending is one entry of the history.
type sending struct {
	hash        uint64
	target      string
	incarnation uint64
	at          time.Time
}

func (h *history) add(now time.Time, hashes []uint64, t messenger.Target) {
	if h.byHash == nil {
		h.byHash, h.order = map[uint64]*list.Element{}, list.New()
	}
	for _, hash := range hashes {
		s := sending{hash: hash, target: t.ID, incarnation: t.Incarnation, at: now}
		if e := h.byHash[hash]; e != nil {
			e.Value = s
			h.order.MoveToFront(e)
			continue
		}
		h.byHash[hash] = h.order.PushFront(s)
	}
	for h.order.Len() > historySize {
		last := h.order.Back()
		delete(h.byHash, last.Value.(sending).hash)
		h.order.Remove(last)
	}
}

// find returns the live target of the longest known beginning and its index.
func (h *history) find(now time.Time, hashes []uint64, live map[string]*state) (string, int) {
	for i := len(hashes) - 1; i >= 0; i-- {
		e := h.byHash[hashes[i]]
		if e == nil {
			continue
		}
		s := e.Value.(sending)
		t := live[s.target]
		if t != nil && t.target.Incarnation == s.incarnation && now.Sub(s.at) <= historyAge {
			return s.target, i
		}
	}
	return "", 0
}
