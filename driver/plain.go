package driver

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

const chunkBytes = 32 << 10

// hopByHopHeaders are fields that apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// Call sends a call to a plain service and emits its response in chunks, the first
// of which holds the status and the headers. A plain service sends no keepalives,
// so only ctx and Remaining bound the time without traffic. Errors carry TargetLost
// (with run state NotRun if no connection was made) or the code for the end of ctx.
func (d *Driver) Call(ctx context.Context, r messenger.Run, emit func(messenger.Chunk) error) error {
	if r.Remaining > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.Remaining)
		defer cancel()
	}
	h := http.Header{}
	for _, f := range r.Headers {
		if !slices.Contains(hopByHopHeaders, http.CanonicalHeaderKey(f.Name)) {
			h.Add(f.Name, f.Value)
		}
	}
	c := call{method: r.Method, path: "/" + strings.TrimPrefix(r.Path, "/"), header: h, body: r.Body, idleTimeout: -1}
	resp, w, err := d.open(ctx, c)
	if err != nil {
		return err
	}
	defer w.close()
	defer func() { _ = resp.Body.Close() }()
	return forward(resp, w, r.Attempt, emit)
}

// forward emits the response in chunks as it arrives. It fails if the status is not final, as
// after an upgrade that nobody asked for: there is no answer then.
func forward(resp *http.Response, w *watchdog, attempt string, emit func(messenger.Chunk) error) error {
	if resp.StatusCode < http.StatusOK {
		return &coder.Error{Code: coder.EngineFailed, Run: coder.Unknown, Text: fmt.Sprintf("status %d is not final", resp.StatusCode)}
	}
	chunk := messenger.Chunk{Attempt: attempt, Seq: 1, Status: resp.StatusCode, Headers: endToEndHeaders(resp.Header)}
	buf := make([]byte, chunkBytes)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 || chunk.Seq == 1 {
			chunk.Data = slices.Clone(buf[:n])
			if err := emit(chunk); err != nil {
				return err
			}
			chunk = messenger.Chunk{Attempt: attempt, Seq: chunk.Seq + 1}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return w.codedError(err)
		}
	}
}

// endToEndHeaders returns the end-to-end header fields, sorted by name.
func endToEndHeaders(h http.Header) []messenger.Header {
	var out []messenger.Header
	for name, values := range h {
		if slices.Contains(hopByHopHeaders, name) {
			continue
		}
		for _, v := range values {
			out = append(out, messenger.Header{Name: name, Value: v})
		}
	}
	slices.SortStableFunc(out, func(a, b messenger.Header) int { return strings.Compare(a.Name, b.Name) })
	return out
}
