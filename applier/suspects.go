package applier

import (
	"slices"
	"time"

	"bramleyshunt/messenger"
)

const (
	// DefaultCrashes is the number of distinct incarnations whose end puts a
	// request in quarantine when limits.crashes is zero.
	DefaultCrashes = 2
	// DefaultBanned is how long a quarantine lasts when limits.banned is zero.
	DefaultBanned = time.Hour
	// MaxSuspects is the number of fingerprints remembered.
	MaxSuspects = 4096
)

// crash is one incarnation of a target that ended.
type crash struct {
	Target      string `msgpack:"target"`
	Incarnation uint64 `msgpack:"incarnation"`
}

// suspect is a request that was running when incarnations ended.
type suspect struct {
	Fingerprint uint64  `msgpack:"fingerprint"`
	Crashes     []crash `msgpack:"crashes"`
	Blocked     bool    `msgpack:"blocked"`
	Expires     int64   `msgpack:"expires"` // nanoseconds since the epoch
	Index       uint64  `msgpack:"index"`   // of the last report
}

// suspects is all suspects by fingerprint.
type suspects struct {
	seen map[uint64]*suspect
}

// report counts one crash and reports whether the quarantine changed.
func (s *suspects) report(m moment, r *messenger.Suspect) bool {
	if s.seen == nil {
		s.seen = map[uint64]*suspect{}
	}
	one := s.seen[r.Fingerprint]
	if one == nil || one.Expires <= m.now.UnixNano() {
		one = &suspect{Fingerprint: r.Fingerprint}
		s.seen[r.Fingerprint] = one
	}
	c := crash{r.Target, r.Incarnation}
	if one.Blocked || slices.Contains(one.Crashes, c) {
		return false
	}
	one.Crashes = append(one.Crashes, c)
	one.Expires = m.now.Add(m.banned()).UnixNano()
	one.Index = m.index
	one.Blocked = len(one.Crashes) >= m.crashes()
	s.bound(m.now)
	return one.Blocked
}

func (m moment) crashes() int {
	if m.config.Limits.Crashes > 0 {
		return m.config.Limits.Crashes
	}
	return DefaultCrashes
}

func (m moment) banned() time.Duration {
	if m.config.Limits.Banned > 0 {
		return seconds(m.config.Limits.Banned)
	}
	return DefaultBanned
}

// bound drops what has expired, then the fingerprint reported longest ago.
func (s *suspects) bound(now time.Time) {
	if len(s.seen) <= MaxSuspects {
		return
	}
	var oldest *suspect
	for f, one := range s.seen {
		if one.Expires <= now.UnixNano() {
			delete(s.seen, f)
		} else if oldest == nil || one.Index < oldest.Index {
			oldest = one
		}
	}
	if len(s.seen) > MaxSuspects {
		delete(s.seen, oldest.Fingerprint)
	}
}

func (s *suspects) blocked(now time.Time) []uint64 {
	var out []uint64
	for f, one := range s.seen {
		if one.Blocked && one.Expires > now.UnixNano() {
			out = append(out, f)
		}
	}
	slices.Sort(out)
	return out
}
