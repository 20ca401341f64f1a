// Package logger passes log lines on to a writer that may block, without ever
// blocking those who log.
package logger

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultLines is how many lines wait for the writer before more are dropped.
	DefaultLines = 4096

	flushLimit = 500 * time.Millisecond // for what waits when the Logger is closed
)

// Logger is an io.Writer of whole lines.
type Logger struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// New returns a Logger before w and the function that ends it, which waits a
// moment for the lines that were taken.
func New(w io.Writer, lines int) (*Logger, func()) {
	if lines <= 0 {
		lines = DefaultLines
	}
	l := &Logger{lines: make(chan []byte, lines), done: make(chan struct{})}
	go l.run(w)
	return l, sync.OnceFunc(func() {
		l.lines <- nil
		select {
		case <-l.done:
		case <-time.After(flushLimit):
		}
	})
}

// Write takes one line. It never blocks and never fails; a line that finds no
// room is counted and dropped.
func (l *Logger) Write(p []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), p...):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns how many lines found no room.
func (l *Logger) Dropped() int64 { return l.dropped.Load() }

func (l *Logger) run(w io.Writer) {
	defer close(l.done)
	told := int64(0)
	for p := range l.lines {
		if p == nil {
			return
		}
		if n := l.dropped.Load(); n > told {
			_, _ = fmt.Fprintf(w, "{\"level\":\"warning\",\"msg\":\"log lines were dropped\",\"dropped\":%d}\n", n-told)
			told = n
		}
		_, _ = w.Write(p) // there is nowhere left to tell of a failure
	}
}
