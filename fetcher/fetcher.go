// Package fetcher sends HTTP requests and returns an error in place of answers that net/http
// takes for whole or well-formed although they are not.
package fetcher

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"golang.org/x/net/http/httpguts"
)

// maxInformational bounds the informational answers before an answer. The protocol has no use
// for more than one; net/http does not bound them where they are looked at.
const maxInformational = 16

// ErrMalformed is the error of answers that are not well-formed.
var ErrMalformed = errors.New("malformed answer")

// DefaultClient is like http.DefaultClient, with the checks of a Fetcher.
var DefaultClient = &http.Client{Transport: &Fetcher{}}

// Fetcher is an http.RoundTripper. An error from it or from the body of an answer says nothing
// about whether the request was handled, unless nothing of it was sent.
type Fetcher struct {
	Transport http.RoundTripper // uses net/http with HTTP/1; http.DefaultTransport if nil
}

// RoundTrip sends a request and returns its answer.
func (f *Fetcher) RoundTrip(req *http.Request) (*http.Response, error) {
	t := f.Transport
	if t == nil {
		t = http.DefaultTransport
	}
	s := &sending{}
	informational := 0
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: s.begin, WroteRequest: s.end,
		Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
			if informational++; informational > maxInformational {
				return fmt.Errorf("%w: more than %d informational ones", ErrMalformed, maxInformational)
			}
			return checkNames(fmt.Sprintf("head of status %d", code), h)
		},
	})
	resp, err := t.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := check(resp, s); err != nil {
		_ = resp.Body.Close() // the error that is returned matters more
		return nil, err
	}
	resp.Body = &body{ReadCloser: resp.Body, resp: resp, sending: s, done: req.Context().Done()}
	return resp, nil
}

// check returns an error unless the head of an answer is well-formed. net/http takes any three
// digits, or a sign and two, for a status, any version, and blanks in names of fields.
func check(resp *http.Response, s *sending) error {
	if resp.StatusCode < http.StatusContinue {
		return fmt.Errorf("%w: status %q", ErrMalformed, resp.Status)
	}
	if resp.ProtoMajor != 1 && resp.TLS == nil { // TLS negotiates the version
		return fmt.Errorf("%w: version %q", ErrMalformed, resp.Proto)
	}
	if resp.ProtoMajor == 1 && resp.ProtoMinor == 0 && s.chunked() {
		return fmt.Errorf("%w: %s in chunks", ErrMalformed, resp.Proto)
	}
	return checkNames("head", resp.Header)
}

// checkNames returns an error if a field's name has a byte that no name may have. Others would
// read such a line as another field, or as framing.
func checkNames[H ~map[string][]string](part string, h H) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: field %q in its %s", ErrMalformed, name, part)
		}
	}
	return nil
}

// body is the body of an answer.
type body struct {
	io.ReadCloser
	resp    *http.Response
	sending *sending
	done    <-chan struct{} // closed when the request's context ends
	err     error           // returned by all further reads
}

// Read reads a part of the body. It returns io.EOF only at the end of a whole answer.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = b.checkEnd()
	}
	b.err = err
	return n, err
}

// checkEnd returns io.EOF if the answer is whole, else the reason why it is not.
func (b *body) checkEnd() error {
	if err := checkNames("trailer", b.resp.Trailer); err != nil {
		return err
	}
	if !b.endsWithConnection() {
		return io.EOF
	}
	// The kernel reports a reset once. If the sender of the request learns of it, the reader of
	// the answer sees a regular end.
	if err := b.sending.wait(b.done); err != nil {
		return fmt.Errorf("the answer ended while its request was sent: %w", err)
	}
	return io.EOF
}

// endsWithConnection reports whether nothing but the end of the connection ends the answer.
func (b *body) endsWithConnection() bool {
	return b.resp.ContentLength < 0 && len(b.resp.TransferEncoding) == 0
}
