package entry

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

const (
	// DefaultBody is the largest request body when the configuration names none, in bytes.
	DefaultBody = 8 << 20
	mostPrefix  = len("Bearer ")
)

// Header fields of the caller's interface.
const (
	headerKey     = "Idempotency-Key"
	headerBatch   = "Batch"
	headerTimeout = "Request-Timeout"
	headerRetry   = "Retry-After"
	headerCode    = "Bramleyshunt-Code"
	headerRun     = "Bramleyshunt-Run"
)

func (e *Entry) routes() *httprouter.Router {
	m := httprouter.New()
	m.RedirectTrailingSlash, m.RedirectFixedPath, m.HandleOPTIONS = false, false, false
	m.POST("/v1/completions", e.engine(parsePrompt))
	m.POST("/v1/chat/completions", e.engine(parseChat))
	m.POST("/v1/cancel", e.serveCancel)
	m.GET("/ready", e.serveReady)
	m.GET("/live", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { w.WriteHeader(http.StatusOK) })
	for _, method := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"} {
		m.Handle(method, "/service/:name/*path", e.servePlain)
	}
	m.NotFound = e.refuse(coder.NotFound)
	m.MethodNotAllowed = e.refuse(coder.MethodNotAllowed)
	return m
}

func (e *Entry) refuse(c coder.Code) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.fail(w, coder.Errorf(c, "%s %s", r.Method, r.URL.Path))
	}
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if err := e.Ready(); err != nil {
		e.fail(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// parser turns a body into the request's fields for an engine.
type parser func(r *chainer.Request) error

func (e *Entry) engine(parse parser) httprouter.Handle {
	return func(w http.ResponseWriter, hr *http.Request, _ httprouter.Params) {
		e.serve(w, hr, func(t *tracked, r *chainer.Request) error {
			if err := parse(r); err != nil {
				return err
			}
			r.Answer = newText(t, r).answer()
			return nil
		})
	}
}

func (e *Entry) servePlain(w http.ResponseWriter, hr *http.Request, p httprouter.Params) {
	e.serve(w, hr, func(t *tracked, r *chainer.Request) error {
		r.Service = p.ByName("name")
		r.Method = hr.Method
		r.Path = p.ByName("path")
		if hr.URL.RawQuery != "" {
			r.Path += "?" + hr.URL.RawQuery
		}
		r.Headers = forwarded(hr.Header)
		r.PromptBytes = len(r.Body)
		r.Answer = newPlain(t).answer()
		return nil
	})
}

// serve reads a request, runs it and tells the caller of a failure.
func (e *Entry) serve(w http.ResponseWriter, hr *http.Request, fill func(*tracked, *chainer.Request) error) {
	t := &tracked{ResponseWriter: w}
	t.wait(time.Now().Add(e.cfg.BodyTimeout))
	ctx, r, end, err := e.Begin(hr.Context())
	if err != nil {
		e.fail(t, err)
		return
	}
	defer end()
	defer t.until(time.Time{})
	if err := e.answer(ctx, t, hr, r, fill); err != nil {
		e.fail(t, coder.Of(err))
		return
	}
	e.Count(nil)
}

func (e *Entry) answer(ctx context.Context, w *tracked, hr *http.Request, r *chainer.Request, fill func(*tracked, *chainer.Request) error) error {
	if err := e.Ready(); err != nil {
		return err
	}
	account, err := e.Identify(bearer(hr.Header))
	if err != nil {
		return err
	}
	r.Account = account
	if err := e.read(w, hr, r); err != nil {
		return err
	}
	if err := fill(w, r); err != nil {
		return err
	}
	return e.Do(ctx, r)
}

// read takes headers and body.
func (e *Entry) read(w *tracked, hr *http.Request, r *chainer.Request) error {
	r.Config = e.cfg.View().Config
	r.Key, r.Batch = hr.Header.Get(headerKey), hr.Header.Get(headerBatch)
	timeout, err := parseTimeout(hr.Header.Get(headerTimeout))
	if err != nil {
		return err
	}
	r.Timeout = timeout
	most := r.Config.Limits.Body
	if most <= 0 {
		most = DefaultBody
	}
	r.Body, err = io.ReadAll(http.MaxBytesReader(w.ResponseWriter, hr.Body, int64(most)))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return coder.Errorf(coder.TooLarge, "more than %d bytes", most)
	case err != nil:
		return &coder.Error{Code: coder.Malformed, Run: coder.NotRun, Text: "body", Cause: err}
	default:
		w.wait(time.Time{})
		return nil
	}
}

func parseTimeout(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || v <= 0 || v > math.MaxInt32 {
		return 0, coder.Errorf(coder.BadTimeout, "%.32q", s)
	}
	return time.Duration(v * float64(time.Second)), nil
}

func bearer(h http.Header) string {
	v := h.Get("Authorization")
	if len(v) < mostPrefix || !strings.EqualFold(v[:mostPrefix], "Bearer ") {
		return ""
	}
	return strings.TrimSpace(v[mostPrefix:])
}

// forwarded returns the header fields that a plain service gets: neither those
// of the connection nor the caller's token.
func forwarded(h http.Header) []messenger.Header {
	var out []messenger.Header
	for _, name := range sortedNames(h) {
		if hopByHop[name] || name == "Authorization" {
			continue
		}
		for _, v := range h[name] {
			out = append(out, messenger.Header{Name: name, Value: v})
		}
	}
	return out
}

var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}
