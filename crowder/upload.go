package crowder

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"time"
)

const (
	// pieceInterval is the pause between two pieces of a body.
	pieceInterval = time.Millisecond
	// defaultPiece is about how many bytes of chunks are sent in one write.
	defaultPiece = 64 << 10
)

// Upload is an HTTP/1.1 request with a body that may stop before its end.
type Upload struct {
	Head    string // request line and header fields, each ended by CRLF
	Start   string // beginning of the body, which consists of x otherwise; ignored in chunks
	Size    int    // bytes of the whole body
	Missing int    // bytes at the end that are not sent; in chunks, the last chunk is not sent either
	Piece   int    // about how many bytes are sent per write, with a pause after each; all at once if zero
	Chunk   int    // bytes per chunk; the body has a length if zero
}

// Send writes the request.
func (u Upload) Send(w io.Writer) error {
	framing := fmt.Sprintf("Content-Length: %d", u.Size)
	if u.Chunk > 0 {
		framing = "Transfer-Encoding: chunked"
	}
	if _, err := io.WriteString(w, u.Head+framing+"\r\n\r\n"); err != nil {
		return err
	}
	if u.Chunk > 0 {
		return u.sendChunks(w)
	}
	if _, err := io.WriteString(w, u.Start); err != nil {
		return err
	}
	left := u.Size - u.Missing - len(u.Start)
	piece := u.Piece
	if piece <= 0 {
		piece = max(1, left)
	}
	data := strings.Repeat("x", min(piece, left))
	for ; left > 0; left -= len(data) {
		data = data[:min(left, len(data))]
		if _, err := io.WriteString(w, data); err != nil {
			return err
		}
		u.pause()
	}
	return nil
}

// pause waits before the next piece.
func (u Upload) pause() {
	if u.Piece > 0 {
		<-time.After(pieceInterval)
	}
}

// sendChunks writes the body in chunks, many of them per write if they are small.
func (u Upload) sendChunks(w io.Writer) error {
	one := fmt.Sprintf("%x\r\n%s\r\n", u.Chunk, strings.Repeat("x", u.Chunk))
	perWrite := max(1, cmp.Or(u.Piece, defaultPiece)/len(one))
	many := strings.Repeat(one, perWrite)
	for n := (u.Size - u.Missing) / u.Chunk; n > 0; n -= perWrite {
		if _, err := io.WriteString(w, many[:len(one)*min(n, perWrite)]); err != nil {
			return err
		}
		u.pause()
	}
	if u.Missing > 0 {
		return nil
	}
	_, err := io.WriteString(w, "0\r\n\r\n")
	return err
}
