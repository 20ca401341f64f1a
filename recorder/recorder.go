// Package recorder keeps the state of one replica in the files of one folder.
// Nothing counts as kept before it is synced. A torn end of the log is cut off;
// any other damage is refused.
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

	// DefaultSegment is the size at which a log file is ended when Config.Segment is zero, in bytes.
	DefaultSegment = 8 << 20
	version        = 1
)

// Config says where a Recorder writes.
type Config struct {
	Folder  string
	Node    string
	Disk    uint64 // identity given to an empty folder
	Segment int64  // bytes; DefaultSegment if zero
	Files   Files
}

// identity marks a folder. An emptied folder gets another Disk.
type identity struct {
	Version int    `msgpack:"version"`
	Node    string `msgpack:"node"`
	Disk    uint64 `msgpack:"disk"`
}

// Recorder owns one folder. Its methods are for one goroutine. After a failed
// write or sync every call returns the same error, code DiskFailed.
type Recorder struct {
	cfg      Config
	files    Files
	id       identity
	saved    replicator.Saved
	segments []*segment
	unlock   func() error
	err      error
}

// New opens a folder, and formats it first if it is empty. The returned function
// releases it. Errors: Damaged if the folder is refused, DiskFailed.
func New(cfg Config) (*Recorder, func(), error) {
	if cfg.Segment == 0 {
		cfg.Segment = DefaultSegment
	}
	r := &Recorder{cfg: cfg, files: cfg.Files.filled()}
	if err := r.open(); err != nil {
		r.close()
		return nil, nil, err
	}
	return r, r.close, nil
}

// Disk returns the identity of the folder.
func (r *Recorder) Disk() uint64 { return r.id.Disk }

// Saved returns what the folder held when it was opened.
func (r *Recorder) Saved() replicator.Saved { return r.saved }

// SaveState replaces the state and syncs it.
func (r *Recorder) SaveState(s replicator.HardState) error {
	if r.err != nil {
		return r.err
	}
	return r.replace(stateName, &s)
}

// Append writes entries, and drops what stood at or after the first one's index.
// It does not sync them.
func (r *Recorder) Append(entries []messenger.Entry) error {
	if r.err != nil || len(entries) == 0 {
		return r.err
	}
	if err := r.cut(entries[0].Index); err != nil {
		return err
	}
	for i := range entries {
		if err := r.append(&entries[i]); err != nil {
			return err
		}
	}
	return nil
}

// Sync makes all that was appended last.
func (r *Recorder) Sync() error {
	if r.err != nil {
		return r.err
	}
	return r.active().sync(r)
}

// Draft writes a snapshot that counts only after Adopt. It may run on another
// goroutine meanwhile; a snapshot can be large.
func (r *Recorder) Draft(s replicator.Snapshot) error { return r.draft(snapName(s.Index), &s) }

// Adopt puts a drafted snapshot in force and drops the log files that end at or
// before keep. It drops the draft if a newer snapshot is in force.
func (r *Recorder) Adopt(index, keep uint64) error {
	if r.err != nil {
		return r.err
	}
	if index <= r.saved.Snapshot.Index {
		if err := r.files.Remove(r.path(snapName(index) + tempSuffix)); err != nil {
			return r.failed("remove "+snapName(index), err)
		}
		return nil
	}
	if err := r.adoptSnapshot(index); err != nil {
		return err
	}
	for len(r.segments) > 1 && r.segments[1].first <= keep+1 {
		if err := r.dropSegment(0); err != nil {
			return err
		}
	}
	return nil
}

// Install saves a snapshot that takes the place of the whole log.
func (r *Recorder) Install(s replicator.Snapshot) error {
	if r.err != nil {
		return r.err
	}
	if err := r.Draft(s); err != nil {
		r.err = err
		return err
	}
	if err := r.adoptSnapshot(s.Index); err != nil {
		return err
	}
	return r.restart(s.Index + 1)
}

