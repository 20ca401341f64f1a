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

var errDead = errors.New("killed")

// inode is the content of a file: what was written and what was synced.
type inode struct {
	data, synced []byte
}

// disk is a file system in memory that loses what was not synced.
type disk struct {
	mu       sync.Mutex
	names    map[string]*inode // as written
	lasting  map[string]*inode // as of the last sync of the folder
	ops      int               // changes made
	killAt   int               // the change at which all fails; zero for never
	tear     int               // bytes of an unsynced end that survive a kill
	failSync bool
}

func newDisk() *disk {
	return &disk{names: map[string]*inode{}, lasting: map[string]*inode{}}
}

// change counts a change and fails it once the disk is dead.
func (d *disk) change(f func()) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ops++
	if d.killAt > 0 && d.ops >= d.killAt {
		return errDead
	}
	f()
	return nil
}

// kill drops what was not synced but for a torn end.
func (d *disk) kill() {
	d.killAt, d.ops = 0, 0
	d.names = maps.Clone(d.lasting)
	for _, f := range d.names {
		keep := slices.Clone(f.synced)
		if n := len(keep); len(f.data) > n && slices.Equal(f.data[:n], keep) {
			keep = append(keep, f.data[n:min(len(f.data), n+d.tear)]...)
		}
		f.data, f.synced = keep, slices.Clone(keep)
	}
}

func (d *disk) files() recorder.Files {
	return recorder.Files{
		Make: func(string) error { return nil },
		List: func(string) ([]string, error) { return slices.Sorted(maps.Keys(d.names)), nil },
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
		Sync: func(string) error {
			return d.change(func() { d.lasting = maps.Clone(d.names) })
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
