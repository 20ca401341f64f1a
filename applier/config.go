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
	// MaxRecords is the number of accepted changes whose answers are kept. A resend
	// of an older change is refused with code Conflict. It is never accepted a second
	// time, because its base is not the version in force.
	MaxRecords       = 16384
	maxRemovedStamps = 4096 // removed files whose version is recorded for View.Delta
	maxIDBytes       = 128  // largest change id or operator name
	maxVersionStep   = 1 << 20
	maxAliases       = 16 // further change ids of one version
)

// config holds the configuration in force and the records of accepted changes.
type config struct {
	read    merger.Reader // merger.Merge if nil
	version uint64
	digest  []byte
	files   []messenger.File // in byte order of names
	merged  *merger.Merger   // nil if there are no files or this process can't merge them
	stamps  map[string]uint64
	floor   uint64
	records []Record            // in ascending order of versions
	byID    map[string]uint64   // versions by change id
	aliases map[uint64][]string // further change ids in byID, by version
}

// current returns the merged configuration, never nil.
func (c *config) current() *configurer.Configurer {
	if c.merged == nil {
		return &configurer.Configurer{}
	}
	return c.merged.Config
}

// merge merges files with the configured reader.
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
		out = append(out, messenger.File{Name: name, Data: fileData(v.Files, name)})
	}
	return out
}

// fileData returns the content of a file, or nil if it does not exist. The files must
// be in byte order of names.
func fileData(files []messenger.File, name string) []byte {
	i, ok := slices.BinarySearchFunc(files, name, func(f messenger.File, n string) int { return strings.Compare(f.Name, n) })
	if !ok {
		return nil
	}
	return files[i].Data
}

// change applies a Change. It checks for resends first, then for a wrong base, then
// for faults in the folder.
func (c *config) change(ac applyContext, ch *Change) *Answer {
	if ch.HighestWins {
		return c.changeHighest(ac, ch)
	}
	if a := c.answerKnown(ch); a != nil {
		return a
	}
	if a := c.checkBase(ch); a != nil {
		return a
	}
	if a := checkFormat(ch); a != nil {
		return a
	}
	merged, faults := c.validate(ch)
	if len(faults) > 0 {
		return &Answer{Code: coder.Invalid, Text: faults.Error(), Version: c.version}
	}
	c.accept(ac, ch, merged)
	return &Answer{Version: c.version, Winner: c.lastRecord()}
}

// changeHighest applies a Change with HighestWins. It validates the change even if its
// version is not above the one in force.
func (c *config) changeHighest(ac applyContext, ch *Change) *Answer {
	if a := checkFormat(ch); a != nil {
		return a
	}
	merged, faults := c.validate(ch)
	if len(faults) > 0 {
		return &Answer{Code: coder.Invalid, Text: faults.Error(), Version: c.version}
	}
	if ch.Version <= c.version {
		return &Answer{Version: c.version, Winner: c.lastRecord()}
	}
	ch.Base = c.version
	c.accept(ac, ch, merged)
	return &Answer{Version: c.version, Winner: c.lastRecord()}
}

// answerKnown answers a resend of an accepted change, a change that reuses the id of
// another one, and a change for a version that was already accepted. If the accepted
// version has the same digest, the new id becomes an alias of that version. It returns
// nil for a new change.
func (c *config) answerKnown(ch *Change) *Answer {
	if v, used := c.byID[ch.ID]; used {
		r := c.findRecord(v)
		if bytes.Equal(r.Digest, ch.Digest) {
			return &Answer{Version: v, Winner: r}
		}
		return &Answer{Code: coder.Conflict, Text: "change id was used for another folder", Version: c.version, Winner: r}
	}
	r := c.findRecord(ch.Version)
	if r == nil {
		return nil
	}
	if bytes.Equal(r.Digest, ch.Digest) {
		c.addAlias(r.Version, ch.ID)
		return &Answer{Version: r.Version, Winner: r}
	}
	text := fmt.Sprintf("version %d was given to change %q of operator %q with digest %x", r.Version, r.Change, r.Operator, r.Digest)
	return &Answer{Code: coder.Conflict, Text: text, Version: c.version, Winner: r}
}

