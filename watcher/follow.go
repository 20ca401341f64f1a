package watcher

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"

	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
)

// maxSent bounds the reports whose time of sending is remembered.
const maxSent = 64

// follower is one stream from one keeper.
type follower struct {
	*Watcher
	stream *muxer.Stream
	seq    uint64
	sent   map[uint64]time.Time // by seq
	report time.Time            // of the last report
	proven time.Time            // of the last proof on this stream, or its start
}

// follow takes updates from one keeper until it falls silent, reaches no quorum
// for too long, or the Watcher ends.
func (w *Watcher) follow(addr string) {
	ctx, cancel := context.WithTimeout(w.ctx, w.cfg.Silence)
	conn, err := w.cfg.Pool.Get(ctx, addr)
	cancel()
	if err != nil {
		return
	}
	f := &follower{Watcher: w, sent: map[uint64]time.Time{}, proven: w.cfg.Now()}
	f.stream, err = conn.Open(messenger.KindWatch, f.next())
	if err != nil {
		return
	}
	defer f.stream.Close()
	w.state.begin()
	for f.once() {
	}
}

// next returns the next report and notes when it was sent.
func (f *follower) next() *messenger.Watch {
	now := f.cfg.Now()
	f.seq++
	f.sent[f.seq], f.report = now, now
	delete(f.sent, f.seq-maxSent)
	return &messenger.Watch{Node: f.cfg.Node, Version: f.state.version, Lean: f.cfg.Lean, Seq: f.seq}
}

// once takes one update. It reports false when the keeper should be left: it
// says nothing for Silence, proves nothing for that and the time of a report, or
// has lost most targets at once.
func (f *follower) once() bool {
	left := f.proven.Add(reportEvery + f.cfg.Silence).Sub(f.cfg.Now())
	ctx, cancel := context.WithTimeout(f.ctx, min(left, f.cfg.Silence))
	defer cancel()
	m, err := f.stream.Receive(ctx)
	if err != nil {
		return false
	}
	var u messenger.Update
	if err := m.Decode(&u); err != nil {
		f.cfg.Log.WithError(err).Warn("keeper refused to be watched")
		return false
	}
	metrics.GetOrRegisterCounter("watcher.update", f.cfg.Metrics).Inc(1)
	f.cfg.Locator.SetMembers(u.Keepers)
	adopted := f.take(&u)
	f.note()
	now := f.cfg.Now()
	if adopted || now.Sub(f.report) >= reportEvery {
		if f.stream.Send(messenger.KindWatch, f.next()) != nil {
			return false
		}
	}
	return !f.state.left
}

// take applies an update and reports whether its configuration was adopted. The
// view stays nil until an update is proven to be fresh.
func (f *follower) take(u *messenger.Update) bool {
	before := f.state.version
	changed, err := f.state.apply(u, f.cfg.Now())
	if err != nil {
		metrics.GetOrRegisterCounter("watcher.refused", f.cfg.Metrics).Inc(1)
		f.cfg.Log.WithError(err).Error("configuration can't be read")
		return false
	}
	fresh := f.fresh(u)
	if (changed || f.View() == nil) && (fresh || f.View() != nil) {
		f.publish(f.state.view())
	}
	return f.state.version != before
}

// fresh notes the proof that u carries. An update of a lower version proves
// nothing: its keeper lags or serves another fleet. Version zero is no
// configuration yet.
func (f *follower) fresh(u *messenger.Update) bool {
	sent, ok := f.sent[u.Seq]
	if !ok || u.Version < f.state.version {
		return false
	}
	f.proven = f.cfg.Now()
	if u.Version == 0 {
		return false
	}
	f.prove(sent)
	return true
}
