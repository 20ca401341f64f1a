package watcher

import (
	"maps"
	"slices"
	"strings"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/merger"
	"bramleyshunt/messenger"
)

// targetGrace is how long a target that another keeper told of is kept when a
// new keeper doesn't list it. A keeper that has just started hears of all
// targets within that time.
const targetGrace = 3 * time.Second

// massCount is the least number of targets whose end at one moment is doubted.
const massCount = 3

// state is what the keepers told. It is a pure decider.
type state struct {
	read    merger.Reader // merger.Merge if nil
	version uint64
	files   map[string][]byte
	config  *configurer.Configurer
	targets map[string]messenger.Target
	until   map[string]time.Time // targets that the present keeper has not listed
	blocked map[uint64]bool
	fresh   bool // the next update is the first of its stream
	left    bool // another keeper should be asked
}

// begin marks the start of a stream.
func (s *state) begin() { s.fresh, s.left = true, false }

// apply takes one update and reports whether the view changed. It returns code
// Invalid, and keeps the version it had, if the new one can't be read.
func (s *state) apply(u *messenger.Update, now time.Time) (bool, error) {
	changed := s.applyTargets(u, now)
	if s.applyBlocked(u) {
		changed = true
	}
	s.fresh = false
	if u.Version <= s.version {
		return changed, nil
	}
	files := s.merged(u)
	m, faults := s.reader()(list(files))
	if len(faults) > 0 {
		return changed, coder.Errorf(coder.Invalid, "version %d: %v", u.Version, faults)
	}
	s.version, s.files, s.config = u.Version, files, m.Config
	return true, nil
}

func (s *state) reader() merger.Reader {
	if s.read == nil {
		return merger.Merge
	}
	return s.read
}

// merged returns the folder of the update's version.
func (s *state) merged(u *messenger.Update) map[string][]byte {
	files := map[string][]byte{}
	if !u.Full {
		maps.Copy(files, s.files)
	}
	for _, f := range u.Files {
		if f.Data == nil {
			delete(files, f.Name)
			continue
		}
		files[f.Name] = f.Data
	}
	return files
}

func list(files map[string][]byte) []messenger.File {
	var out []messenger.File
	for _, name := range slices.Sorted(maps.Keys(files)) {
		out = append(out, messenger.File{Name: name, Data: files[name]})
	}
	return out
}

func (s *state) applyTargets(u *messenger.Update, now time.Time) bool {
	if s.targets == nil {
		s.targets, s.until = map[string]messenger.Target{}, map[string]time.Time{}
	}
	if s.fresh {
		s.graceTargets(now)
	}
	for _, t := range u.Targets {
		delete(s.until, t.ID)
		if old, held := s.targets[t.ID]; !held || !older(t, old) {
			s.targets[t.ID] = t
		}
	}
	for _, d := range u.Loads {
		if t, held := s.targets[d.ID]; held {
			t.Load = d.Load(t.Load.Memory)
			s.targets[d.ID] = t
		}
	}
	gone := s.lapsed(now)
	if s.mass(u.Gone) {
		s.graceTargets(now)
		s.left = true
	} else {
		gone = append(gone, u.Gone...)
	}
	for _, id := range gone {
		delete(s.targets, id)
		delete(s.until, id)
	}
	return len(u.Targets)+len(u.Loads)+len(gone) > 0
}

// older reports whether a is what a target said before it said b. One that leaves
// goes on leaving, whatever a keeper says that has not heard of it.
func older(a, b messenger.Target) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Seq < b.Seq || b.Seq > 0 && b.Leaving && !a.Leaving
}

// mass reports whether so many targets have gone at once that the keeper, not
// they, is likely to be cut off from the others.
func (s *state) mass(gone []string) bool {
	return len(gone) >= massCount && 2*len(gone) > len(s.targets)
}

// graceTargets gives every target a time by which the new keeper must list it.
func (s *state) graceTargets(now time.Time) {
	for id := range s.targets {
		if _, waiting := s.until[id]; !waiting {
			s.until[id] = now.Add(targetGrace)
		}
	}
}

// lapsed returns the targets that were not listed in time.
func (s *state) lapsed(now time.Time) []string {
	var out []string
	for id, end := range s.until {
		if !now.Before(end) {
			out = append(out, id)
		}
	}
	return out
}

func (s *state) applyBlocked(u *messenger.Update) bool {
	if !s.fresh && len(u.Blocked)+len(u.Freed) == 0 {
		return false
	}
	blocked := map[uint64]bool{}
	if !s.fresh {
		maps.Copy(blocked, s.blocked)
	}
	for _, f := range u.Blocked {
		blocked[f] = true
	}
	for _, f := range u.Freed {
		delete(blocked, f)
	}
	changed := !maps.Equal(blocked, s.blocked)
	s.blocked = blocked
	return changed
}

// view returns an immutable copy.
func (s *state) view() *View {
	v := &View{Version: s.version, Config: s.config, Blocked: s.blocked, ByService: map[string][]messenger.Target{}}
	v.Targets = slices.SortedFunc(maps.Values(s.targets), func(a, b messenger.Target) int { return strings.Compare(a.ID, b.ID) })
	for _, t := range v.Targets {
		v.ByService[t.Service] = append(v.ByService[t.Service], t)
	}
	return v
}
