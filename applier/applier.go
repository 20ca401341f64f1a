// Package applier is the replicated state machine of the keepers. It holds the
// configuration in force with the answers to its changes, idempotency claims, fencing
// tokens, quarantined requests, isolated parts of prompts, evacuated availability zones and
// the targets that keepers knew last. The state is a pure function of the log: time comes only from the commands,
// and no result depends on the iteration order of a map.
package applier

import (
	"sync"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/isolator"
	"bramleyshunt/merger"
	"bramleyshunt/messenger"
)

// Applier holds the state. Apply, Restore and Snapshot must be called by a single
// goroutine; the other methods are safe for concurrent use.
type Applier struct {
	Read merger.Reader // reads the files of a configuration; merger.Merge if nil

	mu       sync.RWMutex
	index    uint64 // of the last command applied
	now      int64  // latest time of all commands, nanoseconds since the Unix epoch
	config   config
	claims   claims
	fences   fences
	suspects suspects
	parts    isolator.Isolator
	targets  targets

	evacuations evacuations

	subscribers []func()
}

// Subscribe registers f to be called after each command that changed the
// configuration, the quarantine, the isolated parts or the evacuated zones and after each Restore. It is called on the goroutine
// of Apply or Restore.
func (a *Applier) Subscribe(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.subscribers = append(a.subscribers, f)
}

// Apply applies one log entry and returns an encoded Answer. An entry that can't be
// decoded changes nothing and is answered with code BadFrame.
func (a *Applier) Apply(index uint64, command []byte) []byte {
	c, err := DecodeCommand(command)
	if err != nil {
		return encode(&Answer{Code: coder.BadFrame, Text: err.Error()})
	}
	a.mu.Lock()
	answer, changed := a.apply(index, c)
	subscribers := a.subscribers
	a.mu.Unlock()
	if changed {
		for _, f := range subscribers {
			f()
		}
	}
	return encode(answer)
}

func (a *Applier) apply(index uint64, c *Command) (*Answer, bool) {
	a.index = index
	a.config.read = a.Read
	a.now = max(a.now, c.Time)
	ac := applyContext{index: index, now: time.Unix(0, a.now), config: a.config.current()}
	a.claims.removeExpired(ac.now)
	switch {
	case c.Verb == VerbChange && c.Change != nil:
		answer := a.config.change(ac, c.Change)
		return answer, answer.Code == coder.OK
	case c.Verb == VerbClaim && c.Claim != nil:
		return &Answer{Claimed: a.claims.transition(ac, c.Claim)}, false
	case c.Verb == VerbSuspect && c.Suspect != nil:
		accused := a.accuseParts(ac, c.Suspect)
		return &Answer{}, a.suspects.report(ac, c.Suspect) || accused
	case c.Verb == VerbParts && c.Parts != nil:
		changed := a.changeParts(ac, c.Parts)
		granted := a.parts.Claim(ac.now, c.Parts.Claim)
		return &Answer{Granted: granted}, changed || granted
	case c.Verb == VerbFence && c.Target != "":
		a.fences.issue(c.Target, index)
		return &Answer{Fence: index}, false
	case c.Verb == VerbTargets && c.Targets != nil:
		a.targets.change(c.Targets)
		return &Answer{}, false
	case c.Verb == VerbEvacuate && c.Evacuation != nil:
		answer := a.evacuations.order(ac, c.Evacuation)
		return answer, answer.Code == coder.OK
	default:
		return &Answer{Code: coder.BadFrame, Text: "command without content"}, false
	}
}

// View is the configuration in force at one version. It is immutable.
type View struct {
	Version uint64
	Digest  []byte
	Files   []messenger.File // in byte order of names
	Merger  *merger.Merger   // nil at version zero
	Config  *configurer.Configurer
	Stamps  map[string]uint64 // version that last changed or removed each file
	Floor   uint64            // Stamps cover all changes after this version
}

// View returns the configuration in force. Its version is zero if there is none.
func (a *Applier) View() *View {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.config.view()
}

// Delta returns the files that changed after version since; removed files have nil
// Data. It returns false if that version is unknown or older than the stamps.
func (v *View) Delta(since uint64) ([]messenger.File, bool) {
	if since == 0 || since < v.Floor || since > v.Version {
		return nil, false
	}
	return v.delta(since), true
}

// Index returns the index of the last command applied.
func (a *Applier) Index() uint64 {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.index
}

// History returns the last n accepted changes, oldest first.
func (a *Applier) History(n int) []Record {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.config.history(n)
}

// Fence returns a fencing token that is at least the highest one issued for a target
// and below any that will be issued.
func (a *Applier) Fence(target string) uint64 {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.fences.highest(target)
}

// Blocked returns the fingerprints of quarantined requests in ascending order.
func (a *Applier) Blocked(now time.Time) []uint64 {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.suspects.blocked(now)
}

// Claims returns the number of idempotency claims in the state.
func (a *Applier) Claims() int {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return len(a.claims.byKey)
}
