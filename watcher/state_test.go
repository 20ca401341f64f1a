package watcher

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bramleyshunt/messenger"
)

// The seed is fixed so that every run draws the same cases; -rapid.seed and -rapid.checks on
// the command line override it.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

func targets(ids ...string) []messenger.Target {
	var out []messenger.Target
	for _, id := range ids {
		out = append(out, messenger.Target{ID: id, Incarnation: 1})
	}
	return out
}

func expectTargetIDs(t *testing.T, s *state, want ...string) {
	t.Helper()
	if got := slices.Sorted(maps.Keys(s.targets)); !slices.Equal(got, want) {
		t.Errorf("targets are %v, want %v", got, want)
	}
}

// TestMassLoss tests that targets which a keeper removes all at once are kept until the next
// keeper has had the grace period to list them.
func TestMassLoss(t *testing.T) {
	now := time.Unix(1000, 0)
	var s state
	step := func(u messenger.Update) {
		if _, err := s.apply(&u, now); err != nil {
			t.Fatal(err)
		}
	}
	s.begin()
	step(messenger.Update{Targets: targets("a", "b", "c", "d")})
	step(messenger.Update{Gone: []string{"d"}})
	expectTargetIDs(t, &s, "a", "b", "c")
	step(messenger.Update{Gone: []string{"a", "b", "c"}})
	expectTargetIDs(t, &s, "a", "b", "c")
	if !s.leaveKeeper {
		t.Error("the watcher stays with the keeper after a mass loss")
	}
	s.begin()
	step(messenger.Update{Targets: targets("a", "b")})
	expectTargetIDs(t, &s, "a", "b", "c")
	now = now.Add(targetGrace)
	step(messenger.Update{})
	expectTargetIDs(t, &s, "a", "b")
}

// TestState moves a watcher between keepers that lag by a random number of versions. The
// version must never decrease, and the files must be those of the version.
func TestState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s state
		versions := [][]messenger.File{nil}
		update := func(at uint64) *messenger.Update {
			u := &messenger.Update{Version: at, Full: s.version == 0 || rapid.Bool().Draw(t, "full")}
			u.Files = versions[at]
			if !u.Full && at > s.version {
				u.Files = delta(versions[s.version], versions[at])
			}
			return u
		}
		for range 30 {
			versions = append(versions, drawFiles(t))
			newest := uint64(len(versions) - 1)
			before := s.version
			s.begin()
			at := rapid.Uint64Range(0, newest).Draw(t, "at")
			for _, v := range []uint64{at, rapid.SampledFrom([]uint64{at, newest}).Draw(t, "then")} {
				if _, err := s.apply(update(v), time.Unix(1000, 0)); err != nil {
					t.Fatal(err)
				}
				checkVersion(t, &s, before, versions)
			}
		}
	})
}

func checkVersion(t *rapid.T, s *state, before uint64, versions [][]messenger.File) {
	if s.version < before {
		t.Fatalf("version is %d after %d", s.version, before)
	}
	if got := sortedFiles(s.files); !slices.EqualFunc(got, versions[s.version], equalFile) {
		t.Fatalf("files of version %d are %v, want %v", s.version, got, versions[s.version])
	}
}

func equalFile(a, b messenger.File) bool { return a.Name == b.Name && string(a.Data) == string(b.Data) }

func drawFiles(t *rapid.T) []messenger.File {
	var out []messenger.File
	for _, name := range []string{"a.json", "b.json", "c.json"} {
		if n := rapid.IntRange(0, 3).Draw(t, name); n > 0 {
			out = append(out, messenger.File{Name: name, Data: fmt.Appendf(nil, `{"limits": {"crashes": %d}}`, n)})
		}
	}
	return out
}

// delta returns the files that changed from old to files. A deleted one has no data.
func delta(old, files []messenger.File) []messenger.File {
	var out []messenger.File
	for _, f := range files {
		if !slices.ContainsFunc(old, func(o messenger.File) bool { return equalFile(o, f) }) {
			out = append(out, f)
		}
	}
	for _, o := range old {
		if !slices.ContainsFunc(files, func(f messenger.File) bool { return f.Name == o.Name }) {
			out = append(out, messenger.File{Name: o.Name})
		}
	}
	return out
}
