package entry

import (
	"bytes"
	"fmt"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/chainer"
	"bramleyshunt/claimer"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// maxStatus is the largest status that HTTP can express.
const maxStatus = 999

// plainAnswer writes the answer of a plain service to the caller unchanged.
type plainAnswer struct {
	w        *responseWriter
	stored   storedAnswer
	tooLarge bool // the answer exceeds the size limit of stored answers
}

// storedAnswer is the msgpack form in which a plain answer is stored with its claim.
type storedAnswer struct {
	Status  int                `msgpack:"status"`
	Headers []messenger.Header `msgpack:"headers"`
	Data    []byte             `msgpack:"data"`
}

func newPlainAnswer(w *responseWriter) *plainAnswer { return &plainAnswer{w: w} }

func (p *plainAnswer) callbacks() chainer.Answer {
	return chainer.Answer{SetWriteDeadline: p.w.setWriteDeadline, Begin: p.begin, Chunk: p.chunk, End: p.end, Encode: p.encodeStored, Replay: p.replay}
}

func (p *plainAnswer) begin() bool {
	p.stored = storedAnswer{}
	return !p.w.started
}

func (p *plainAnswer) chunk(c messenger.Chunk) error {
	if !p.w.started {
		p.stored.Status, p.stored.Headers = c.Status, c.Headers
		if err := p.writeHeader(); err != nil {
			return err
		}
	}
	if len(p.stored.Data)+len(c.Data) > claimer.MaxAnswerBytes/2 {
		p.tooLarge = true
	} else {
		p.stored.Data = append(p.stored.Data, c.Data...)
	}
	if _, err := p.w.Write(c.Data); err != nil {
		return err
	}
	return p.w.flush()
}

// writeHeader writes the status and the header fields. It fails unless the status is final: an
// answer without a head must not look like a success.
func (p *plainAnswer) writeHeader() error {
	if p.stored.Status < http.StatusOK || p.stored.Status > maxStatus {
		return &coder.Error{Code: coder.EngineFailed, Run: coder.Unknown, Text: fmt.Sprintf("status %d is not final", p.stored.Status)}
	}
	h := p.w.Header()
	for _, f := range p.stored.Headers {
		if !hopByHop[http.CanonicalHeaderKey(f.Name)] {
			h.Add(f.Name, f.Value)
		}
	}
	h.Set(headerCode, "0")
	h.Set(headerRun, coder.Ran.Header())
	p.w.WriteHeader(p.stored.Status)
	return nil
}

func (p *plainAnswer) end(messenger.End) error {
	if !p.w.started {
		return p.writeHeader()
	}
	return nil
}

// encodeStored returns the complete answer, nil if it is too large to be stored.
func (p *plainAnswer) encodeStored(messenger.End) []byte {
	if p.tooLarge {
		return nil
	}
	out, err := msgpack.Marshal(&p.stored)
	if err != nil || len(out) > claimer.MaxAnswerBytes {
		return nil
	}
	return out
}

// replay writes an answer that encodeStored returned.
func (p *plainAnswer) replay(data []byte) error {
	if err := msgpack.NewDecoder(bytes.NewReader(data)).Decode(&p.stored); err != nil {
		return &coder.Error{Code: coder.Internal, Run: coder.Ran, Cause: err}
	}
	if err := p.writeHeader(); err != nil {
		return err
	}
	_, err := p.w.Write(p.stored.Data)
	return err
}
