// Package isolator finds the part of a prompt that crashes the targets that run it. A
// part is accused of a crash if a request with it was at the target and its answer had
// not gone on. The accusations of a part end where an answer with it goes on afterwards.
package isolator

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultLimit is the number of distinct target incarnations that must end to isolate
	// a part, if Isolator.Limit is zero.
	DefaultLimit = 3
	// MinWait is the shortest time from the crash that puts a part under suspicion to its
	// isolation, in which entries can report that the part is answered.
	MinWait = 500 * time.Millisecond
	// TrialDelay is the time from the isolation of parts from which an entry may claim to send
	// one more request with them.
	TrialDelay = time.Second
	// TrialEnd is the time from the isolation of parts that are not doubtful after which no such
	// request is granted.
	TrialEnd = 3 * time.Second
	// SecondTrialDelay is the time from the isolation of doubtful parts until the second one.
	SecondTrialDelay = 6 * time.Second
	// MaxParts is the largest number of parts recorded.
	MaxParts = 4096
	// MaxReported is the largest number of parts that are counted of one request.
	MaxReported = 128

	maxCrashes         = 64   // recorded of one part, the latest ones
	maxRequests        = 8    // recorded of one crash of a part
	maxRecent          = 64   // crashes of all parts, the latest ones
	maxServices        = 1024 // whose last sound answer is recorded
	maxSuspected       = 256  // parts listed as suspected
	minSuspected       = 2    // crashes from which a part is listed as suspected
	minRequests        = 2    // distinct requests under which the targets of an isolated part ended
	unexplained        = 2    // crashes that isolate a part beside one that shares its other crashes
	unexplainedOfKnown = 3    // the same for a part that was answered before its crashes
	mostOf             = 4    // all but one of so many crashes are most of them
)

// Report describes a request whose target's incarnation ended before its answer went on.
type Report struct {
	Node        string // entry that reports
	Service     string
	Parts       []uint64
	Request     uint64 // fingerprint
	Target      string
	Incarnation uint64
	Sound       time.Duration // since the last sound answer of the service at the reporting entry; negative for none
}

// Crash is an incarnation that ended under requests with a part.
type Crash struct {
	ID       uint64   `msgpack:"id"`       // hash of target and incarnation
	Requests []uint64 `msgpack:"requests"` // fingerprints of the first requests reported
	Service  uint64   `msgpack:"service"`  // hash of its name
	At       int64    `msgpack:"at"`       // nanoseconds since the Unix epoch
}

// Part is a part of prompts that is accused of crashes.
type Part struct {
	ID      uint64  `msgpack:"id"`
	Crashes []Crash `msgpack:"crashes"` // oldest first; at least one
	Known   bool    `msgpack:"known"`   // answers with it went on before the first crash
	Node    string  `msgpack:"node"`    // entry that last reported the part before its isolation
	Until   int64   `msgpack:"until"`   // end of the isolation, nanoseconds since the Unix epoch; zero if the part was not isolated
	Seq     uint64  `msgpack:"seq"`     // of the last report

	Since   int64 `msgpack:"since,omitempty"`   // start of the isolation, nanoseconds since the Unix epoch
	Trials  int   `msgpack:"trials,omitempty"`  // granted in this isolation
	TrialAt int64 `msgpack:"trialat,omitempty"` // when the last one was granted, nanoseconds since the Unix epoch
}

// State is the whole state of an Isolator. Equal states are encoded equally.
type State struct {
	Seq      uint64    `msgpack:"seq"`
	Parts    []Part    `msgpack:"parts"`    // by ID
	Recent   []Crash   `msgpack:"recent"`   // oldest first
	Services []Service `msgpack:"services"` // by name
}

// Service holds the time of the last sound answer of a service.
type Service struct {
	Name  uint64 `msgpack:"name"`  // hash
	Sound int64  `msgpack:"sound"` // nanoseconds since the Unix epoch
}

// Isolator counts crashes by part. The zero value has no parts. All times must come from
// one clock that never goes back.
type Isolator struct {
	Limit int // distinct incarnations; DefaultLimit if zero

	parts  map[uint64]*Part
	recent []Crash          // of all parts, oldest first
	sound  map[uint64]int64 // last sound answer by service
	seq    uint64           // of the last part that was reported
}

