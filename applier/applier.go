// Package applier is the replicated state of the keepers: the configuration in
// force with the answers given to its changes, idempotency claims, fencing
// numbers and quarantined requests. It is a pure function of the log: time comes
// only from the commands, and no outcome depends on the order of a map.
package applier

import (
	"sync"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/configurer"
	"bramleyshunt/merger"
	"bramleyshunt/messenger"
)

// Applier holds the state. Apply, Restore and Snapshot are called by one
// goroutine; the other methods may be called by any.
type Applier struct {
	Read merger.Reader // reads the files of a configuration; merger.Merge if nil

	mu      sync.RWMutex
	index   uint64 // of the last command applied
	now     int64  // latest time of any command, nanoseconds since the epoch
	config  config
	claims  claims
	fences  fences
	suspect suspects

	notify []func()
}

// Subscribe has f called after each command that changed the configuration or
// the quarantine, on the goroutine of Apply or Restore.
func (a *Applier) Subscribe(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.notify = append(a.notify, f)
}

// Apply applies one log entry and returns an encoded Answer.
func (a *Applier) Apply(index uint64, command []byte) []byte {
	c, err := DecodeCommand(command)
	if err != nil {
		return encode(&Answer{Code: coder.BadFrame, Text: err.Error()})
	}
	a.mu.Lock()
	answer, changed := a.apply(index, c)
	notify := a.notify
	a.mu.Unlock()
	if changed {
		for _, f := range notify {
			f()
		}
	}
	return encode(answer)
}

func (a *Applier) apply(index uint64, c *Command) (*Answer, bool) {
	a.index = index
	a.config.read = a.Read
	a.now = max(a.now, c.Time)
	m := moment{index: index, now: time.Unix(0, a.now), config: a.config.current()}
	a.claims.sweep(m.now)
	switch {
	case c.Verb == VerbChange && c.Change != nil:
		answer := a.config.change(m, c.Change)
		return answer, answer.Code == coder.OK
	case c.Verb == VerbClaim && c.Claim != nil:
		return &Answer{Claimed: a.claims.claim(m, c.Claim)}, false
	case c.Verb == VerbSuspect && c.Suspect != nil:
		return &Answer{}, a.suspect.report(m, c.Suspect)
	case c.Verb == VerbFence && c.Target != "":
		a.fences.issue(c.Target, index)
		return &Answer{Fence: index}, false
	default:
		return &Answer{Code: coder.BadFrame, Text: "command without content"}, false
	}
}

// View is the configuration in force. It is not changed after it was returned.
type View struct {
	Version uint64
	Digest  []byte
	Files   []messenger.File // in byte order of names
	Merger  *merger.Merger   // nil at version zero
	Config  *configurer.Configurer
	Stamps  map[string]uint64 // version that last changed each file, removed ones too
	Floor   uint64            // Stamps tell all changes after this version
}

// View returns the configuration in force, of version zero if there is none.
func (a *Applier) View() *View {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.config.view()
}

// Delta returns the files that changed after a version, nil Data for removed
// ones. It reports false if the version is unknown or too old.
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

// Fence returns the highest fencing number issued for a target.
func (a *Applier) Fence(target string) uint64 {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.fences.highest(target)
}

// Blocked returns the fingerprints in quarantine in ascending order.
func (a *Applier) Blocked(now time.Time) []uint64 {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.suspect.blocked(now)
}

// Claims returns the number of idempotency claims held.
func (a *Applier) Claims() int {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return len(a.claims.held)
}
