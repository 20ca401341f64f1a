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

// plain writes a plain service's answer as it is.
type plain struct {
	w    *tracked
	copy kept
	full bool // the copy would exceed what is kept
}

// kept is a plain answer in its kept form.
type kept struct {
	Status  int                `msgpack:"status"`
	Headers []messenger.Header `msgpack:"headers"`
	Data    []byte             `msgpack:"data"`
}

func newPlain(w *tracked) *plain { return &plain{w: w} }

func (p *plain) answer() chainer.Answer {
	return chainer.Answer{SetWriteDeadline: p.w.until, Begin: p.begin, Chunk: p.chunk, End: p.end, Encode: p.kept, Replay: p.reply}
}

func (p *plain) begin() bool {
	p.copy = kept{}
	return !p.w.sent
}

func (p *plain) chunk(c messenger.Chunk) error {
	if !p.w.sent {
		p.copy.Status, p.copy.Headers = c.Status, c.Headers
		p.head()
	}
	if len(p.copy.Data)+len(c.Data) > claimer.MaxAnswerBytes/2 {
		p.full = true
	} else {
		p.copy.Data = append(p.copy.Data, c.Data...)
	}
	if _, err := p.w.Write(c.Data); err != nil {
		return err
	}
	return p.w.flush()
}

func (p *plain) head() {
	h := p.w.Header()
	for _, f := range p.copy.Headers {
		if !hopByHop[http.CanonicalHeaderKey(f.Name)] {
			h.Add(f.Name, f.Value)
		}
	}
	h.Set(headerCode, "0")
	h.Set(headerRun, coder.Ran.Header())
	status := p.copy.Status
	if status < http.StatusOK || status > 999 {
		status = http.StatusOK
	}
	p.w.WriteHeader(status)
}

func (p *plain) end(messenger.End) error {
	if !p.w.sent {
		p.head()
	}
	return nil
}

func (p *plain) kept(messenger.End) []byte {
	if p.full {
		return nil
	}
	out, err := msgpack.Marshal(&p.copy)
	if err != nil || len(out) > claimer.MaxAnswerBytes {
		return nil
	}
	return out
}

func (p *plain) reply(data []byte) error {
	if err := msgpack.NewDecoder(bytes.NewReader(data)).Decode(&p.copy); err != nil {
		return &coder.Error{Code: coder.Internal, Run: coder.Ran, Cause: err}
	}
	p.head()
	_, err := p.w.Write(p.copy.Data)
	return err
}
