package recorder

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// File is an open file. Write appends to its end.
type File struct {
	Write    func([]byte) (int, error)
	Truncate func(size int64) error
	Sync     func() error
	Close    func() error
}

// Files is the file system that a Recorder uses. Nil fields default to the functions
// of the operating system, so the zero value is ready to use.
type Files struct {
	MakeFolder func(folder string) error             // creates missing parents, too
	ListFolder func(folder string) ([]string, error) // base names, sorted
	Read       func(path string) ([]byte, error)     // returns the whole file
	Open       func(path string) (*File, error)      // creates a missing file
	Rename     func(from, to string) error           // replaces an existing file
	Remove     func(path string) error
	SyncFolder func(folder string) error               // makes creations, renames and removals durable
	Lock       func(path string) (func() error, error) // excludes other processes until the returned function is called
}

func (f Files) withDefaults() Files {
	if f.MakeFolder == nil {
		f.MakeFolder = makeFolder
	}
	if f.ListFolder == nil {
		f.ListFolder = listFolder
	}
	if f.Read == nil {
		f.Read = os.ReadFile
	}
	if f.Open == nil {
		f.Open = openFile
	}
	if f.Rename == nil {
		f.Rename = os.Rename
	}
	if f.Remove == nil {
		f.Remove = os.Remove
	}
	if f.SyncFolder == nil {
		f.SyncFolder = syncFolder
	}
	if f.Lock == nil {
		f.Lock = lockFile
	}
	return f
}

func makeFolder(folder string) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(folder))
}

func listFolder(folder string) ([]string, error) {
	all, err := os.ReadDir(folder)
	names := make([]string, 0, len(all))
	for _, e := range all {
		names = append(names, e.Name())
	}
	return names, err
}

func openFile(path string) (*File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, err
	}
	return &File{Write: f.Write, Truncate: f.Truncate, Sync: f.Sync, Close: f.Close}, nil
}

func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

func lockFile(path string) (func() error, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("folder is in use: %w", err), f.Close())
	}
	return f.Close, nil
}
