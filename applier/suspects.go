package applier

import (
	"slices"
	"time"

	"bramleyshunt/messenger"
)

const (
	// DefaultCrashLimit is the number of distinct target incarnations that must end
	// while running a request to quarantine it, if limits.crashes is zero.
	DefaultCrashLimit = 2
	// DefaultQuarantine is how long a quarantine lasts if limits.banned is zero.
	DefaultQuarantine = time.Hour
	// MaxSuspects is the largest number of fingerprints recorded.
	MaxSuspects = 4096
)

// crash identifies an incarnation of a target that ended while it ran a request.
type crash struct {
	Target      string `msgpack:"target"`
	Incarnation uint64 `msgpack:"incarnation"`
}

// suspect is a request that was running when one or more incarnations ended.
type suspect struct {
	Fingerprint uint64  `msgpack:"fingerprint"`
	Crashes     []crash `msgpack:"crashes"`
	Blocked     bool    `msgpack:"blocked"`
	Expires     int64   `msgpack:"expires"` // nanoseconds since the Unix epoch
	Index       uint64  `msgpack:"index"`   // of the last report
}

// suspects holds the suspect requests by fingerprint.
type suspects struct {
	byFingerprint map[uint64]*suspect
}

// report records one crash, unless that names no request, and reports whether it put the request in quarantine.
func (s *suspects) report(ac applyContext, r *messenger.Suspect) bool {
	if r.Fingerprint == 0 {
		return false
	}
	if s.byFingerprint == nil {
		s.byFingerprint = map[uint64]*suspect{}
	}
	sus := s.byFingerprint[r.Fingerprint]
	if sus == nil || sus.Expires <= ac.now.UnixNano() {
		sus = &suspect{Fingerprint: r.Fingerprint}
		s.byFingerprint[r.Fingerprint] = sus
	}
	c := crash{r.Target, r.Incarnation}
	if sus.Blocked || slices.Contains(sus.Crashes, c) {
		return false
	}
	sus.Crashes = append(sus.Crashes, c)
	sus.Expires = ac.now.Add(ac.quarantine()).UnixNano()
	sus.Index = ac.index
	sus.Blocked = len(sus.Crashes) >= ac.crashLimit()
	s.evict(ac.now)
	return sus.Blocked
}

func (ac applyContext) crashLimit() int {
	if ac.config.Limits.CrashLimit > 0 {
		return ac.config.Limits.CrashLimit
	}
	return DefaultCrashLimit
}

func (ac applyContext) quarantine() time.Duration {
	if ac.config.Limits.QuarantineTime > 0 {
		return seconds(ac.config.Limits.QuarantineTime)
	}
	return DefaultQuarantine
}

// evict removes expired fingerprints if there are more than MaxSuspects. If that is
// not enough, it also removes the one that was reported least recently.
func (s *suspects) evict(now time.Time) {
	if len(s.byFingerprint) <= MaxSuspects {
		return
	}
	var oldest *suspect
	for f, sus := range s.byFingerprint {
		if sus.Expires <= now.UnixNano() {
			delete(s.byFingerprint, f)
		} else if oldest == nil || sus.Index < oldest.Index {
			oldest = sus
		}
	}
	if len(s.byFingerprint) > MaxSuspects {
		delete(s.byFingerprint, oldest.Fingerprint)
	}
}

func (s *suspects) blocked(now time.Time) []uint64 {
	var out []uint64
	for f, sus := range s.byFingerprint {
		if sus.Blocked && sus.Expires > now.UnixNano() {
			out = append(out, f)
		}
	}
	slices.Sort(out)
	return out
}
