// Package framer reads and writes length-prefixed frames on a byte stream. A
// frame is a four-byte big-endian length and that many bytes; a cap on the
// length keeps garbage from claiming memory.
package framer

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
)

const (
	// DefaultMax is the largest frame when Max is zero, in bytes.
	DefaultMax = 16 << 20
	headBytes  = 4
	chunkBytes = 64 << 10
)

// Framer reads and writes frames. Reading and writing may go on in two
// goroutines, but each in one only.
type Framer struct {
	Max int // largest frame in bytes; DefaultMax if zero
	r   *bufio.Reader
	w   io.Writer
}

// New returns a Framer on rw.
func New(rw io.ReadWriter) *Framer {
	return &Framer{r: bufio.NewReader(rw), w: rw}
}

func (f *Framer) max() int {
	if f.Max > 0 {
		return f.Max
	}
	return DefaultMax
}

// Read returns the next frame. It returns io.EOF at a clean end and
// io.ErrUnexpectedEOF inside a frame.
func (f *Framer) Read() ([]byte, error) {
	var head [headBytes]byte
	if _, err := io.ReadFull(f.r, head[:]); err != nil {
		return nil, err
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	if n > f.max() {
		return nil, fmt.Errorf("frame of %d bytes exceeds %d", n, f.max())
	}
	return f.body(n)
}

// body grows its buffer as bytes arrive, so a false length costs one chunk.
func (f *Framer) body(n int) ([]byte, error) {
	buf := make([]byte, 0, min(n, chunkBytes))
	for len(buf) < n {
		start := len(buf)
		step := min(n-start, max(chunkBytes, start))
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

// Write sends p as one frame in a single write.
func (f *Framer) Write(p []byte) error {
	if len(p) > f.max() {
		return fmt.Errorf("frame of %d bytes exceeds %d", len(p), f.max())
	}
	buf := make([]byte, headBytes, headBytes+len(p))
	binary.BigEndian.PutUint32(buf, uint32(len(p)))
	_, err := f.w.Write(append(buf, p...))
	return err
}
