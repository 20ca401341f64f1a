package batcher

import "container/list"

// memory accounts for the KV cache in tokens. Blocks of prompts are shared by
// prefix; a block that no request pins stays cached until its room is needed.
type memory struct {
	total  int
	block  int
	used   int // pinned blocks and private tokens
	cached int // computed blocks that nobody pins

	blocks  map[key]*block
	idle    list.List // of *block that nobody pins, last used first
	added   []uint64
	removed []uint64
}

// key names a block: the hash of the prefix it ends, under one state of the weights.
type key struct {
	state uint64
	hash  uint64
}

type block struct {
	key
	pins  int
	ready bool // computed
	place *list.Element
}

// fits reports whether take would stay within the total.
func (m *memory) fits(keys []key, private int) bool {
	need := m.used + private
	for _, k := range keys {
		if b := m.blocks[k]; b == nil || b.pins == 0 {
			need += m.block
		}
	}
	return need <= m.total
}

// take pins blocks and reserves private tokens; the caller checked fits.
func (m *memory) take(keys []key, private int) {
	m.used += private
	for _, k := range keys {
		b := m.blocks[k]
		if b == nil {
			b = m.add(k)
		}
		if b.pins == 0 {
			m.used += m.block
		}
		if b.place != nil {
			m.idle.Remove(b.place)
			b.place = nil
			m.cached -= m.block
		}
		b.pins++
	}
	m.evict()
}

func (m *memory) add(k key) *block {
	if m.blocks == nil {
		m.blocks = map[key]*block{}
	}
	b := &block{key: k}
	m.blocks[k] = b
	return b
}

// give undoes take. Blocks of the state in force stay cached if they were
// computed; the end of a prefix is evicted before its beginning.
func (m *memory) give(keys []key, private int, state uint64) {
	m.used -= private
	for i := len(keys) - 1; i >= 0; i-- {
		b := m.blocks[keys[i]]
		b.pins--
		if b.pins > 0 {
			continue
		}
		m.used -= m.block
		if !b.ready || b.state != state {
			m.drop(b)
			continue
		}
		b.place = m.idle.PushFront(b)
		m.cached += m.block
	}
}

// mark records that a pinned block was computed.
func (m *memory) mark(k key) {
	b := m.blocks[k]
	if !b.ready {
		b.ready = true
		m.added = append(m.added, k.hash)
	}
}

func (m *memory) isReady(k key) bool {
	b := m.blocks[k]
	return b != nil && b.ready
}

// evict gives up the blocks unused for longest until all fits.
func (m *memory) evict() {
	for m.used+m.cached > m.total {
		m.evictLast()
	}
}

// clear gives up all blocks that nobody pins.
func (m *memory) clear() {
	for m.idle.Len() > 0 {
		m.evictLast()
	}
}

func (m *memory) evictLast() {
	b := m.idle.Back().Value.(*block)
	m.idle.Remove(b.place)
	m.cached -= m.block
	m.drop(b)
}

func (m *memory) drop(b *block) {
	delete(m.blocks, b.key)
	if b.ready {
		m.removed = append(m.removed, b.hash)
	}
}

// changes returns what was added and removed since the last call.
func (m *memory) changes() (added, removed []uint64) {
	added, removed = m.added, m.removed
	m.added, m.removed = nil, nil
	return added, removed
}
