package faker

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"bramleyshunt/batcher"
	"bramleyshunt/coder"
	"bramleyshunt/driver"
	"bramleyshunt/messenger"
)

const (
	maxBodyBytes          = 64 << 20
	defaultReportInterval = 500 * time.Millisecond
)

func (e *instance) routes() http.Handler {
	r := httprouter.New()
	r.GET("/report", e.getReport)
	if e.f.cfg.Kind == KindPlain {
		r.NotFound = http.HandlerFunc(e.servePlain)
		return r
	}
	r.POST("/run", e.postRun)
	r.GET("/run/:id", e.getRun)
	r.DELETE("/run/:id", e.deleteRun)
	r.GET("/loads", e.getLoads)
	r.GET("/events", e.getEvents)
	r.POST("/order", e.postOrder)
	return r
}

// withFaults blocks requests while the target is frozen or their connection is
// stalled.
func (e *instance) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.awaitUnblocked(r.Context()) {
			next.ServeHTTP(w, r)
		}
	})
}

// awaitUnblocked blocks while the target is frozen, or for good on a stalled
// connection. It returns false if the request or the instance has ended.
func (e *instance) awaitUnblocked(ctx context.Context) bool {
	if conn, ok := ctx.Value(connKey{}).(uint64); ok && conn <= e.f.stalled.Load() {
		<-ctx.Done()
	}
	return e.f.gate.wait(ctx) && e.ctx.Err() == nil
}

func (e *instance) getReport(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	rep, err := e.report(r.Context())
	e.respond(w, r, rep, err)
}

// respond writes v as JSON, or err with the status of its code.
func (e *instance) respond(w http.ResponseWriter, r *http.Request, v any, err error) {
	if !e.awaitUnblocked(r.Context()) {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err != nil {
		c := coder.Of(err)
		w.WriteHeader(c.Code.Status())
		v = failure(c)
	}
	_ = json.NewEncoder(w).Encode(v)
}

func (e *instance) postOrder(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var o messenger.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&o); err != nil {
		e.respond(w, r, nil, coder.Errorf(coder.Malformed, "order: %v", err))
		return
	}
	a, err := e.dispatch(r.Context(), batcher.Event{Kind: batcher.Order, Order: o})
	e.respond(w, r, driver.Ordered{Fence: a.Fence}, err)
}

func (e *instance) deleteRun(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	_, err := e.dispatch(r.Context(), batcher.Event{Kind: batcher.Cancel, ID: p.ByName("id")})
	e.respond(w, r, struct{}{}, err)
}

// dispatch passes an event to the engine and returns the action that accepts it,
// or the error of the action that refuses it.
func (e *instance) dispatch(ctx context.Context, ev batcher.Event) (batcher.Action, error) {
	var actions []batcher.Action
	if err := e.do(ctx, func() { actions = e.step(ev) }); err != nil {
		return batcher.Action{}, err
	}
	for _, a := range actions {
		switch a.Kind {
		case batcher.Refused:
			return a, a.Err
		case batcher.Accepted, batcher.OrderAccepted:
			return a, nil
		}
	}
	return batcher.Action{}, nil
}

func (e *instance) postRun(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	b, err := parseBody(data)
	if err != nil {
		e.respond(w, r, nil, err)
		return
	}
	rec, err := e.submit(r, b)
	if err != nil {
		e.respond(w, r, nil, err)
		return
	}
	if b.Stream || r.Header.Get("Accept") == "text/event-stream" {
		e.streamRun(w, r, rec, 0)
		return
	}
	e.writeResult(w, r, rec)
}

// submit passes a request to the engine. It hashes the prompt once, on the calling
// goroutine, so that long prompts do not block the control goroutine.
func (e *instance) submit(r *http.Request, b *body) (*record, error) {
	req, err := parseHeader(r.Header)
	if err != nil {
		return nil, err
	}
	imported, err := base64.StdEncoding.DecodeString(r.Header.Get(driver.HeaderImport))
	if err != nil {
		return nil, coder.Errorf(coder.Malformed, "%s: %v", driver.HeaderImport, err)
	}
	prefix, err := parseHandle(imported)
	if err != nil {
		return nil, err
	}
	sources := prefix.Holds
	if err := e.checkSources(r.Context(), sources); err != nil {
		return nil, err
	}
	text := b.text()
	crash := e.f.cfg.CrashText
	req.Model, req.Output, req.Prompt = b.Model, b.Output, tokenCount(text)
	req.Crash = crash != "" && strings.Contains(text, crash)
	req.BlockHashes, prefix.State = hashBlocks(prefix.State, text, e.blockTokens())
	if req.Prefill {
		prefix.Tokens += req.Prompt
		prefix.Holds = append(prefix.Holds, hold{ID: req.ID, URL: e.f.URL(), Incarnation: e.incarnation})
	}
	rec := newRecord(prefix, req.Prefill)
	rec.sources = sources
	return rec, e.admit(r.Context(), req, rec)
}

// admit submits a request and stores its record if the engine accepts it.
func (e *instance) admit(ctx context.Context, req batcher.Request, rec *record) error {
	var refused *coder.Error
	err := e.do(ctx, func() {
		for _, a := range e.step(batcher.Event{Kind: batcher.Submit, Request: req}) {
			switch a.Kind {
			case batcher.Refused:
				refused = a.Err
			case batcher.Accepted:
				e.records[req.ID] = rec
				if len(rec.sources) > 0 {
					e.wg.Go(func() { e.watchSources(rec, req.ID) })
				}
			}
		}
	})
	if err == nil && refused != nil {
		err = refused
	}
	return err
}

func (e *instance) blockTokens() int {
	if e.f.cfg.Block > 0 {
		return e.f.cfg.Block
	}
	return batcher.DefaultBlock
}

// parseHeader reads the request fields that the HTTP headers carry.
func parseHeader(h http.Header) (batcher.Request, error) {
	req := batcher.Request{ID: h.Get(driver.HeaderID), Prefill: h.Get(driver.HeaderPrefill) == "true"}
	var errs []error
	number := func(name string) int {
		value := h.Get(name)
		if value == "" {
			return 0
		}
		n, err := strconv.Atoi(value)
		errs = append(errs, err)
		return n
	}
	req.Priority = number(driver.HeaderPriority)
	req.Remaining = time.Duration(number(driver.HeaderRemaining)) * time.Millisecond
	if err := errors.Join(errs...); err != nil {
		return req, coder.Errorf(coder.Malformed, "%v", err)
	}
	return req, nil
}

func (e *instance) getRun(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	var rec *record
	if err := e.do(r.Context(), func() { rec = e.records[p.ByName("id")] }); err != nil {
		e.respond(w, r, nil, err)
		return
	}
	if rec == nil {
		e.respond(w, r, nil, coder.Errorf(coder.UnknownAttempt, "id %q", p.ByName("id")))
		return
	}
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	produced, _, _ := rec.snapshot()
	if err != nil || after < 0 || after > produced {
		e.respond(w, r, nil, coder.Errorf(coder.Malformed, "after %q of %d events", r.URL.Query().Get("after"), produced))
		return
	}
	e.streamRun(w, r, rec, after)
}
