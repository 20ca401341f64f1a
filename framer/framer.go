// Package framer reads and writes length-prefixed frames on a byte stream. A frame
// is a four-byte big-endian length followed by that many bytes. The length is
// limited, so that malformed input cannot cause large allocations.
package framer

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
)

const (
	// DefaultMaxFrameBytes applies when Framer.MaxFrameBytes is zero.
	DefaultMaxFrameBytes = 16 << 20
	// LongBytes is the size in bytes above which frames are long.
	LongBytes   = 64 << 10
	headerBytes = 4
)

// Framer reads and writes frames. One goroutine may read while another writes, but
// neither Read nor Write may be called concurrently with itself.
type Framer struct {
	MaxFrameBytes int // largest frame in bytes; DefaultMaxFrameBytes if zero
	// ReadLong reads the n bytes of a frame above LongBytes. If it is nil, they are read into
	// memory that is not accounted for.
	ReadLong func(r io.Reader, n int) ([]byte, error)

	r *bufio.Reader
	w io.Writer
}

// New returns a Framer on rw.
func New(rw io.ReadWriter) *Framer {
	return &Framer{r: bufio.NewReader(rw), w: rw}
}

func (f *Framer) maxFrameBytes() int {
	if f.MaxFrameBytes > 0 {
		return f.MaxFrameBytes
	}
	return DefaultMaxFrameBytes
}

// Read returns the next frame. It returns io.EOF if the stream ends between frames
// and io.ErrUnexpectedEOF if it ends within one.
func (f *Framer) Read() ([]byte, error) {
	var head [headerBytes]byte
	if _, err := io.ReadFull(f.r, head[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	if n > f.maxFrameBytes() {
		return nil, fmt.Errorf("frame of %d bytes exceeds %d", n, f.maxFrameBytes())
	}
	if n > LongBytes && f.ReadLong != nil {
		return f.ReadLong(f.r, n)
	}
	return f.readBody(n)
}

// readBody grows its buffer as bytes arrive, so that a false length alone
// allocates only one chunk.
func (f *Framer) readBody(n int) ([]byte, error) {
	buf := make([]byte, 0, min(n, LongBytes))
	for len(buf) < n {
		start := len(buf)
		step := min(n-start, max(LongBytes, start))
		buf = append(buf, make([]byte, step)...)
		if _, err := io.ReadFull(f.r, buf[start:]); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
	return buf, nil
}

// Write writes p as one frame in a single call of the underlying writer.
func (f *Framer) Write(p []byte) error {
	if len(p) > f.maxFrameBytes() {
		return fmt.Errorf("frame of %d bytes exceeds %d", len(p), f.maxFrameBytes())
	}
	buf := make([]byte, headerBytes, headerBytes+len(p))
	binary.BigEndian.PutUint32(buf, uint32(len(p)))
	_, err := f.w.Write(append(buf, p...))
	return err
}
