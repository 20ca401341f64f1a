package applier

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/coder"
	"bramleyshunt/isolator"
	"bramleyshunt/merger"
	"bramleyshunt/messenger"
)

const snapshotFormat = 1

// snapshot is the encoded form of the whole state. Its lists are sorted, so that equal
// states have equal encodings.
type snapshot struct {
	Format     int              `msgpack:"format"`
	Index      uint64           `msgpack:"index"`
	Now        int64            `msgpack:"now"` // nanoseconds since the Unix epoch
	Version    uint64           `msgpack:"version"`
	Digest     []byte           `msgpack:"digest"`
	Files      []messenger.File `msgpack:"files"`
	Stamps     []namedNumber    `msgpack:"stamps"`
	Floor      uint64           `msgpack:"floor"`
	Records    []Record         `msgpack:"records"`
	Aliases    []namedNumber    `msgpack:"aliases"` // versions by further change id
	Claims     []*claim         `msgpack:"claims"`
	Fences     []namedNumber    `msgpack:"fences"`
	FenceFloor uint64           `msgpack:"passed"` // floor of the fencing tokens
	Suspects   []suspect        `msgpack:"suspects"`

	Targets []messenger.Target `msgpack:"targets,omitempty"` // remembered
	Parts   *isolator.State    `msgpack:"parts,omitempty"`

	Evacuated *messenger.Evacuated `msgpack:"evacuated,omitempty"`
}

// namedNumber is one key and value of a map.
type namedNumber struct {
	Name  string `msgpack:"name"`
	Value uint64 `msgpack:"value"`
}

func sortedNumbers(m map[string]uint64) []namedNumber {
	var out []namedNumber
	for _, name := range slices.Sorted(maps.Keys(m)) {
		out = append(out, namedNumber{name, m[name]})
	}
	return out
}

func numbersByName(list []namedNumber) map[string]uint64 {
	out := make(map[string]uint64, len(list))
	for _, n := range list {
		out[n.Name] = n.Value
	}
	return out
}

// Snapshot returns the encoded state. Equal states have equal encodings.
func (a *Applier) Snapshot() []byte {
	a.mu.RLock()
	defer a.mu.RUnlock()
	s := snapshot{
		Format: snapshotFormat, Index: a.index, Now: a.now,
		Version: a.config.version, Digest: a.config.digest, Files: a.config.files,
		Stamps: sortedNumbers(a.config.stamps), Floor: a.config.floor, Records: a.config.records,
		Fences: sortedNumbers(a.fences.issued), FenceFloor: a.fences.floor,
	}
	for _, r := range s.Records {
		for _, id := range a.config.aliases[r.Version] {
			s.Aliases = append(s.Aliases, namedNumber{id, r.Version})
		}
	}
	s.Claims = make([]*claim, 0, len(a.claims.byKey))
	for _, c := range a.claims.byKey {
		s.Claims = append(s.Claims, c)
	}
	slices.SortFunc(s.Claims, func(x, y *claim) int { return x.Key.compare(y.Key) })
	for _, f := range slices.Sorted(maps.Keys(a.suspects.byFingerprint)) {
		s.Suspects = append(s.Suspects, *a.suspects.byFingerprint[f])
	}
	s.Targets = a.targets.sorted()
	s.Parts = a.parts.State()
	s.Evacuated = a.evacuations.state()
	return encode(&s)
}

func (k claimKey) compare(o claimKey) int {
	return cmp.Or(cmp.Compare(k.Account, o.Account), cmp.Compare(k.Service, o.Service), cmp.Compare(k.Key, o.Key))
}

// Restore replaces the state by a snapshot. If the snapshot can't be decoded, the state
// is unchanged and the error carries code BadVersion or BadFrame.
func (a *Applier) Restore(data []byte) error {
	var s snapshot
	if err := msgpack.Unmarshal(data, &s); err != nil {
		return coder.Errorf(coder.BadFrame, "snapshot: %v", err)
	}
	if s.Format != snapshotFormat {
		return coder.Errorf(coder.BadVersion, "snapshot format %d, want %d", s.Format, snapshotFormat)
	}
	a.mu.Lock()
	a.index = s.Index
	a.now = s.Now
	a.config = s.config(a.Read)
	a.claims = s.claims()
	a.fences = fences{issued: numbersByName(s.Fences), floor: s.FenceFloor}
	a.suspects = s.suspects()
	a.targets = s.targets()
	a.parts.Restore(s.Parts)
	a.evacuations.restore(s.Evacuated)
	subscribers := a.subscribers
	a.mu.Unlock()
	for _, f := range subscribers {
		f()
	}
	return nil
}

func (s *snapshot) config(read merger.Reader) config {
	c := config{
		read:    read,
		version: s.Version, digest: s.Digest, files: s.Files, stamps: numbersByName(s.Stamps), floor: s.Floor,
		records: s.Records, byID: map[string]uint64{}, aliases: map[uint64][]string{},
	}
	if s.Version > 0 {
		c.merged, _ = c.merge(s.Files)
	}
	for _, r := range s.Records {
		c.byID[r.Change] = r.Version
	}
	for _, a := range s.Aliases {
		c.byID[a.Name] = a.Value
		c.aliases[a.Value] = append(c.aliases[a.Value], a.Name)
	}
	return c
}

func (s *snapshot) claims() claims {
	out := claims{byKey: map[claimKey]*claim{}}
	for _, c := range s.Claims {
		out.byKey[c.Key] = c
		out.expiry = append(out.expiry, expiry{at: c.Expires, key: c.Key})
		if len(c.Answer) > 0 {
			out.answers = append(out.answers, answerRef{c.Key, c.Ended})
			out.answerBytes += len(c.Answer)
		}
	}
	heap.Init(&out.expiry)
	slices.SortFunc(out.answers, func(x, y answerRef) int { return cmp.Compare(x.ended, y.ended) })
	return out
}

func (s *snapshot) targets() targets {
	out := targets{byID: make(map[string]messenger.Target, len(s.Targets))}
	for _, t := range s.Targets {
		out.byID[t.ID] = t
	}
	return out
}

func (s *snapshot) suspects() suspects {
	out := suspects{byFingerprint: map[uint64]*suspect{}}
	for _, sus := range s.Suspects {
		out.byFingerprint[sus.Fingerprint] = &sus
	}
	return out
}
