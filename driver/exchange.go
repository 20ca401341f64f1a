package driver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"bramleyshunt/coder"
)

const (
	dialTimeout  = time.Second
	maxBodyBytes = 16 << 20
)

// fresh never reuses a connection: the peer of an idle one may have lost track of it.
var fresh = &http.Client{
	Transport: &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
	},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

var errSilent = errors.New("no byte in time")

// call is one HTTP exchange.
type call struct {
	method string
	path   string
	header http.Header
	body   []byte
	idle   time.Duration // overrides the silence of the Driver; negative for none
}

// guard cancels an exchange on which no byte moves. The clock runs only while
// the exchange waits for the peer, not while the caller works on what came.
type guard struct {
	ctx     context.Context
	stop    context.CancelCauseFunc
	timer   *time.Timer
	silence time.Duration
	joined  atomic.Bool
}

func newGuard(ctx context.Context, silence time.Duration) *guard {
	g := &guard{silence: silence}
	g.ctx, g.stop = context.WithCancelCause(ctx)
	if silence > 0 {
		g.timer = time.AfterFunc(silence, func() { g.stop(errSilent) })
	}
	g.ctx = httptrace.WithClientTrace(g.ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { g.joined.Store(true) },
	})
	return g
}

func (g *guard) wait() {
	if g.timer != nil {
		g.timer.Reset(g.silence)
	}
}

func (g *guard) rest() {
	if g.timer != nil {
		g.timer.Stop()
	}
}

func (g *guard) close() {
	g.rest()
	g.stop(nil)
}

// fault returns err as a coded error, with the reason why the exchange ended.
func (g *guard) fault(err error) *coder.Error {
	code := coder.TargetLost
	cause := context.Cause(g.ctx)
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		code = coder.DeadlineExceeded
	case cause != nil && !errors.Is(cause, errSilent):
		code = coder.Cancelled
	case cause != nil:
		err = cause
	}
	run := coder.Unknown
	if !g.joined.Load() {
		run = coder.NotRun
	}
	return &coder.Error{Code: code, Run: run, Cause: err}
}

// upload restarts the guard's clock as the request body moves.
type upload struct {
	io.Reader
	g *guard
}

func (u upload) Read(p []byte) (int, error) {
	u.g.wait()
	return u.Reader.Read(p)
}

// download runs the guard's clock while a read waits.
type download struct {
	r io.Reader
	g *guard
}

func (d download) Read(p []byte) (int, error) {
	d.g.wait()
	n, err := d.r.Read(p)
	d.g.rest()
	return n, err
}

func (d *Driver) silence() time.Duration {
	if d.Silence > 0 {
		return d.Silence
	}
	return DefaultSilence
}

// open sends a call and returns its answer with a guarded body. The caller
// closes both on success.
func (d *Driver) open(ctx context.Context, c call) (*http.Response, *guard, error) {
	idle := c.idle
	if idle == 0 {
		idle = d.silence()
	}
	g := newGuard(ctx, idle)
	var body io.Reader = http.NoBody
	if len(c.body) > 0 {
		body = upload{Reader: bytes.NewReader(c.body), g: g}
	}
	req, err := http.NewRequestWithContext(g.ctx, c.method, d.BaseURL+c.path, body)
	if err != nil {
		g.close()
		return nil, nil, coder.Errorf(coder.Internal, "request: %v", err)
	}
	req.ContentLength = int64(len(c.body))
	if c.header != nil {
		req.Header = c.header
	}
	client := d.Client
	if client == nil {
		client = fresh
	}
	resp, err := client.Do(req)
	if err != nil {
		defer g.close()
		return nil, nil, g.fault(err)
	}
	return resp, g, nil
}

// ask sends a call and decodes its whole answer into out, unless out is nil.
func (d *Driver) ask(ctx context.Context, c call, out any) error {
	resp, g, err := d.open(ctx, c)
	if err != nil {
		return err
	}
	defer g.close()
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(download{resp.Body, g}, maxBodyBytes))
	if err != nil {
		return g.fault(err)
	}
	if resp.StatusCode != http.StatusOK {
		return refusal(resp.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return coder.Errorf(coder.EngineFailed, "answer: %v", err)
	}
	return nil
}

// refusal returns the engine's own code, or EngineFailed if it gave none.
func refusal(status int, data []byte) error {
	var f Failure
	if err := json.Unmarshal(data, &f); err != nil || f.Code == coder.OK {
		return coder.Errorf(coder.EngineFailed, "status %d", status)
	}
	return f.err()
}

func (f *Failure) err() *coder.Error {
	e := coder.Errorf(f.Code, "%s", f.Text)
	e.Retry = time.Duration(f.Retry * float64(time.Second))
	return e
}
