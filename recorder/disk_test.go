package recorder_test

import (
	"errors"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"bramleyshunt/recorder"
)

var errCrashed = errors.New("disk crashed")

// inode holds the content of a file, as written and as of its last sync.
type inode struct {
	data, synced []byte
}

// disk is a file system in memory that loses unsynced changes in a crash.
type disk struct {
	mu        sync.Mutex
	names     map[string]*inode // directory as written
	durable   map[string]*inode // directory as of its last sync
	changes   int               // number of changes attempted
	crashAt   int               // number of the change from which all changes fail; zero for none
	tornBytes int               // unsynced bytes at the end of a file that survive a crash
	failSync  bool
}

func newDisk() *disk {
	return &disk{names: map[string]*inode{}, durable: map[string]*inode{}}
}

// change counts a change and makes it, or fails if the disk has crashed.
func (d *disk) change(f func()) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes++
	if d.crashAt > 0 && d.changes >= d.crashAt {
		return errCrashed
	}
	f()
	return nil
}

// crash discards unsynced changes, except tornBytes at the end of each file, and
// makes the disk usable again.
func (d *disk) crash() {
	d.crashAt, d.changes = 0, 0
	d.names = maps.Clone(d.durable)
	for _, f := range d.names {
		keep := slices.Clone(f.synced)
		if n := len(keep); len(f.data) > n && slices.Equal(f.data[:n], keep) {
			keep = append(keep, f.data[n:min(len(f.data), n+d.tornBytes)]...)
		}
		f.data, f.synced = keep, slices.Clone(keep)
	}
}

func (d *disk) files() recorder.Files {
	return recorder.Files{
		MakeFolder: func(string) error { return nil },
		ListFolder: func(string) ([]string, error) { return slices.Sorted(maps.Keys(d.names)), nil },
		Read: func(path string) ([]byte, error) {
			f := d.names[filepath.Base(path)]
			if f == nil {
				return nil, os.ErrNotExist
			}
			return slices.Clone(f.data), nil
		},
		Open: d.open,
		Rename: func(from, to string) error {
			return d.change(func() {
				d.names[filepath.Base(to)] = d.names[filepath.Base(from)]
				delete(d.names, filepath.Base(from))
			})
		},
		Remove: func(path string) error {
			return d.change(func() { delete(d.names, filepath.Base(path)) })
		},
		SyncFolder: func(string) error {
			return d.change(func() { d.durable = maps.Clone(d.names) })
		},
		Lock: func(string) (func() error, error) { return func() error { return nil }, nil },
	}
}

func (d *disk) open(path string) (*recorder.File, error) {
	name := filepath.Base(path)
	var f *inode
	err := d.change(func() {
		if d.names[name] == nil {
			d.names[name] = &inode{}
		}
		f = d.names[name]
	})
	if err != nil {
		return nil, err
	}
	return &recorder.File{
		Write: func(p []byte) (int, error) {
			return len(p), d.change(func() { f.data = append(f.data, p...) })
		},
		Truncate: func(size int64) error {
			return d.change(func() { f.data = f.data[:size:size] })
		},
		Sync: func() error {
			if d.failSync {
				return errors.New("input/output error")
			}
			return d.change(func() { f.synced = slices.Clone(f.data) })
		},
		Close: func() error { return nil },
	}, nil
}
