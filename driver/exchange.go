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
	"bramleyshunt/fetcher"
)

const (
	dialTimeout  = time.Second
	maxBodyBytes = 16 << 20
)

// singleUseClient never reuses a connection, because the peer of an idle connection
// may have dropped it without notice.
var singleUseClient = &http.Client{
	Transport: &fetcher.Fetcher{Transport: &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext:        dial,
	}},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

func dial(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return fetcher.Watch(conn), nil
}

var errIdle = errors.New("no byte in time")

// call is one HTTP request to the target.
type call struct {
	method      string
	path        string
	header      http.Header
	body        []byte
	idleTimeout time.Duration // overrides Driver.IdleTimeout; negative for no timeout
}

// watchdog cancels an exchange on which no byte is transferred for the timeout. Its
// timer runs only while the exchange waits for the peer, not while the caller
// processes received data.
type watchdog struct {
	ctx       context.Context
	cancel    context.CancelCauseFunc
	timer     *time.Timer
	timeout   time.Duration
	connected atomic.Bool
}

func newWatchdog(ctx context.Context, timeout time.Duration) *watchdog {
	w := &watchdog{timeout: timeout}
	w.ctx, w.cancel = context.WithCancelCause(ctx)
	if timeout > 0 {
		w.timer = time.AfterFunc(timeout, func() { w.cancel(errIdle) })
	}
	w.ctx = httptrace.WithClientTrace(w.ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { w.connected.Store(true) },
	})
	return w
}

func (w *watchdog) start() {
	if w.timer != nil {
		w.timer.Reset(w.timeout)
	}
}

func (w *watchdog) pause() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

func (w *watchdog) close() {
	w.pause()
	w.cancel(nil)
}

// codedError returns err with the code for the reason why the exchange ended. The run
// state is NotRun if no connection was made.
func (w *watchdog) codedError(err error) *coder.Error {
	code := coder.TargetLost
	cause := context.Cause(w.ctx)
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		code = coder.DeadlineExceeded
	case cause != nil && !errors.Is(cause, errIdle):
		code = coder.Cancelled
	case cause != nil:
		err = cause
	}
	run := coder.Unknown
	if !w.connected.Load() {
		run = coder.NotRun
	}
	return &coder.Error{Code: code, Run: run, Cause: err}
}

// upload restarts the watchdog's timer for each read of the request body.
type upload struct {
	io.Reader
	w *watchdog
}

func (u upload) Read(p []byte) (int, error) {
	u.w.start()
	return u.Reader.Read(p)
}

// download runs the watchdog's timer while a read of the response body waits.
type download struct {
	r io.Reader
	w *watchdog
}

func (d download) Read(p []byte) (int, error) {
	d.w.start()
	n, err := d.r.Read(p)
	d.w.pause()
	return n, err
}

func (d *Driver) idleTimeout() time.Duration {
	if d.IdleTimeout > 0 {
		return d.IdleTimeout
	}
	return DefaultIdleTimeout
}

// open sends a call and returns its response and the watchdog for reading the body.
// The caller closes both on success.
func (d *Driver) open(ctx context.Context, c call) (*http.Response, *watchdog, error) {
	timeout := c.idleTimeout
	if timeout == 0 {
		timeout = d.idleTimeout()
	}
	w := newWatchdog(ctx, timeout)
	var body io.Reader = http.NoBody
	if len(c.body) > 0 {
		body = upload{Reader: bytes.NewReader(c.body), w: w}
	}
	req, err := http.NewRequestWithContext(w.ctx, c.method, d.BaseURL+c.path, body)
	if err != nil {
		w.close()
		return nil, nil, coder.Errorf(coder.Internal, "request: %v", err)
	}
	req.ContentLength = int64(len(c.body))
	if c.header != nil {
		req.Header = c.header
	}
	client := d.Client
	if client == nil {
		client = singleUseClient
	}
	resp, err := client.Do(req)
	if err != nil {
		defer w.close()
		return nil, nil, w.codedError(err)
	}
	return resp, w, nil
}

// roundTrip sends a call and decodes the response body into out, unless out is nil.
func (d *Driver) roundTrip(ctx context.Context, c call, out any) error {
	resp, w, err := d.open(ctx, c)
	if err != nil {
		return err
	}
	defer w.close()
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(download{resp.Body, w}, maxBodyBytes))
	if err != nil {
		return w.codedError(err)
	}
	if resp.StatusCode != http.StatusOK {
		return responseError(resp.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return coder.Errorf(coder.EngineFailed, "answer: %v", err)
	}
	return nil
}

// responseError returns the error that the engine sent, or EngineFailed if the body
// holds none.
func responseError(status int, data []byte) error {
	var f Failure
	if err := json.Unmarshal(data, &f); err != nil || f.Code == coder.OK {
		return coder.Errorf(coder.EngineFailed, "status %d", status)
	}
	return f.codedError()
}

func (f *Failure) codedError() *coder.Error {
	e := coder.Errorf(f.Code, "%s", f.Text)
	e.Retry = time.Duration(f.RetryAfter * float64(time.Second))
	return e
}
