package conductor

import (
	"slices"
	"sync"
	"time"

	"bramleyshunt/messenger"
)

const (
	// maxSoundParts bounds the parts whose last answer is remembered.
	maxSoundParts = 8192
	// maxSoundAge bounds the age of an answer that is reported when a part comes under
	// suspicion.
	maxSoundAge = 30 * time.Second
	// soundReportInterval is the shortest time between two reports that a part is sound.
	soundReportInterval = 200 * time.Millisecond
	// seenReportInterval is the shortest time between two reports that requests with an
	// isolated part still arrive.
	seenReportInterval = 10 * time.Second
)

// partMemory is what this process has seen of parts of prompts. It is safe for concurrent
// use.
type partMemory struct {
	mu       sync.Mutex
	sound    map[uint64]time.Time // last answer that went on, by part
	former   map[uint64]time.Time // of the parts answered before those in sound
	services map[string]time.Time // last answer that went on, by service
	reported map[uint64]time.Time // when a listed part was last reported as sound
	seen     map[uint64]time.Time // when a group was last reported as still requested, by its first part
	claiming map[uint64]bool      // a request waits for the grant of a trial of a group, by its first part
	listed   *messenger.Isolated  // adopted last
	changed  chan struct{}        // closed when listed is replaced
}

func newPartMemory() *partMemory {
	return &partMemory{
		sound: map[uint64]time.Time{}, services: map[string]time.Time{},
		reported: map[uint64]time.Time{}, seen: map[uint64]time.Time{}, claiming: map[uint64]bool{}, changed: make(chan struct{}),
	}
}

// record records an answer that went on, and returns those of its parts to report as sound.
func (m *partMemory) record(now time.Time, service string, parts []uint64) []uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.services[service] = now
	for _, id := range parts {
		if len(m.sound) >= maxSoundParts/2 {
			m.sound, m.former = map[uint64]time.Time{}, m.sound
		}
		m.sound[id] = now
	}
	return m.due(now, parts)
}

// due returns the parts that are listed and have not been reported lately.
func (m *partMemory) due(now time.Time, parts []uint64) []uint64 {
	var out []uint64
	for _, id := range parts {
		if m.isListed(id) && now.Sub(m.reported[id]) >= soundReportInterval {
			m.reported[id] = now
			out = append(out, id)
		}
	}
	return out
}

func (m *partMemory) isListed(id uint64) bool {
	if m.listed == nil {
		return false
	}
	_, suspected := slices.BinarySearch(m.listed.Suspected, id)
	return suspected || slices.ContainsFunc(m.listed.Groups, func(g messenger.PartGroup) bool { return slices.Contains(g.Parts, id) })
}

// adopt replaces the listed parts. It returns the former ones, and the parts to report as
// sound because they were answered within maxSoundAge.
func (m *partMemory) adopt(now time.Time, v *messenger.Isolated) (old *messenger.Isolated, sound []uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old, m.listed = m.listed, v
	close(m.changed)
	m.changed = make(chan struct{})
	clear(m.seen)
	for id := range m.reported {
		if !m.isListed(id) {
			delete(m.reported, id)
		}
	}
	if v == nil {
		return old, nil
	}
	listed := slices.Clone(v.Suspected)
	for _, g := range v.Groups {
		listed = append(listed, g.Parts...)
	}
	listed = slices.DeleteFunc(listed, func(id uint64) bool {
		at, ok := m.lastSound(id)
		return !ok || now.Sub(at) > maxSoundAge
	})
	return old, m.due(now, listed)
}

// lastSound returns when an answer with a part last went on, false if that is not known.
func (m *partMemory) lastSound(id uint64) (time.Time, bool) {
	at, ok := m.sound[id]
	if !ok {
		at, ok = m.former[id]
	}
	return at, ok
}

// accused returns the parts that may have crashed the target of a request sent at the given
// time: those without an answer that went on since then.
func (m *partMemory) accused(parts []uint64, sent time.Time) []uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(parts), func(id uint64) bool {
		at, ok := m.lastSound(id)
		return ok && at.After(sent)
	})
}

// sinceSound returns the time since the last answer of a service that went on, negative if
// there was none.
func (m *partMemory) sinceSound(now time.Time, service string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.services[service]
	if !ok {
		return -time.Second
	}
	return max(0, now.Sub(at))
}

// sinceParts returns the times since the last answers with parts that went on.
func (m *partMemory) sinceParts(now time.Time, parts []uint64) []messenger.SoundPart {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []messenger.SoundPart
	for _, id := range parts {
		if at, ok := m.lastSound(id); ok {
			out = append(out, messenger.SoundPart{Part: id, Ago: max(0, now.Sub(at))})
		}
	}
	return out
}

// isSeenDue reports whether to report that requests with an isolated group still arrive.
func (m *partMemory) isSeenDue(now time.Time, g *messenger.PartGroup) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if last, ok := m.seen[g.Parts[0]]; ok && now.Sub(last) < seenReportInterval {
		return false
	}
	m.seen[g.Parts[0]] = now
	return true
}

// listChanged returns a channel that is closed when the listed parts are next replaced.
func (m *partMemory) listChanged() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}
