// Package splitter splits a stream of server-sent events at the ends of events, so that a
// caller never receives a partial event of a stream that another target may resume.
package splitter

import (
	"bytes"
	"strings"
)

// MaxEventSize is the maximum size of an event in bytes. A process holds one incomplete event
// for each of its streams.
const MaxEventSize = 64 << 10

// Splitter buffers the event that is not complete yet. The zero value is ready for the start of
// a stream.
type Splitter struct {
	LastID string // id of the last complete event that had one
	Events int    // complete events so far, without comments

	pending []byte
}

// Cut adds the received bytes to the buffer and returns the complete events, nil if there is
// none. It reports false if the incomplete event exceeds MaxEventSize. The returned bytes are
// valid until the next call.
func (s *Splitter) Cut(p []byte) ([]byte, bool) {
	s.pending = append(s.pending, p...)
	end := eventEnd(s.pending)
	if end == 0 {
		return nil, len(s.pending) <= MaxEventSize
	}
	complete := s.pending[:end]
	s.record(complete)
	s.pending = append([]byte(nil), s.pending[end:]...)
	return complete, len(s.pending) <= MaxEventSize
}

// Pending reports whether the buffer holds the beginning of an event.
func (s *Splitter) Pending() bool { return len(bytes.TrimSpace(s.pending)) > 0 }

// Reset discards the incomplete event, for a stream that another target resumes.
func (s *Splitter) Reset() { s.pending = nil }

// HasEvent reports whether p, the start of a stream or of the rest of one, holds a complete event.
func HasEvent(p []byte) bool { return eventEnd(p) > 0 }

// eventEnd returns the length of the complete events at the start of p.
func eventEnd(p []byte) int {
	end := 0
	for _, sep := range []string{"\n\n", "\r\n\r\n", "\n\r\n", "\r\r"} {
		if i := bytes.LastIndex(p, []byte(sep)); i >= 0 {
			end = max(end, i+len(sep))
		}
	}
	return end
}

// record counts complete events and records the last id in them.
func (s *Splitter) record(complete []byte) {
	fields := 0 // of the current event
	for line := range strings.Lines(string(complete)) {
		line = strings.TrimRight(line, "\r\n")
		name, value, _ := strings.Cut(line, ":")
		switch {
		case name != "":
			fields++
		case line == "" && fields > 0:
			s.Events++
			fields = 0
		}
		if name == "id" {
			s.LastID = strings.TrimPrefix(value, " ")
		}
	}
}
