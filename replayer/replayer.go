// Package replayer buffers the chunks of one answer, so that a reader whose
// connection was lost can resume after the last sequence number that it received.
package replayer

import (
	"slices"

	"bramleyshunt/messenger"
)

const (
	// DefaultMaxChunks is the limit of buffered chunks if Replayer.MaxChunks is zero.
	DefaultMaxChunks = 8192
	// DefaultMaxBytes is the limit of buffered data if Replayer.MaxBytes is zero.
	DefaultMaxBytes = 2 << 20
)

// Replayer buffers the newest chunks of one answer. The zero value is an empty buffer
// with the default limits. It is not safe for concurrent use.
type Replayer struct {
	MaxChunks int // DefaultMaxChunks if zero
	MaxBytes  int // DefaultMaxBytes if zero; an empty buffer accepts a chunk of any size

	kept  []messenger.Chunk
	last  uint64 // sequence number of the newest chunk
	bytes int
}

// Full reports whether a chunk must be dropped before the next one is appended.
func (r *Replayer) Full() bool {
	return len(r.kept) > 0 && (len(r.kept) >= orDefault(r.MaxChunks, DefaultMaxChunks) || r.bytes >= orDefault(r.MaxBytes, DefaultMaxBytes))
}

// Append assigns the next sequence number to c and buffers it. It does not enforce the
// limits; see Full.
func (r *Replayer) Append(c messenger.Chunk) {
	r.last++
	c.Seq = r.last
	r.kept = append(r.kept, c)
	r.bytes += len(c.Data)
}

// Last returns the sequence number of the newest chunk, or zero if there is none.
func (r *Replayer) Last() uint64 { return r.last }

// Size returns the number of buffered bytes.
func (r *Replayer) Size() int { return r.bytes }

// Trim drops the oldest chunks up to seq while the buffer is full. It reports whether
// there is space for another chunk.
func (r *Replayer) Trim(seq uint64) bool {
	for r.Full() && r.first() <= seq {
		r.bytes -= len(r.kept[0].Data)
		r.kept[0] = messenger.Chunk{}
		r.kept = r.kept[1:]
	}
	return !r.Full()
}

// After returns a copy of at most n chunks that follow seq. It returns false if the
// chunk after seq was dropped or seq is above that of the newest chunk.
func (r *Replayer) After(seq uint64, n int) ([]messenger.Chunk, bool) {
	if seq > r.last || seq+1 < r.first() {
		return nil, false
	}
	from := int(seq + 1 - r.first())
	return slices.Clone(r.kept[from:min(from+n, len(r.kept))]), true
}

// first returns the sequence number of the oldest buffered chunk, or that of the next
// chunk if the buffer is empty.
func (r *Replayer) first() uint64 { return r.last + 1 - uint64(len(r.kept)) }

func orDefault(n, d int) int {
	if n > 0 {
		return n
	}
	return d
}