// Report counts a crash and reports whether the result of Isolated has changed. Parts that
// are to be isolated are so for the given time.
func (i *Isolator) Report(now time.Time, quarantine time.Duration, r Report) bool {
	if i.parts == nil {
		i.Restore(nil)
	}
	c := Crash{ID: crashID(r), Requests: []uint64{r.Request}, Service: xxhash.Sum64String(r.Service), At: now.UnixNano()}
	if r.Sound >= 0 {
		i.recordSound(c.Service, now.Add(-r.Sound))
	}
	i.recent = addCrash(i.recent, c, maxRecent)
	changed := false
	for _, id := range r.Parts[:min(len(r.Parts), MaxReported)] {
		p := i.parts[id]
		if p == nil || p.Until == 0 && now.Sub(time.Unix(0, p.last().At)) > quarantine {
			p = &Part{ID: id}
			i.parts[id] = p
		}
		i.seq++
		p.Seq, p.Crashes = i.seq, addCrash(p.Crashes, c, maxCrashes)
		if p.Until == 0 {
			p.Node = r.Node
		}
		if p.Until > 0 && p.Until <= c.At {
			p.Until = now.Add(quarantine).UnixNano()
		}
		changed = changed || len(p.Crashes) >= minSuspected
	}
	i.evict(now)
	return i.Settle(now, quarantine) || changed
}

func crashID(r Report) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Target)
	_, _ = d.Write(binary.BigEndian.AppendUint64(nil, r.Incarnation))
	return d.Sum64()
}

// addCrash adds a crash to a list of limited length. If it is there, its requests are added.
func addCrash(list []Crash, c Crash, most int) []Crash {
	if n := slices.IndexFunc(list, func(o Crash) bool { return o.ID == c.ID }); n >= 0 {
		if o := &list[n]; len(o.Requests) < maxRequests && !slices.Contains(o.Requests, c.Requests[0]) {
			o.Requests = append(slices.Clone(o.Requests), c.Requests[0])
		}
		return list
	}
	list = append(list, c)
	return slices.Delete(list, 0, max(0, len(list)-most))
}

func (i *Isolator) recordSound(service uint64, at time.Time) {
	if _, known := i.sound[service]; !known && len(i.sound) >= maxServices {
		clear(i.sound)
	}
	i.sound[service] = max(i.sound[service], at.UnixNano())
}

func (p *Part) last() Crash { return p.Crashes[len(p.Crashes)-1] }

// Settle isolates the parts that are ripe by now for the given time, and reports whether
// there are any.
func (i *Isolator) Settle(now time.Time, quarantine time.Duration) bool {
	changed := false
	for _, p := range i.parts {
		if p.Until == 0 && i.ripe(p, now) {
			p.Until, p.Since = now.Add(quarantine).UnixNano(), now.UnixNano()
			changed = true
		}
	}
	return changed
}

// Pending reports whether a part may become ripe by the passing of time.
func (i *Isolator) Pending(now time.Time) bool {
	for _, p := range i.parts {
		if p.Until == 0 && len(p.Crashes) >= i.limit() && !p.waited(now) {
			return true
		}
	}
	return false
}

// waited reports whether a part has been under suspicion for MinWait.
func (p *Part) waited(now time.Time) bool {
	return now.UnixNano()-p.Crashes[min(minSuspected, len(p.Crashes))-1].At >= int64(MinWait)
}

func (i *Isolator) limit() int {
	if i.Limit <= 0 {
		return DefaultLimit
	}
	return i.Limit
}

// ripe reports whether a part is to be isolated. It must have crashed enough incarnations
// under more than one request. The service must have given sound answers, for a part that
// was answered before also since: while nothing is answered, parts that many requests share
// can't be told from one that crashes targets. Of targets that fail together, such as those of a zone, most must have had it.
func (i *Isolator) ripe(p *Part, now time.Time) bool {
	first, last := p.Crashes[0].At, p.last().At
	if len(p.Crashes) < i.limit() || !p.waited(now) {
		return false
	}
	requests, services := map[uint64]bool{}, map[uint64]bool{}
	answered := false
	for _, c := range p.Crashes {
		for _, r := range c.Requests {
			requests[r] = true
		}
		services[c.Service] = true
		answered = answered || i.sound[c.Service] >= first || i.sound[c.Service] > 0 && !p.Known
	}
	all := 0 // crashes of these services meanwhile
	for _, c := range i.recent {
		if services[c.Service] && c.At >= first && c.At <= last {
			all++
		}
	}
	together := last-first < int64(MinWait)
	return answered && len(requests) >= min(minRequests, i.limit()) && (!together || len(p.Crashes)*mostOf >= all*(mostOf-1))
}

