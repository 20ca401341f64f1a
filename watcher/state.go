package watcher

import (
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/merger"
	"bramleyshunt/messenger"
	"bramleyshunt/packer"
)

// targetGrace is how long a target reported by the previous keeper is kept if the new keeper
// does not list it. Within that time all targets announce themselves to a keeper that has
// just started.
const targetGrace = 3 * time.Second

// minMassLoss is the minimum number of targets removed at once that counts as a mass loss.
const minMassLoss = 3

// state holds what the keepers have reported. It has no side effects and reads no clock.
type state struct {
	read        merger.Reader // merger.Merge if nil
	version     uint64
	sentVersion uint64 // that the current keeper takes for version; higher if that one was refused
	files       map[string][]byte
	config      *configurer.Configurer
	targets     map[string]messenger.Target
	expiry      map[string]time.Time // when targets that the current keeper has not listed are removed
	blocked     map[uint64]bool
	isolated    *messenger.Isolated
	evacuated   *messenger.Evacuated
	firstUpdate bool // the next update is the first of its stream
	leaveKeeper bool // the watcher should change to another keeper
}

// begin prepares for the first update of a new stream.
func (s *state) begin() { s.firstUpdate, s.leaveKeeper, s.sentVersion = true, false, s.version }

// apply applies one update and reports whether the view changed. It returns code Invalid and
// keeps the current configuration if the new one is invalid. After an invalid one, the next
// version is complete only on a new stream, as the keeper sends what changed since.
func (s *state) apply(u *messenger.Update, now time.Time) (bool, error) {
	changed := s.applyTargets(u, now)
	if s.applyBlocked(u) {
		changed = true
	}
	if s.applyIsolated(u) {
		changed = true
	}
	if s.applyEvacuated(u) {
		changed = true
	}
	s.firstUpdate = false
	if u.Version <= max(s.version, s.sentVersion) {
		return changed, nil
	}
	if s.sentVersion > s.version && !u.Full {
		s.leaveKeeper = true
		return changed, nil
	}
	s.sentVersion = u.Version
	files, err := s.mergeFiles(u)
	if err != nil {
		return changed, coder.Errorf(coder.Invalid, "version %d: %v", u.Version, err)
	}
	merged, faults := s.reader()(sortedFiles(files))
	if len(faults) > 0 {
		return changed, coder.Errorf(coder.Invalid, "version %d: %v", u.Version, faults)
	}
	s.version, s.files, s.config = u.Version, files, merged.Config
	return true, nil
}

func (s *state) reader() merger.Reader {
	if s.read == nil {
		return merger.Merge
	}
	return s.read
}

// mergeFiles returns the files of the update's version: those in the update, added to the
// current ones unless the update is full. A file without data is deleted.
func (s *state) mergeFiles(u *messenger.Update) (map[string][]byte, error) {
	unpacked, err := packer.Unpack(u.Files)
	if err != nil {
		return nil, err
	}
	files := map[string][]byte{}
	if !u.Full {
		maps.Copy(files, s.files)
	}
	for _, f := range unpacked {
		if f.Data == nil {
			delete(files, f.Name)
			continue
		}
		files[f.Name] = f.Data
	}
	return files, nil
}

// sortedFiles returns the files sorted by name.
func sortedFiles(files map[string][]byte) []messenger.File {
	var out []messenger.File
	for _, name := range slices.Sorted(maps.Keys(files)) {
		out = append(out, messenger.File{Name: name, Data: files[name]})
	}
	return out
}

func (s *state) applyTargets(u *messenger.Update, now time.Time) bool {
	if s.targets == nil {
		s.targets, s.expiry = map[string]messenger.Target{}, map[string]time.Time{}
	}
	if s.firstUpdate {
		s.startGrace(now)
	}
	for _, t := range u.Targets {
		delete(s.expiry, t.ID)
		if old, known := s.targets[t.ID]; !known || !older(t, old) {
			s.targets[t.ID] = t
		}
	}
	for _, d := range u.Loads {
		if t, known := s.targets[d.ID]; known {
			t.Load = d.Load(t.Load.Memory)
			s.targets[d.ID] = t
		}
	}
	gone := s.expired(now)
	if s.isMassLoss(u.Gone) {
		s.startGrace(now)
		s.leaveKeeper = true
	} else {
		gone = append(gone, u.Gone...)
	}
	for _, id := range gone {
		delete(s.targets, id)
		delete(s.expiry, id)
	}
	return len(u.Targets)+len(u.Loads)+len(gone) > 0
}

// older reports whether a target sent a before b. A target that is leaving stays so, even if
// a keeper that has not received this yet reports otherwise.
func older(a, b messenger.Target) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation < b.Incarnation
	}
	return a.Seq < b.Seq || b.Seq > 0 && b.Leaving && !a.Leaving
}

// isMassLoss reports whether so many targets are gone at once that it is more likely that the
// keeper is cut off from the other keepers than that the targets have stopped.
func (s *state) isMassLoss(gone []string) bool {
	return len(gone) >= minMassLoss && 2*len(gone) > len(s.targets)
}

// startGrace sets, for every target without one, the time by which the next keeper must
// list it.
func (s *state) startGrace(now time.Time) {
	for id := range s.targets {
		if _, waiting := s.expiry[id]; !waiting {
			s.expiry[id] = now.Add(targetGrace)
		}
	}
}

// expired returns the targets that were not listed within the grace period.
func (s *state) expired(now time.Time) []string {
	var out []string
	for id, end := range s.expiry {
		if !now.Before(end) {
			out = append(out, id)
		}
	}
	return out
}

func (s *state) applyBlocked(u *messenger.Update) bool {
	if !s.firstUpdate && len(u.Blocked)+len(u.Freed) == 0 {
		return false
	}
	blocked := map[uint64]bool{}
	if !s.firstUpdate {
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

// applyIsolated adopts the isolated parts of prompts. A keeper of a build that doesn't know
// them sends none.
func (s *state) applyIsolated(u *messenger.Update) bool {
	if u.Isolated == nil && !s.firstUpdate || reflect.DeepEqual(u.Isolated, s.isolated) {
		return false
	}
	s.isolated = u.Isolated
	return true
}

// view returns the state as a View, which later updates do not change.
func (s *state) view() *View {
	v := &View{Version: s.version, Config: s.config, Blocked: s.blocked, Isolated: s.isolated, Evacuated: s.evacuated, ByService: map[string][]messenger.Target{}}
	v.Targets = slices.SortedFunc(maps.Values(s.targets), func(a, b messenger.Target) int { return strings.Compare(a.ID, b.ID) })
	for _, t := range v.Targets {
		v.ByService[t.Service] = append(v.ByService[t.Service], t)
	}
	return v
}
