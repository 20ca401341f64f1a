// Package splitter splits a stream of server-sent events at the ends of events, so that a
// caller never receives a partial event of a stream that another target may resume.
package splitter

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// MaxEventSize is the maximum size of an event in bytes. A process holds one incomplete event
// for each of its streams.
const MaxEventSize = 64 << 10

// Errors of a stream that can't be passed on.
var (
	ErrTooLarge = errors.New("event without an end")
	ErrOrder    = errors.New("event whose id does not follow that of the last one")
)

// Splitter buffers the event that is not complete yet. The zero value is ready for the start of
// a stream.
type Splitter struct {
	LastID string // id of the last complete event that had one
	Events int    // complete events so far, without comments

	pending []byte
}

// Cut adds the received bytes to the buffer and returns the complete events, nil if there is
// none. It fails with ErrTooLarge if the incomplete event exceeds MaxEventSize, and with ErrOrder
// if an event has no id, or none above LastID, although an earlier one had an id: the bytes are
// then another answer, or the stream has begun anew. It returns the events before that one. The
// returned bytes are valid until the next call.
func (s *Splitter) Cut(p []byte) ([]byte, error) {
	s.pending = append(s.pending, p...)
	end, err := s.record(s.pending[:eventEnd(s.pending)])
	if end == 0 && err == nil {
		return nil, checkSize(s.pending)
	}
	complete := s.pending[:end]
	s.pending = append([]byte(nil), s.pending[end:]...)
	if err == nil {
		err = checkSize(s.pending)
	}
	return complete, err
}

func checkSize(pending []byte) error {
	if len(pending) > MaxEventSize {
		return ErrTooLarge
	}
	return nil
}

// Pending reports whether the buffer holds the beginning of an event.
func (s *Splitter) Pending() bool { return len(bytes.TrimSpace(s.pending)) > 0 }

// Reset discards the incomplete event, for a stream that another target resumes.
func (s *Splitter) Reset() { s.pending = nil }

// HasEvent reports whether p, the start of a stream or of the rest of this one, holds a complete
// event that may follow the last one.
func (s *Splitter) HasEvent(p []byte) bool {
	next := Splitter{LastID: s.LastID}
	end, _ := next.record(p[:eventEnd(p)])
	return end > 0
}

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

// record counts complete events and records the last id in them. It returns the length of the
// events before the first one that does not follow, and ErrOrder if there is one.
func (s *Splitter) record(complete []byte) (int, error) {
	end, fields, id := 0, 0, "" // end of the last event; fields and id of the current one
	for at := 0; at < len(complete); {
		line, _, _ := bytes.Cut(complete[at:], []byte("\n"))
		at = min(at+len(line)+1, len(complete))
		line = bytes.TrimRight(line, "\r")
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case string(name) == "id":
			id = strings.TrimPrefix(string(value), " ")
			fields++
		case len(name) > 0:
			fields++
		case len(line) > 0: // a comment
		case fields == 0:
			end = at
		case !s.follows(id):
			return end, ErrOrder
		default:
			s.Events++
			if id != "" {
				s.LastID = id
			}
			end, fields, id = at, 0, ""
		}
	}
	return len(complete), nil
}

// follows reports whether an event with an id, empty for none, may be the next one.
func (s *Splitter) follows(id string) bool {
	if s.LastID == "" {
		return true
	}
	last, err := strconv.ParseUint(s.LastID, 10, 64)
	next, nextErr := strconv.ParseUint(id, 10, 64)
	if err != nil || nextErr != nil {
		return id != "" && id != s.LastID
	}
	return next > last
}
