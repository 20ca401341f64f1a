package applier

import (
	"bytes"
	"fmt"
	"maps"
	"slices"
	"strings"

	"bramleyshunt/checker"
	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/decoder"
	"bramleyshunt/merger"
	"bramleyshunt/messenger"
)

const (
	// KeptAnswers is the number of accepted changes whose answer is kept. A
	// resend from before that is refused as a Conflict; it is never accepted
	// again, since its base is not the version in force.
	KeptAnswers = 16384
	keptStamps  = 4096 // names of removed files remembered for differences
	maxID       = 128  // bytes of a change id or operator
	maxStep     = 1 << 20
	maxAliases  = 16 // further ids of one version
)

// config is the configuration in force with the changes that led to it.
type config struct {
	read    merger.Reader // merger.Merge if nil
	version uint64
	digest  []byte
	files   []messenger.File // in byte order of names
	merged  *merger.Merger   // nil if a newer process judged the files
	stamps  map[string]uint64
	floor   uint64
	records []Record            // ascending versions
	byID    map[string]uint64   // change id to version
	aliases map[uint64][]string // further ids in byID, by version
}

// current returns the merged configuration, never nil.
func (c *config) current() *configurer.Configurer {
	if c.merged == nil {
		return &configurer.Configurer{}
	}
	return c.merged.Config
}

// merge reads files in the format of this deployment.
func (c *config) merge(files []messenger.File) (*merger.Merger, decoder.Faults) {
	if c.read != nil {
		return c.read(files)
	}
	return merger.Merge(files)
}

func (c *config) view() *View {
	return &View{
		Version: c.version, Digest: c.digest, Files: c.files,
		Merger: c.merged, Config: c.current(), Stamps: c.stamps, Floor: c.floor,
	}
}

func (v *View) delta(since uint64) []messenger.File {
	var out []messenger.File
	for _, name := range slices.Sorted(maps.Keys(v.Stamps)) {
		if v.Stamps[name] <= since {
			continue
		}
		out = append(out, messenger.File{Name: name, Data: find(v.Files, name)})
	}
	return out
}

// find returns the content of a file, nil if there is none.
func find(files []messenger.File, name string) []byte {
	i, ok := slices.BinarySearchFunc(files, name, func(f messenger.File, n string) int { return strings.Compare(f.Name, n) })
	if !ok {
		return nil
	}
	return files[i].Data
}

// change answers a Change: resends first, then conflicts, then the folder itself.
func (c *config) change(m moment, ch *Change) *Answer {
	if ch.Highest {
		return c.raise(m, ch)
	}
	if a := c.known(ch); a != nil {
		return a
	}
	if a := c.conflict(ch); a != nil {
		return a
	}
	if a := malformed(ch); a != nil {
		return a
	}
	merged, faults := c.judge(ch)
	if len(faults) > 0 {
		return &Answer{Code: coder.Invalid, Text: faults.Error(), Version: c.version}
	}
	c.accept(m, ch, merged)
	return &Answer{Version: c.version, Winner: c.last()}
}

// raise takes a valid change whose version is above the one in force.
func (c *config) raise(m moment, ch *Change) *Answer {
	if a := malformed(ch); a != nil {
		return a
	}
	merged, faults := c.judge(ch)
	if len(faults) > 0 {
		return &Answer{Code: coder.Invalid, Text: faults.Error(), Version: c.version}
	}
	if ch.Version <= c.version {
		return &Answer{Version: c.version, Winner: c.last()}
	}
	ch.Base = c.version
	c.accept(m, ch, merged)
	return &Answer{Version: c.version, Winner: c.last()}
}

// known answers a resend of an accepted change, a second use of its id, and a
// change for a version that another one has taken. An id whose folder already is
// a version's stands for that version from then on.
func (c *config) known(ch *Change) *Answer {
	if v, used := c.byID[ch.ID]; used {
		r := c.record(v)
		if bytes.Equal(r.Digest, ch.Digest) {
			return &Answer{Version: v, Winner: r}
		}
		return &Answer{Code: coder.Conflict, Text: "change id was used for another folder", Version: c.version, Winner: r}
	}
	r := c.record(ch.Version)
	if r == nil {
		return nil
	}
	if bytes.Equal(r.Digest, ch.Digest) {
		c.alias(r.Version, ch.ID)
		return &Answer{Version: r.Version, Winner: r}
	}
	text := fmt.Sprintf("version %d was given to change %q of operator %q with digest %x", r.Version, r.Change, r.Operator, r.Digest)
	return &Answer{Code: coder.Conflict, Text: text, Version: c.version, Winner: r}
}

