package watcher

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
)

// maxPendingReports is the maximum number of reports whose time of sending is recorded.
const maxPendingReports = 64

// follower handles one stream of updates from one keeper.
type follower struct {
	*Watcher
	stream        *muxer.Stream
	seq           uint64
	sentAt        map[uint64]time.Time // when reports were sent, by sequence number
	lastReport    time.Time            // when the last report was sent
	lastConfirmed time.Time            // when the last confirmation arrived on this stream, or its start
}

// follow handles updates from one keeper until the keeper is to be left (see handleUpdate) or
// the Watcher is stopped.
func (w *Watcher) follow(addr string) {
	ctx, cancel := context.WithTimeout(w.ctx, w.cfg.KeeperTimeout)
	conn, err := w.cfg.Pool.Get(ctx, addr)
	cancel()
	if err != nil {
		return
	}
	f := &follower{Watcher: w, sentAt: map[uint64]time.Time{}, lastConfirmed: w.cfg.Now()}
	f.stream, err = conn.Open(messenger.KindWatch, f.nextReport())
	if err != nil {
		return
	}
	defer f.stream.Close()
	w.state.begin()
	for f.handleUpdate() {
	}
}

// nextReport returns the next report to the keeper and records the current time as the time
// when it is sent.
func (f *follower) nextReport() *messenger.Watch {
	now := f.cfg.Now()
	f.seq++
	f.sentAt[f.seq], f.lastReport = now, now
	delete(f.sentAt, f.seq-maxPendingReports)
	return &messenger.Watch{Node: f.cfg.Node, Version: f.state.version, Lean: f.cfg.Lean, Seq: f.seq, Packs: true}
}

// handleUpdate receives and applies one update. It reports false if the watcher should change
// to another keeper: because this one sent nothing for KeeperTimeout, sent no confirmation
// for KeeperTimeout plus reportInterval, or removed most targets at once.
func (f *follower) handleUpdate() bool {
	remaining := f.lastConfirmed.Add(reportInterval + f.cfg.KeeperTimeout).Sub(f.cfg.Now())
	ctx, cancel := context.WithTimeout(f.ctx, min(remaining, f.cfg.KeeperTimeout))
	defer cancel()
	m, err := f.stream.Receive(ctx)
	if err != nil {
		return false
	}
	var u messenger.Update
	if err := m.Decode(&u); err != nil {
		f.cfg.Log.WithError(err).Warn("keeper refused the watch request or sent an invalid update")
		return false
	}
	metrics.GetOrRegisterCounter("watcher.update", f.cfg.Metrics).Inc(1)
	f.cfg.Locator.SetMembers(u.Keepers)
	adopted := f.applyUpdate(&u)
	f.logTransition()
	now := f.cfg.Now()
	if adopted || now.Sub(f.lastReport) >= reportInterval {
		if f.stream.Send(messenger.KindWatch, f.nextReport()) != nil {
			return false
		}
	}
	return !f.state.leaveKeeper
}

// applyUpdate applies an update and reports whether its configuration was adopted. The view
// stays nil until an update confirms the configuration (see recordConfirmation).
func (f *follower) applyUpdate(u *messenger.Update) bool {
	oldVersion := f.state.version
	changed, err := f.state.apply(u, f.cfg.Now())
	if err != nil {
		metrics.GetOrRegisterCounter("watcher.refused", f.cfg.Metrics).Inc(1)
		f.cfg.Log.WithError(err).Error("configuration of an update is invalid, keeping the former one")
		if changed && f.View() != nil { // targets and evacuated zones are valid without it
			f.publish(f.state.view())
		}
		return false
	}
	confirmed := f.recordConfirmation(u)
	if (changed || f.View() == nil) && (confirmed || f.View() != nil) {
		f.publish(f.state.view())
	}
	return f.state.version != oldVersion
}

// recordConfirmation records the confirmation by a quorum that u carries and reports whether
// it confirms the configuration in force. An update with a lower version confirms nothing, as
// its keeper lags or serves another fleet, and one with a higher version confirms that version,
// which was refused. Version zero means that there is no configuration yet.
func (f *follower) recordConfirmation(u *messenger.Update) bool {
	at, ok := f.sentAt[u.Seq]
	if !ok || u.Version < f.state.version {
		return false
	}
	f.lastConfirmed = f.cfg.Now()
	if u.Version == 0 || u.Version > f.state.version {
		return false
	}
	f.setConfirmed(at)
	return true
}