// addAlias records a further change id for a version, up to maxAliases.
func (c *config) addAlias(version uint64, id string) {
	if len(c.aliases[version]) >= maxAliases || len(id) > maxIDBytes {
		return
	}
	if c.aliases == nil {
		c.aliases = map[uint64][]string{}
	}
	c.aliases[version] = append(c.aliases[version], id)
	c.byID[id] = version
}

func (c *config) checkBase(ch *Change) *Answer {
	if ch.Base == c.version && ch.Version > c.version {
		return nil
	}
	text := fmt.Sprintf("version %d is in force; base %d and version %d don't follow it", c.version, ch.Base, ch.Version)
	return &Answer{Code: coder.Conflict, Text: text, Version: c.version, Winner: c.lastRecord()}
}

func checkFormat(ch *Change) *Answer {
	switch {
	case ch.ID == "" || len(ch.ID) > maxIDBytes || len(ch.Operator) > maxIDBytes:
		return &Answer{Code: coder.Invalid, Text: fmt.Sprintf("a change needs an id of 1 to %d bytes", maxIDBytes)}
	case !ch.HighestWins && ch.Version-ch.Base > maxVersionStep:
		return &Answer{Code: coder.Invalid, Text: fmt.Sprintf("version is more than %d above base", maxVersionStep)}
	case !bytes.Equal(ch.Digest, merger.Digest(ch.Files)):
		return &Answer{Code: coder.Invalid, Text: "digest does not match the files"}
	default:
		return nil
	}
}

// validate merges and checks the folder. If the proposing process has a different
// version of the rules, its verdict is accepted, so that keepers of two releases never
// apply the same log entry differently.
func (c *config) validate(ch *Change) (*merger.Merger, decoder.Faults) {
	m, faults := c.merge(ch.Files)
	if ch.Rules != checker.Rules {
		return m, nil
	}
	if len(faults) > 0 {
		return nil, faults
	}
	return m, checker.CheckMerged(m)
}

func (c *config) accept(ac applyContext, ch *Change, merged *merger.Merger) {
	files := slices.Clone(ch.Files)
	slices.SortFunc(files, func(a, b messenger.File) int { return strings.Compare(a.Name, b.Name) })
	c.stampFiles(files, ch.Version)
	c.version, c.digest, c.files, c.merged = ch.Version, ch.Digest, files, merged
	c.addRecord(Record{
		Version: ch.Version, Base: ch.Base, Change: ch.ID, Operator: ch.Operator,
		Digest: ch.Digest, Index: ac.index, Time: ac.now.UnixNano(),
	})
}

// stampFiles records the version for each file that was changed, added or removed. It
// replaces the map, because views share the old one.
func (c *config) stampFiles(files []messenger.File, version uint64) {
	stamps := maps.Clone(c.stamps)
	if stamps == nil {
		stamps = map[string]uint64{}
	}
	for _, f := range files {
		if old := fileData(c.files, f.Name); old == nil || !bytes.Equal(old, f.Data) {
			stamps[f.Name] = version
		}
	}
	for _, f := range c.files {
		if fileData(files, f.Name) == nil {
			stamps[f.Name] = version
		}
	}
	c.stamps = stamps
	if c.floor == 0 {
		c.floor = version
	}
	c.dropRemovedStamps(files)
}

// dropRemovedStamps drops the stamps of the files removed first beyond maxRemovedStamps and
// raises the floor to their versions.
func (c *config) dropRemovedStamps(files []messenger.File) {
	for len(c.stamps) > len(files)+maxRemovedStamps {
		oldest := ""
		for name, v := range c.stamps {
			if fileData(files, name) != nil {
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

func (c *config) addRecord(r Record) {
	if c.byID == nil {
		c.byID = map[string]uint64{}
	}
	c.records = append(c.records, r)
	c.byID[r.Change] = r.Version
	if len(c.records) > MaxRecords {
		oldest := c.records[0]
		for _, id := range append(c.aliases[oldest.Version], oldest.Change) {
			delete(c.byID, id)
		}
		delete(c.aliases, oldest.Version)
		c.records = slices.Delete(c.records, 0, 1)
	}
}

func (c *config) findRecord(version uint64) *Record {
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

func (c *config) lastRecord() *Record {
	if len(c.records) == 0 {
		return nil
	}
	r := c.records[len(c.records)-1]
	return &r
}

func (c *config) history(n int) []Record {
	return slices.Clone(c.records[max(0, len(c.records)-n):])
}
