// Package logger passes log lines on to a writer that may block, without ever
// blocking those who log.
package logger

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultLines is how many lines wait for the writer before more are dropped.
	DefaultLines = 4096

	// MostRequests is how many lines about single requests pass in a second, and how many
	// at once after a quiet one. At some 400 bytes a line that is 0.4 MB/s. Lines without
	// a request tell of changes, which are few; they always pass.
	MostRequests = 1000

	flushLimit = 500 * time.Millisecond // for what waits when the Logger is closed
)

// request marks a line about a single request.
var request = []byte(`"request":`)

// Logger is an io.Writer of whole lines.
type Logger struct {
	lines   chan []byte
	done    chan struct{} // closed when the last line was written
	quit    chan struct{} // closed when nothing more is to be written
	dropped atomic.Int64

	mu     sync.Mutex
	tokens float64   // lines about requests that may pass
	at     time.Time // of tokens
}

// New returns a Logger before w and the function that ends it, which waits a
// moment for the lines that were taken.
func New(w io.Writer, lines int) (*Logger, func()) {
	if lines <= 0 {
		lines = DefaultLines
	}
	l := &Logger{lines: make(chan []byte, lines), done: make(chan struct{}), quit: make(chan struct{})}
	go l.run(w)
	return l, sync.OnceFunc(func() {
		defer close(l.quit)
		limit := time.After(flushLimit)
		select {
		case l.lines <- nil:
		case <-limit: // the writer is blocked, and lines wait
			return
		}
		select {
		case <-l.done:
		case <-limit:
		}
	})
}

// Write takes one line. It never blocks and never fails; a line that finds no
// room, or is one too many about requests, is counted and dropped.
func (l *Logger) Write(p []byte) (int, error) {
	if bytes.Contains(p, request) && !l.take(time.Now()) {
		l.dropped.Add(1)
		return len(p), nil
	}
	select {
	case l.lines <- append([]byte(nil), p...):
	default:
		l.dropped.Add(1)
	}
	return len(p), nil
}

// take takes one of the lines that may pass in a second.
func (l *Logger) take(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at.IsZero() {
		l.tokens = MostRequests
	} else {
		l.tokens = min(MostRequests, l.tokens+now.Sub(l.at).Seconds()*MostRequests)
	}
	l.at = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// Dropped returns how many lines found no room.
func (l *Logger) Dropped() int64 { return l.dropped.Load() }

func (l *Logger) run(w io.Writer) {
	defer close(l.done)
	told := int64(0)
	for {
		var p []byte
		select {
		case p = <-l.lines:
		case <-l.quit:
		}
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
