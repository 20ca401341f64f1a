package entry

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"bramleyshunt/bufferer"
	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

const (
	// DefaultMaxBody is the maximum size of a request body, in bytes, when the configuration
	// sets none.
	DefaultMaxBody  = 8 << 20
	bearerPrefixLen = len("Bearer ")
	// callCopies is how many times the body of a call is in memory while it is sent: as it was
	// read and as a message to the agent.
	callCopies = 2
	// promptCopies is the same for a prompt while it is decoded and encoded again, and
	// heldPromptCopies while it waits: as text and as the body for the engine.
	promptCopies     = 4
	heldPromptCopies = 2
)

// HTTP header fields of requests and responses.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerBatch          = "Batch"
	headerTimeout        = "Request-Timeout"
	headerRetryAfter     = "Retry-After"
	headerCode           = "Bramleyshunt-Code"
	headerRun            = "Bramleyshunt-Run"
)

func (e *Entry) routes() *httprouter.Router {
	m := httprouter.New()
	m.RedirectTrailingSlash, m.RedirectFixedPath, m.HandleOPTIONS = false, false, false
	m.POST("/v1/completions", e.serveEngine(parsePrompt))
	m.POST("/v1/chat/completions", e.serveEngine(parseChat))
	m.POST("/v1/cancel", e.serveCancel)
	m.GET("/ready", e.serveReady)
	m.GET("/live", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { w.WriteHeader(http.StatusOK) })
	for _, method := range []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"} {
		m.Handle(method, "/service/:name/*path", e.servePlain)
	}
	m.NotFound = e.errorHandler(coder.NotFound)
	m.MethodNotAllowed = e.errorHandler(coder.MethodNotAllowed)
	return m
}

func (e *Entry) errorHandler(c coder.Code) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		e.writeError(w, coder.Errorf(c, "%s %s", r.Method, r.URL.Path))
	}
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if err := e.Ready(); err != nil {
		e.writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// parser fills a request for an engine from its body.
type parser func(r *chainer.Request) error

func (e *Entry) serveEngine(parse parser) httprouter.Handle {
	return func(w http.ResponseWriter, hr *http.Request, _ httprouter.Params) {
		e.serve(w, hr, promptCopies, func(rw *responseWriter, r *chainer.Request, hold bufferer.Hold) error {
			if err := parse(r); err != nil {
				return err
			}
			hold.Shrink(heldPromptCopies * len(hold.Data))
			r.Answer = newEngineAnswer(rw, r).callbacks()
			return nil
		})
	}
}

func (e *Entry) servePlain(w http.ResponseWriter, hr *http.Request, p httprouter.Params) {
	e.serve(w, hr, callCopies, func(rw *responseWriter, r *chainer.Request, _ bufferer.Hold) error {
		r.Service = p.ByName("name")
		r.Method = hr.Method
		r.Path = p.ByName("path")
		if hr.URL.RawQuery != "" {
			r.Path += "?" + hr.URL.RawQuery
		}
		r.Headers = forwarded(hr.Header)
		r.PromptBytes = len(r.Body)
		r.Answer = newPlainAnswer(rw).callbacks()
		return nil
	})
}

// preparer fills a request after its body was read and before it runs.
type preparer func(*responseWriter, *chainer.Request, bufferer.Hold) error

// serve reads and runs a request and sends an error to the caller if that fails. The body is
// in memory up to the given number of times.
func (e *Entry) serve(w http.ResponseWriter, hr *http.Request, copies int, prepare preparer) {
	rw := &responseWriter{ResponseWriter: w}
	rw.setReadDeadline(time.Now().Add(e.cfg.BodyTimeout))
	ctx, r, end, err := e.Begin(hr.Context())
	if err != nil {
		e.writeError(rw, err)
		return
	}
	defer end()
	defer rw.setWriteDeadline(time.Time{})
	if err := e.process(ctx, rw, hr, r, copies, prepare); err != nil {
		e.writeError(rw, coder.Of(err))
		return
	}
	e.Count(nil)
}

// process authenticates the caller, reads the request and runs it.
func (e *Entry) process(ctx context.Context, w *responseWriter, hr *http.Request, r *chainer.Request, copies int, prepare preparer) error {
	if err := e.Ready(); err != nil {
		return err
	}
	account, err := e.Identify(bearer(hr.Header))
	if err != nil {
		return err
	}
	r.Account = account
	hold, err := e.readRequest(w, hr, r, copies)
	if err != nil {
		return err
	}
	if err := prepare(w, r, hold); err != nil {
		return err
	}
	return e.Do(ctx, r)
}

// readRequest reads the request's header fields and body. It removes the read deadline once
// the body is complete.
func (e *Entry) readRequest(w *responseWriter, hr *http.Request, r *chainer.Request, copies int) (bufferer.Hold, error) {
	r.Config = e.cfg.View().Config
	r.Key, r.Batch = hr.Header.Get(headerIdempotencyKey), hr.Header.Get(headerBatch)
	timeout, err := parseTimeout(hr.Header.Get(headerTimeout))
	if err != nil {
		return bufferer.Hold{}, err
	}
	r.Timeout = timeout
	maxBody := r.Config.Limits.Body
	if maxBody <= 0 {
		maxBody = DefaultMaxBody
	}
	hold, err := e.cfg.Bodies.ReadRequest(w.ResponseWriter, hr, int64(maxBody), copies)
	if err != nil {
		return hold, err
	}
	w.setReadDeadline(time.Time{})
	r.Body, r.Release = hold.Data, hold.Release
	return hold, nil
}

// parseTimeout parses a Request-Timeout field, a number of seconds. An empty field means no
// timeout of the caller's own.
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

// bearer returns the bearer token of a request, empty if it has none.
func bearer(h http.Header) string {
	v := h.Get("Authorization")
	if len(v) < bearerPrefixLen || !strings.EqualFold(v[:bearerPrefixLen], "Bearer ") {
		return ""
	}
	return strings.TrimSpace(v[bearerPrefixLen:])
}

// forwarded returns the header fields that are forwarded to a plain service: all but the
// hop-by-hop fields and the caller's token.
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

// hopByHop holds the header fields that apply to one connection and are not forwarded.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}
