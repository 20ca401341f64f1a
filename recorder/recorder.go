// Package recorder stores the state of one replica in a folder: its hard state, its
// latest snapshot and the log after it. Data is durable only once it is synced. On
// opening, a torn write at the end of the log is truncated; a folder with any other
// damage is refused.
package recorder

import (
	"errors"
	"path/filepath"
	"slices"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/replicator"
)

const (
	identityName = "identity"
	stateName    = "state"
	lockName     = "lock"
	logSuffix    = ".log"
	snapSuffix   = ".snap"
	tempSuffix   = ".temp"

	// DefaultSegmentBytes is the size beyond which a new log file is started if
	// Config.SegmentBytes is zero.
	DefaultSegmentBytes = 8 << 20
	formatVersion       = 1
)

// Config configures a Recorder.
type Config struct {
	Folder       string
	Node         string
	Disk         uint64 // identity for a folder that is empty
	SegmentBytes int64  // size beyond which a new log file is started; DefaultSegmentBytes if zero
	Files        Files
}

// identity is stored in the folder, so that a folder of another node and a folder
// that lost its content are recognized: the latter gets another Disk.
type identity struct {
	Version int    `msgpack:"version"`
	Node    string `msgpack:"node"`
	Disk    uint64 `msgpack:"disk"`
}

// Recorder owns one folder. Apart from StageSnapshot, its methods must not be called
// concurrently. After a failed write or sync, they all return the same error with
// code DiskFailed.
type Recorder struct {
	cfg      Config
	files    Files
	id       identity
	saved    replicator.Saved
	segments []*segment
	unlock   func() error
	err      error
}

// New opens and locks a folder, and initializes it if it is empty. The returned
// function closes it. It fails with Damaged if the folder is damaged or belongs to
// another node, and with DiskFailed.
func New(cfg Config) (*Recorder, func(), error) {
	if cfg.SegmentBytes == 0 {
		cfg.SegmentBytes = DefaultSegmentBytes
	}
	r := &Recorder{cfg: cfg, files: cfg.Files.withDefaults()}
	if err := r.open(); err != nil {
		r.close()
		return nil, nil, err
	}
	return r, r.close, nil
}

// Disk returns the identity of the folder, which changes if its content is lost.
func (r *Recorder) Disk() uint64 { return r.id.Disk }

// Saved returns the state that the folder held when it was opened.
func (r *Recorder) Saved() replicator.Saved { return r.saved }

// SaveState replaces the hard state. It is durable when SaveState returns.
func (r *Recorder) SaveState(s replicator.HardState) error {
	if r.err != nil {
		return r.err
	}
	return r.replaceFile(stateName, &s)
}

// Append writes entries to the log, without syncing them. It first removes existing
// entries from the first one's index on.
func (r *Recorder) Append(entries []messenger.Entry) error {
	if r.err != nil || len(entries) == 0 {
		return r.err
	}
	if err := r.truncateLog(entries[0].Index); err != nil {
		return err
	}
	for i := range entries {
		if err := r.appendEntry(&entries[i]); err != nil {
			return err
		}
	}
	return nil
}

// Sync makes all appended entries durable.
func (r *Recorder) Sync() error {
	if r.err != nil {
		return r.err
	}
	return r.active().sync(r)
}

// StageSnapshot writes a snapshot to a temporary file; CommitSnapshot makes it the
// current one. Since a snapshot can be large, StageSnapshot may run concurrently with
// the other methods.
func (r *Recorder) StageSnapshot(s replicator.Snapshot) error {
	return r.writeTemporary(snapName(s.Index), &s)
}

// CommitSnapshot makes a staged snapshot the current one and removes the log files
// whose last entry is at or before keep. It discards the staged snapshot if the current
// one is at the same index or newer.
func (r *Recorder) CommitSnapshot(index, keep uint64) error {
	if r.err != nil {
		return r.err
	}
	if index <= r.saved.Snapshot.Index {
		if err := r.files.Remove(r.path(snapName(index) + tempSuffix)); err != nil {
			return r.fail("remove "+snapName(index), err)
		}
		return nil
	}
	if err := r.commitSnapshot(index); err != nil {
		return err
	}
	for len(r.segments) > 1 && r.segments[1].first <= keep+1 {
		if err := r.removeSegment(0); err != nil {
			return err
		}
	}
	return nil
}

// InstallSnapshot saves a snapshot that replaces the whole log.
func (r *Recorder) InstallSnapshot(s replicator.Snapshot) error {
	if r.err != nil {
		return r.err
	}
	if err := r.StageSnapshot(s); err != nil {
		r.err = err
		return err
	}
	if err := r.commitSnapshot(s.Index); err != nil {
		return err
	}
	return r.resetLog(s.Index + 1)
}

