package replicator

import (
	"slices"

	"bramleyshunt/messenger"
)

// logTail holds the log entries after index base in memory.
type logTail struct {
	base     uint64 // index of the last entry that was dropped
	baseTerm uint64
	entries  []messenger.Entry
}

func (l *logTail) lastIndex() uint64 { return l.base + uint64(len(l.entries)) }

func (l *logTail) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at i, and false if the log does not hold it.
func (l *logTail) term(i uint64) (uint64, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.lastIndex():
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

func (l *logTail) matches(i, term uint64) bool {
	t, ok := l.term(i)
	return ok && t == term
}

// batchAfter returns entries after prev with at most limit bytes of data, but at least one.
func (l *logTail) batchAfter(prev uint64, limit int) []messenger.Entry {
	rest := l.entries[prev-l.base:]
	size := 0
	for i := range rest {
		size += len(rest[i].Data)
		if size > limit && i > 0 {
			return slices.Clone(rest[:i])
		}
	}
	return slices.Clone(rest)
}

// slice returns the entries after low up to and including high.
func (l *logTail) slice(low, high uint64) []messenger.Entry {
	return slices.Clone(l.entries[low-l.base : high-l.base])
}

// replaceFrom appends entries, dropping those from the first one's index on.
func (l *logTail) replaceFrom(entries []messenger.Entry) {
	keep := entries[0].Index - l.base - 1
	l.entries = append(l.entries[:keep], entries...)
}

// lastBeforeTermOf returns the index of the last entry before the term of entry i.
func (l *logTail) lastBeforeTermOf(i uint64) uint64 {
	t, _ := l.term(i)
	for i > l.base && l.entries[i-l.base-1].Term == t {
		i--
	}
	return i
}

// compact drops the entries up to and including i.
func (l *logTail) compact(i uint64) {
	if i <= l.base {
		return
	}
	t, _ := l.term(i)
	l.entries = slices.Clone(l.entries[i-l.base:])
	l.base, l.baseTerm = i, t
}

// members returns the last member set at or before i and its index, or nil.
func (l *logTail) members(i uint64) (*messenger.Members, uint64) {
	for k := min(i, l.lastIndex()); k > l.base; k-- {
		if m := l.entries[k-l.base-1].Members; m != nil {
			return m, k
		}
	}
	return nil, 0
}