// alias has a further id stand for a version.
func (c *config) alias(version uint64, id string) {
	if len(c.aliases[version]) >= maxAliases || len(id) > maxID {
		return
	}
	if c.aliases == nil {
		c.aliases = map[uint64][]string{}
	}
	c.aliases[version] = append(c.aliases[version], id)
	c.byID[id] = version
}

func (c *config) conflict(ch *Change) *Answer {
	if ch.Base == c.version && ch.Version > c.version {
		return nil
	}
	text := fmt.Sprintf("version %d is in force; base %d and version %d don't follow it", c.version, ch.Base, ch.Version)
	return &Answer{Code: coder.Conflict, Text: text, Version: c.version, Winner: c.last()}
}

func malformed(ch *Change) *Answer {
	switch {
	case ch.ID == "" || len(ch.ID) > maxID || len(ch.Operator) > maxID:
		return &Answer{Code: coder.Invalid, Text: fmt.Sprintf("a change needs an id of 1 to %d bytes", maxID)}
	case !ch.Highest && ch.Version-ch.Base > maxStep:
		return &Answer{Code: coder.Invalid, Text: fmt.Sprintf("version is more than %d above base", maxStep)}
	case !bytes.Equal(ch.Digest, merger.Digest(ch.Files)):
		return &Answer{Code: coder.Invalid, Text: "digest does not match the files"}
	default:
		return nil
	}
}

// judge merges and checks the folder. A folder judged by a process with other
// rules is taken as that process found it, so that keepers of two releases
// never decide the same entry differently.
func (c *config) judge(ch *Change) (*merger.Merger, decoder.Faults) {
	m, faults := c.merge(ch.Files)
	if ch.Rules != checker.Rules {
		return m, nil
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return m, checker.CheckMerged(m)
}

func (c *config) accept(m moment, ch *Change, merged *merger.Merger) {
	files := slices.Clone(ch.Files)
	slices.SortFunc(files, func(a, b messenger.File) int { return strings.Compare(a.Name, b.Name) })
	c.stamp(files, ch.Version)
	c.version, c.digest, c.files, c.merged = ch.Version, ch.Digest, files, merged
	c.remember(Record{
		Version: ch.Version, Base: ch.Base, Change: ch.ID, Operator: ch.Operator,
		Digest: ch.Digest, Index: m.index, Time: m.now.UnixNano(),
	})
}

// stamp notes which files differ. The map is replaced, since views hold the old one.
func (c *config) stamp(files []messenger.File, version uint64) {
	stamps := maps.Clone(c.stamps)
	if stamps == nil {
		stamps = map[string]uint64{}
	}
	for _, f := range files {
		if old := find(c.files, f.Name); old == nil || !bytes.Equal(old, f.Data) {
			stamps[f.Name] = version
		}
	}
	for _, f := range c.files {
		if find(files, f.Name) == nil {
			stamps[f.Name] = version
		}
	}
	c.stamps = stamps
	if c.floor == 0 {
		c.floor = version
	}
	c.forget(files)
}

// forget drops the oldest names of removed files beyond keptStamps and raises
// the floor to the versions that knew them.
func (c *config) forget(files []messenger.File) {
	for len(c.stamps) > len(files)+keptStamps {
		oldest := ""
		for name, v := range c.stamps {
			if find(files, name) != nil {
				continue
			}
			if oldest == "" || v < c.stamps[oldest] || v == c.stamps[oldest] && name < oldest {
				oldest = name
			}
		}
		c.floor = max(c.floor, c.stamps[oldest])
		delete(c.stamps, oldest)
	}
}

func (c *config) remember(r Record) {
	if c.byID == nil {
		c.byID = map[string]uint64{}
	}
	c.records = append(c.records, r)
	c.byID[r.Change] = r.Version
	if len(c.records) > KeptAnswers {
		oldest := c.records[0]
		for _, id := range append(c.aliases[oldest.Version], oldest.Change) {
			delete(c.byID, id)
		}
		delete(c.aliases, oldest.Version)
		c.records = slices.Delete(c.records, 0, 1)
	}
}

func (c *config) record(version uint64) *Record {
	i, ok := slices.BinarySearchFunc(c.records, version, func(r Record, v uint64) int {
		switch {
		case r.Version < v:
			return -1
		case r.Version > v:
			return 1
		default:
			return 0
		}
	})
	if !ok {
		return nil
	}
	r := c.records[i]
	return &r
}

func (c *config) last() *Record {
	if len(c.records) == 0 {
		return nil
	}
	r := c.records[len(c.records)-1]
	return &r
}

func (c *config) history(n int) []Record {
	return slices.Clone(c.records[max(0, len(c.records)-n):])
}