func (r *Recorder) open() error {
	if err := r.files.MakeFolder(r.cfg.Folder); err != nil {
		return r.fail("make folder", err)
	}
	unlock, err := r.files.Lock(r.path(lockName))
	if err != nil {
		return r.fail("lock folder", err)
	}
	r.unlock = unlock
	names, err := r.files.ListFolder(r.cfg.Folder)
	if err != nil {
		return r.fail("list folder", err)
	}
	names, err = r.removeTemporaries(names)
	if err != nil {
		return err
	}
	if len(names) == 0 {
		r.id = identity{Version: formatVersion, Node: r.cfg.Node, Disk: r.cfg.Disk}
		if err := r.replaceFile(identityName, &r.id); err != nil {
			return err
		}
	}
	return r.load(names)
}

// removeTemporaries removes the temporary files of unfinished writes. It returns the
// names of the other files, except the lock.
func (r *Recorder) removeTemporaries(names []string) ([]string, error) {
	keep := make([]string, 0, len(names))
	for _, n := range names {
		switch {
		case n == lockName:
		case strings.HasSuffix(n, tempSuffix):
			if err := r.files.Remove(r.path(n)); err != nil {
				return nil, r.fail("remove "+n, err)
			}
		default:
			keep = append(keep, n)
		}
	}
	return keep, nil
}

func (r *Recorder) load(names []string) error {
	if len(names) > 0 {
		if err := r.loadFile(identityName, &r.id); err != nil {
			return err
		}
	}
	if r.id.Version != formatVersion || r.id.Node != r.cfg.Node {
		return coder.Errorf(coder.Damaged, "folder of node %q, version %d, opened by node %q, version %d",
			r.id.Node, r.id.Version, r.cfg.Node, formatVersion)
	}
	if slices.Contains(names, stateName) {
		if err := r.loadFile(stateName, &r.saved.State); err != nil {
			return err
		}
	}
	if err := r.loadSnapshot(names); err != nil {
		return err
	}
	return r.loadLog(names)
}

// loadFile decodes a file that consists of one block into v.
func (r *Recorder) loadFile(name string, v any) error {
	data, err := r.files.Read(r.path(name))
	if err != nil {
		return coder.Errorf(coder.Damaged, "%s: %v", name, err)
	}
	all, end := decodeBlocks(data)
	if len(all) != 1 || end != len(data) {
		return coder.Errorf(coder.Damaged, "%s: bad checksum", name)
	}
	if err := msgpack.Unmarshal(all[0].body, v); err != nil {
		return coder.Errorf(coder.Damaged, "%s: %v", name, err)
	}
	return nil
}

// replaceFile writes a file of one block atomically: after a crash the file has
// either its old or its new content.
func (r *Recorder) replaceFile(name string, v any) error {
	if err := r.writeTemporary(name, v); err != nil {
		r.err = err
		return err
	}
	return r.renameTemporary(name)
}

// writeTemporary writes and syncs the temporary file that renameTemporary then gives
// its final name. It changes no field of r, so it may run concurrently.
func (r *Recorder) writeTemporary(name string, v any) error {
	p, err := encodeBlock(0, v)
	if err != nil {
		return err
	}
	f, err := r.files.Open(r.path(name + tempSuffix))
	if err == nil {
		err = errors.Join(writeAndSync(f, p), f.Close())
	}
	if err != nil {
		return &coder.Error{Code: coder.DiskFailed, Text: "write " + name, Cause: err}
	}
	return nil
}

func (r *Recorder) renameTemporary(name string) error {
	if err := r.files.Rename(r.path(name+tempSuffix), r.path(name)); err != nil {
		return r.fail("rename "+name, err)
	}
	return r.syncFolder()
}

func writeAndSync(f *File, p []byte) error {
	if err := f.Truncate(0); err != nil {
		return err
	}
	if _, err := f.Write(p); err != nil {
		return err
	}
	return f.Sync()
}

func (r *Recorder) syncFolder() error {
	if err := r.files.SyncFolder(r.cfg.Folder); err != nil {
		return r.fail("sync folder", err)
	}
	return nil
}

func (r *Recorder) path(name string) string { return filepath.Join(r.cfg.Folder, name) }

// fail records an error that every later call returns: after a failed write or sync
// the content of the disk is unknown.
func (r *Recorder) fail(what string, err error) error {
	r.err = &coder.Error{Code: coder.DiskFailed, Text: what, Cause: err}
	return r.err
}

func (r *Recorder) close() {
	if n := len(r.segments); n > 0 && r.segments[n-1].file != nil {
		_ = r.segments[n-1].file.Close()
	}
	if r.unlock != nil {
		_ = r.unlock()
	}
}
