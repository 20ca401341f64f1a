// Package replayer keeps the pieces of one answer, so that a reader whose
// connection was lost can go on from the sequence number it has seen.
package replayer

import (
	"slices"

	"bramleyshunt/messenger"
)

const (
	// DefaultChunks bounds the kept pieces when Replayer.Chunks is zero.
	DefaultChunks = 8192
	// DefaultBytes bounds the kept data when Replayer.Bytes is zero.
	DefaultBytes = 2 << 20
)

// Replayer keeps the newest pieces of one answer. The zero value is empty. Not
// safe for concurrent use.
type Replayer struct {
	Chunks int // at most
	Bytes  int // at most; one piece is always taken

	kept  []messenger.Chunk
	last  uint64 // sequence number of the newest piece
	bytes int
}

// Full reports whether a piece must be dropped before another is appended.
func (r *Replayer) Full() bool {
	return len(r.kept) > 0 && (len(r.kept) >= orDefault(r.Chunks, DefaultChunks) || r.bytes >= orDefault(r.Bytes, DefaultBytes))
}

// Append numbers c as the next piece and keeps it.
func (r *Replayer) Append(c messenger.Chunk) {
	r.last++
	c.Seq = r.last
	r.kept = append(r.kept, c)
	r.bytes += len(c.Data)
}

// Last returns the sequence number of the newest piece; zero if there is none.
func (r *Replayer) Last() uint64 { return r.last }

// Size returns the bytes kept.
func (r *Replayer) Size() int { return r.bytes }

// Trim drops the oldest pieces while the Replayer is full, but none that
// follows seq. It reports whether there is room now.
func (r *Replayer) Trim(seq uint64) bool {
	for r.Full() && r.first() <= seq {
		r.bytes -= len(r.kept[0].Data)
		r.kept[0] = messenger.Chunk{}
		r.kept = r.kept[1:]
	}
	return !r.Full()
}

// After returns a copy of at most n pieces that follow seq, and false if one of
// them is no longer kept or seq lies ahead of the answer.
func (r *Replayer) After(seq uint64, n int) ([]messenger.Chunk, bool) {
	if seq > r.last || seq+1 < r.first() {
		return nil, false
	}
	from := int(seq + 1 - r.first())
	return slices.Clone(r.kept[from:min(from+n, len(r.kept))]), true
}

// first returns the sequence number of the oldest kept piece, or that of the
// next one if none is kept.
func (r *Replayer) first() uint64 { return r.last + 1 - uint64(len(r.kept)) }

func orDefault(n, d int) int {
	if n > 0 {
		return n
	}
	return d
}
