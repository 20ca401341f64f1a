package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what happens to a file and to standard output, with the seconds since its
// start. Its methods may be called concurrently.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &record{start: time.Now(), file: f}, nil
}

func (r *record) line(format string, args ...any) { r.write(true, format, args...) }

// detail is like line for lines that are not needed on standard output.
func (r *record) detail(format string, args ...any) { r.write(false, format, args...) }

func (r *record) write(show bool, format string, args ...any) {
	text := fmt.Sprintf("%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, err := r.file.WriteString(text); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
	if show {
		fmt.Print(text)
	}
}

func (r *record) close() {
	if err := r.file.Close(); err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
	}
}