func (r *Recorder) open() error {
	if err := r.files.Make(r.cfg.Folder); err != nil {
		return r.failed("make folder", err)
	}
	unlock, err := r.files.Lock(r.path(lockName))
	if err != nil {
		return r.failed("lock folder", err)
	}
	r.unlock = unlock
	names, err := r.files.List(r.cfg.Folder)
	if err != nil {
		return r.failed("list folder", err)
	}
	names, err = r.tidy(names)
	if err != nil {
		return err
	}
	if len(names) == 0 {
		r.id = identity{Version: version, Node: r.cfg.Node, Disk: r.cfg.Disk}
		if err := r.replace(identityName, &r.id); err != nil {
			return err
		}
	}
	return r.load(names)
}

// tidy removes what an unfinished write left and returns the other files.
func (r *Recorder) tidy(names []string) ([]string, error) {
	keep := make([]string, 0, len(names))
	for _, n := range names {
		switch {
		case n == lockName:
		case strings.HasSuffix(n, tempSuffix):
			if err := r.files.Remove(r.path(n)); err != nil {
				return nil, r.failed("remove "+n, err)
			}
		default:
			keep = append(keep, n)
		}
	}
	return keep, nil
}

func (r *Recorder) load(names []string) error {
	if len(names) > 0 {
		if err := r.loadOne(identityName, &r.id); err != nil {
			return err
		}
	}
	if r.id.Version != version || r.id.Node != r.cfg.Node {
		return coder.Errorf(coder.Damaged, "folder of node %q, version %d, opened by node %q, version %d",
			r.id.Node, r.id.Version, r.cfg.Node, version)
	}
	if slices.Contains(names, stateName) {
		if err := r.loadOne(stateName, &r.saved.State); err != nil {
			return err
		}
	}
	if err := r.loadSnapshot(names); err != nil {
		return err
	}
	return r.loadLog(names)
}

// loadOne reads a file of one block.
func (r *Recorder) loadOne(name string, v any) error {
	data, err := r.files.Read(r.path(name))
	if err != nil {
		return coder.Errorf(coder.Damaged, "%s: %v", name, err)
	}
	all, end := split(data)
	if len(all) != 1 || end != len(data) {
		return coder.Errorf(coder.Damaged, "%s: bad checksum", name)
	}
	if err := msgpack.Unmarshal(all[0].body, v); err != nil {
		return coder.Errorf(coder.Damaged, "%s: %v", name, err)
	}
	return nil
}

// replace writes a file of one block: a reader finds the old or the new one.
func (r *Recorder) replace(name string, v any) error {
	if err := r.draft(name, v); err != nil {
		r.err = err
		return err
	}
	return r.adopt(name)
}

// draft writes the file that adopt gives its name. It changes no field.
func (r *Recorder) draft(name string, v any) error {
	p, err := encode(0, v)
	if err != nil {
		return err
	}
	f, err := r.files.Open(r.path(name + tempSuffix))
	if err == nil {
		err = errors.Join(write(f, p), f.Close())
	}
	if err != nil {
		return &coder.Error{Code: coder.DiskFailed, Text: "write " + name, Cause: err}
	}
	return nil
}

func (r *Recorder) adopt(name string) error {
	if err := r.files.Rename(r.path(name+tempSuffix), r.path(name)); err != nil {
		return r.failed("rename "+name, err)
	}
	return r.syncFolder()
}

func write(f *File, p []byte) error {
	if err := f.Truncate(0); err != nil {
		return err
	}
	if _, err := f.Write(p); err != nil {
		return err
	}
	return f.Sync()
}

func (r *Recorder) syncFolder() error {
	if err := r.files.Sync(r.cfg.Folder); err != nil {
		return r.failed("sync folder", err)
	}
	return nil
}

func (r *Recorder) path(name string) string { return filepath.Join(r.cfg.Folder, name) }

// failed records that the disk can't be trusted any more.
func (r *Recorder) failed(what string, err error) error {
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