// Sound records that an answer with a part went on, at the given time ago. It ends the
// accusations for earlier crashes, and reports whether there were any.
func (i *Isolator) Sound(now time.Time, id uint64, ago time.Duration) bool {
	p := i.parts[id]
	if p == nil {
		return false
	}
	at, before := now.Add(-ago).UnixNano(), len(p.Crashes)
	for _, c := range p.Crashes {
		i.recordSound(c.Service, now.Add(-ago))
	}
	p.Crashes = slices.DeleteFunc(p.Crashes, func(c Crash) bool { return c.At <= at })
	p.Known = true
	if len(p.Crashes) == 0 {
		delete(i.parts, id)
	} else if len(p.Crashes) < before && !i.ripe(p, now) {
		p.Until, p.Since, p.Trials, p.TrialAt = 0, 0, 0, 0
	}
	return len(p.Crashes) < before
}

// Seen extends the isolation of a part, as requests with it still arrive. It reports
// whether the part is isolated.
func (i *Isolator) Seen(now time.Time, quarantine time.Duration, id uint64) bool {
	p := i.parts[id]
	if p == nil || p.Until <= now.UnixNano() {
		return false
	}
	p.Until = max(p.Until, now.Add(quarantine).UnixNano())
	return true
}

// Crashes returns the number of crashes that a part is accused of.
func (i *Isolator) Crashes(id uint64) int {
	if p := i.parts[id]; p != nil {
		return len(p.Crashes)
	}
	return 0
}

// evict removes parts beyond MaxParts: first those of a single crash, last those that are
// isolated, and of these the ones that were reported least recently.
func (i *Isolator) evict(now time.Time) {
	over := len(i.parts) - MaxParts
	if over <= 0 {
		return
	}
	all := make([]*Part, 0, len(i.parts))
	for _, p := range i.parts {
		all = append(all, p)
	}
	slices.SortFunc(all, func(a, b *Part) int { return cmp.Or(cmp.Compare(a.rank(now), b.rank(now)), cmp.Compare(a.Seq, b.Seq)) })
	for _, p := range all[:over] {
		delete(i.parts, p.ID)
	}
}

func (p *Part) rank(now time.Time) int {
	switch {
	case p.Until > now.UnixNano():
		return 2
	case len(p.Crashes) >= minSuspected:
		return 1
	default:
		return 0
	}
}

// State returns a copy of the state.
func (i *Isolator) State() *State {
	s := &State{Seq: i.seq, Recent: slices.Clone(i.recent)}
	for _, p := range i.parts {
		c := *p
		c.Crashes = slices.Clone(p.Crashes) // their requests are never changed in place
		s.Parts = append(s.Parts, c)
	}
	slices.SortFunc(s.Parts, func(a, b Part) int { return cmp.Compare(a.ID, b.ID) })
	for name, at := range i.sound {
		s.Services = append(s.Services, Service{name, at})
	}
	slices.SortFunc(s.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

// Restore replaces the state. A nil State is that of a new Isolator.
func (i *Isolator) Restore(s *State) {
	i.parts, i.sound, i.recent, i.seq = map[uint64]*Part{}, map[uint64]int64{}, nil, 0
	if s == nil {
		return
	}
	i.seq, i.recent = s.Seq, slices.Clone(s.Recent)
	for _, p := range s.Parts {
		if len(p.Crashes) > 0 {
			p.Crashes = slices.Clone(p.Crashes)
			i.parts[p.ID] = &p
		}
	}
	for _, v := range s.Services {
		i.sound[v.Name] = v.Sound
	}
}

// FormatParts formats parts for the log.
func FormatParts(parts []uint64) []string {
	out := make([]string, len(parts))
	for i, id := range parts {
		out[i] = fmt.Sprintf("%016x", id)
	}
	return out
}
