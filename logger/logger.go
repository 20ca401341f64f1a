// Package logger writes log lines to a writer that may block, without blocking the
// goroutines that log.
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
	// DefaultLines is the default size of the buffer in lines. Lines are dropped while
	// it is full.
	DefaultLines = 4096

	// MaxRequestLines is the maximum rate per second of lines about single requests, and
	// the maximum burst. At about 400 bytes a line it amounts to 0.4 MB/s. Lines without
	// a request report changes of state, which are few; their rate is not limited.
	MaxRequestLines = 1000

	flushTimeout = 500 * time.Millisecond // for buffered lines when the Logger is closed
)

// requestField is the log field that only lines about single requests have.
var requestField = []byte(`"request":`)

// Logger is a buffered io.Writer. Each call of Write must pass one whole line.
type Logger struct {
	lines   chan []byte
	done    chan struct{} // closed when run has returned
	quit    chan struct{} // closed to stop run
	dropped atomic.Int64

	mu      sync.Mutex
	tokens  float64   // lines about requests that may be written, by token bucket
	updated time.Time // time of the last update of tokens
}

// New returns a Logger that writes to w and the function that closes it, which waits up
// to flushTimeout for buffered lines. The buffer holds the given number of lines, or
// DefaultLines if it is not positive.
func New(w io.Writer, lines int) (*Logger, func()) {
	if lines <= 0 {
		lines = DefaultLines
	}
	l := &Logger{lines: make(chan []byte, lines), done: make(chan struct{}), quit: make(chan struct{})}
	go l.run(w)
	return l, sync.OnceFunc(func() {
		defer close(l.quit)
		limit := time.After(flushTimeout)
		select {
		case l.lines <- nil:
		case <-limit: // the writer is blocked and the buffer is full
			return
		}
		select {
		case <-l.done:
		case <-limit:
		}
	})
}

// Write buffers one line. It never blocks and never fails: a line is counted and
// dropped if the buffer is full or if it exceeds the rate of lines about requests.
func (l *Logger) Write(p []byte) (int, error) {
	if bytes.Contains(p, requestField) && !l.allow(time.Now()) {
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

// allow takes one token from the bucket of lines about requests and reports whether
// there was one.
func (l *Logger) allow(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.updated.IsZero() {
		l.tokens = MaxRequestLines
	} else {
		l.tokens = min(MaxRequestLines, l.tokens+now.Sub(l.updated).Seconds()*MaxRequestLines)
	}
	l.updated = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// Dropped returns the number of lines dropped, because of a full buffer or of the rate.
func (l *Logger) Dropped() int64 { return l.dropped.Load() }

func (l *Logger) run(w io.Writer) {
	defer close(l.done)
	reported := int64(0)
	for {
		var p []byte
		select {
		case p = <-l.lines:
		case <-l.quit:
		}
		if p == nil {
			return
		}
		if n := l.dropped.Load(); n > reported {
			_, _ = fmt.Fprintf(w, "{\"level\":\"warning\",\"msg\":\"log lines were dropped\",\"dropped\":%d}\n", n-reported)
			reported = n
		}
		_, _ = w.Write(p) // there is no other place to report a failure
	}
}
