package batcher

import "container/list"

// memory accounts for the KV cache in tokens. Requests with a common prefix share
// its blocks; a block that no request pins stays cached until its space is needed.
type memory struct {
	total  int
	block  int
	used   int // in pinned blocks and private tokens
	cached int // in computed blocks that no request pins

	blocks  map[key]*block
	lru     list.List // unpinned *block values, most recently used first
	added   []uint64
	removed []uint64
}

// key identifies a block by the hash of the prefix that it ends and by the epoch of
// the weights that computed it.
type key struct {
	epoch uint64
	hash  uint64
}

type block struct {
	key
	pins    int
	ready   bool // its KV cache was computed
	element *list.Element
}

// fits reports whether reserve would stay within the total memory.
func (m *memory) fits(keys []key, private int) bool {
	need := m.used + private
	for _, k := range keys {
		if b := m.blocks[k]; b == nil || b.pins == 0 {
			need += m.block
		}
	}
	return need <= m.total
}

// reserve pins blocks and allocates private tokens. The caller must have checked fits.
func (m *memory) reserve(keys []key, private int) {
	m.used += private
	for _, k := range keys {
		b := m.blocks[k]
		if b == nil {
			b = m.add(k)
		}
		if b.pins == 0 {
			m.used += m.block
		}
		if b.element != nil {
			m.lru.Remove(b.element)
			b.element = nil
			m.cached -= m.block
		}
		b.pins++
	}
	m.evictExcess()
}

func (m *memory) add(k key) *block {
	if m.blocks == nil {
		m.blocks = map[key]*block{}
	}
	b := &block{key: k}
	m.blocks[k] = b
	return b
}

// release undoes reserve. Computed blocks of the current epoch stay cached. They are
// unpinned from the last to the first, so that the end of a prefix is evicted before
// its beginning.
func (m *memory) release(keys []key, private int, epoch uint64) {
	m.used -= private
	for i := len(keys) - 1; i >= 0; i-- {
		b := m.blocks[keys[i]]
		b.pins--
		if b.pins > 0 {
			continue
		}
		m.used -= m.block
		if !b.ready || b.epoch != epoch {
			m.remove(b)
			continue
		}
		b.element = m.lru.PushFront(b)
		m.cached += m.block
	}
}

// markReady records that a pinned block has been computed.
func (m *memory) markReady(k key) {
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

// evictExcess evicts the least recently used blocks until the total is respected.
func (m *memory) evictExcess() {
	for m.used+m.cached > m.total {
		m.evictOldest()
	}
}

// clear evicts all blocks that no request pins.
func (m *memory) clear() {
	for m.lru.Len() > 0 {
		m.evictOldest()
	}
}

func (m *memory) evictOldest() {
	b := m.lru.Back().Value.(*block)
	m.lru.Remove(b.element)
	m.cached -= m.block
	m.remove(b)
}

func (m *memory) remove(b *block) {
	delete(m.blocks, b.key)
	if b.ready {
		m.removed = append(m.removed, b.hash)
	}
}

// takeChanges returns the hashes added and removed since the last call.
func (m *memory) takeChanges() (added, removed []uint64) {
	added, removed = m.added, m.removed
	m.added, m.removed = nil, nil
	return added, removed
}
