// Package cutter cuts the bytes of a stream of server-sent events where an event
// ends, so that a caller never gets half an event of a stream that another target
// may go on with.
package cutter

import (
	"bytes"
	"strings"
)

// MaxEvent is the largest event, in bytes.
const MaxEvent = 1 << 20

// Cutter holds the beginning of an event. The zero value is at the start of a stream.
type Cutter struct {
	Last string // id of the last whole event that had one

	rest []byte
}

// Cut takes bytes as they arrive and returns those that end with a whole event;
// none if no event ended. It reports false once an event exceeds MaxEvent. What it
// returns is valid until the next call.
func (c *Cutter) Cut(p []byte) ([]byte, bool) {
	c.rest = append(c.rest, p...)
	end := eventEnd(c.rest)
	if end == 0 {
		return nil, len(c.rest) <= MaxEvent
	}
	whole := c.rest[:end]
	c.note(whole)
	c.rest = append([]byte(nil), c.rest[end:]...)
	return whole, len(c.rest) <= MaxEvent
}

// Pending reports whether an event has begun and not ended.
func (c *Cutter) Pending() bool { return len(bytes.TrimSpace(c.rest)) > 0 }

// Reset drops the beginning of an event, for a stream that another target goes on with.
func (c *Cutter) Reset() { c.rest = nil }

// eventEnd returns the length of the whole events that p begins with.
func eventEnd(p []byte) int {
	end := 0
	for _, sep := range []string{"\n\n", "\r\n\r\n", "\n\r\n", "\r\r"} {
		if i := bytes.LastIndex(p, []byte(sep)); i >= 0 {
			end = max(end, i+len(sep))
		}
	}
	return end
}

// note remembers the last id among whole events.
func (c *Cutter) note(whole []byte) {
	for line := range strings.Lines(string(whole)) {
		line = strings.TrimRight(line, "\r\n")
		if name, value, _ := strings.Cut(line, ":"); name == "id" {
			c.Last = strings.TrimPrefix(value, " ")
		}
	}
}
