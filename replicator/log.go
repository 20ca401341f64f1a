package replicator

import (
	"slices"

	"bramleyshunt/messenger"
)

// record is the part of the log that follows base, in memory.
type record struct {
	base     uint64 // index before the first entry
	baseTerm uint64
	entries  []messenger.Entry
}

func (l *record) last() uint64 { return l.base + uint64(len(l.entries)) }

func (l *record) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at i; false if the log does not hold it.
func (l *record) term(i uint64) (uint64, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	}
	return l.entries[i-l.base-1].Term, true
}

func (l *record) has(i, term uint64) bool {
	t, ok := l.term(i)
	return ok && t == term
}

// from returns the entries after prev up to a sum of bytes, and at least one.
func (l *record) from(prev uint64, limit int) []messenger.Entry {
	all := l.entries[prev-l.base:]
	size := 0
	for i := range all {
		size += len(all[i].Data)
		if size > limit && i > 0 {
			return slices.Clone(all[:i])
		}
	}
	return slices.Clone(all)
}

// between returns the entries after low up to and with high.
func (l *record) between(low, high uint64) []messenger.Entry {
	return slices.Clone(l.entries[low-l.base : high-l.base])
}

// put appends entries and drops whatever stood at or after the first.
func (l *record) put(entries []messenger.Entry) {
	keep := entries[0].Index - l.base - 1
	l.entries = append(l.entries[:keep], entries...)
}

// hint returns the last index before the term that stands at i.
func (l *record) hint(i uint64) uint64 {
	t, _ := l.term(i)
	for i > l.base && l.entries[i-l.base-1].Term == t {
		i--
	}
	return i
}

// compact drops the entries up to and with i.
func (l *record) compact(i uint64) {
	if i <= l.base {
		return
	}
	t, _ := l.term(i)
	l.entries = slices.Clone(l.entries[i-l.base:])
	l.base, l.baseTerm = i, t
}

// members returns the last member set at or before i, and its index.
func (l *record) members(i uint64) (*messenger.Members, uint64) {
	for k := min(i, l.last()); k > l.base; k-- {
		if m := l.entries[k-l.base-1].Members; m != nil {
			return m, k
		}
	}
	return nil, 0
}
