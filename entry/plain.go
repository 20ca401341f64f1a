package entry

import (
	"bytes"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/chainer"
	"bramleyshunt/claimer"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

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
		p.writeHeader()
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

func (p *plainAnswer) writeHeader() {
	h := p.w.Header()
	for _, f := range p.stored.Headers {
		if !hopByHop[http.CanonicalHeaderKey(f.Name)] {
			h.Add(f.Name, f.Value)
		}
	}
	h.Set(headerCode, "0")
	h.Set(headerRun, coder.Ran.Header())
	status := p.stored.Status
	if status < http.StatusOK || status > 999 {
		status = http.StatusOK
	}
	p.w.WriteHeader(status)
}

func (p *plainAnswer) end(messenger.End) error {
	if !p.w.started {
		p.writeHeader()
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
	p.writeHeader()
	_, err := p.w.Write(p.stored.Data)
	return err
}
