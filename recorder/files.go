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

// File is an open file. Writes go to its end.
type File struct {
	Write    func([]byte) (int, error)
	Truncate func(size int64) error
	Sync     func() error
	Close    func() error
}

// Files is the file system a Recorder writes to. Nil fields take the operating
// system's, so the zero value works.
type Files struct {
	Make   func(folder string) error               // with its parents
	List   func(folder string) ([]string, error)   // base names, sorted
	Read   func(path string) ([]byte, error)       // whole file
	Open   func(path string) (*File, error)        // creates a missing file
	Rename func(from, to string) error             // replaces to
	Remove func(path string) error                 //
	Sync   func(folder string) error               // makes creations, renames and removals last
	Lock   func(path string) (func() error, error) // excludes other processes
}

func (f Files) filled() Files {
	if f.Make == nil {
		f.Make = makeFolder
	}
	if f.List == nil {
		f.List = listFolder
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
	if f.Sync == nil {
		f.Sync = syncFolder
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
