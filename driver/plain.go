package driver

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"

	"bramleyshunt/messenger"
)

const chunkBytes = 32 << 10

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// Call sends one call to a plain service and emits its answer in chunks: the
// first has status and headers. A plain service sends no keepalives, so only
// ctx and Remaining bound its silence. Errors carry TargetLost (not run if
// there was no connection), or the code of ctx.
func (d *Driver) Call(ctx context.Context, r messenger.Run, emit func(messenger.Chunk) error) error {
	if r.Remaining > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.Remaining)
		defer cancel()
	}
	h := http.Header{}
	for _, f := range r.Headers {
		if !slices.Contains(hopHeaders, http.CanonicalHeaderKey(f.Name)) {
			h.Add(f.Name, f.Value)
		}
	}
	c := call{method: r.Method, path: "/" + strings.TrimPrefix(r.Path, "/"), header: h, body: r.Body, idle: -1}
	resp, g, err := d.open(ctx, c)
	if err != nil {
		return err
	}
	defer g.close()
	defer func() { _ = resp.Body.Close() }()
	return forward(resp, g, r.Attempt, emit)
}

// forward emits the answer chunk by chunk as it arrives.
func forward(resp *http.Response, g *guard, attempt string, emit func(messenger.Chunk) error) error {
	chunk := messenger.Chunk{Attempt: attempt, Seq: 1, Status: resp.StatusCode, Headers: headers(resp.Header)}
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
			return g.fault(err)
		}
	}
}

// headers returns the end-to-end fields in order of their names.
func headers(h http.Header) []messenger.Header {
	var out []messenger.Header
	for name, values := range h {
		if slices.Contains(hopHeaders, name) {
			continue
		}
		for _, v := range values {
			out = append(out, messenger.Header{Name: name, Value: v})
		}
	}
	slices.SortStableFunc(out, func(a, b messenger.Header) int { return strings.Compare(a.Name, b.Name) })
	return out
}
