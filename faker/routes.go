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
	maxBody     = 64 << 20 // bytes
	reportEvery = 500 * time.Millisecond
)

func (e *life) routes() http.Handler {
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

// guarded holds requests up while the target is frozen or their connection hushed.
func (e *life) guarded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.pass(r.Context()) {
			next.ServeHTTP(w, r)
		}
	})
}

// pass waits until an exchange may go on; it returns false when it has ended.
func (e *life) pass(ctx context.Context) bool {
	if conn, ok := ctx.Value(connKey{}).(uint64); ok && conn <= e.f.hushed.Load() {
		<-ctx.Done()
	}
	return e.f.gate.pass(ctx) && e.ctx.Err() == nil
}

func (e *life) getReport(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	rep, err := e.report(r.Context())
	e.answer(w, r, rep, err)
}

// answer writes v, or err as a refusal.
func (e *life) answer(w http.ResponseWriter, r *http.Request, v any, err error) {
	if !e.pass(r.Context()) {
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

func (e *life) postOrder(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var o messenger.Order
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&o); err != nil {
		e.answer(w, r, nil, coder.Errorf(coder.Malformed, "order: %v", err))
		return
	}
	a, err := e.ask(r.Context(), batcher.Event{Kind: batcher.Order, Order: o})
	e.answer(w, r, driver.Ordered{Fence: a.Fence}, err)
}

func (e *life) deleteRun(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	_, err := e.ask(r.Context(), batcher.Event{Kind: batcher.Cancel, ID: p.ByName("id")})
	e.answer(w, r, struct{}{}, err)
}

// ask steps the engine with an event and returns the action that decides on it.
func (e *life) ask(ctx context.Context, ev batcher.Event) (batcher.Action, error) {
	var acts []batcher.Action
	if err := e.do(ctx, func() { acts = e.step(ev) }); err != nil {
		return batcher.Action{}, err
	}
	for _, a := range acts {
		switch a.Kind {
		case batcher.Refused:
			return a, a.Err
		case batcher.Accepted, batcher.OrderAccepted:
			return a, nil
		}
	}
	return batcher.Action{}, nil
}

func (e *life) postRun(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	b, err := parse(data)
	if err != nil {
		e.answer(w, r, nil, err)
		return
	}
	rec, err := e.submit(r, b)
	if err != nil {
		e.answer(w, r, nil, err)
		return
	}
	if b.Stream || r.Header.Get("Accept") == "text/event-stream" {
		e.stream(w, r, rec, 0)
		return
	}
	e.whole(w, r, rec)
}

// submit hands a request to the engine. The prompt is hashed here, once, beside
// the control goroutine.
func (e *life) submit(r *http.Request, b *body) (*record, error) {
	req, err := header(r.Header)
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
	if err := e.present(r.Context(), sources); err != nil {
		return nil, err
	}
	text := b.text()
	crash := e.f.cfg.Crash
	req.Model, req.Output, req.Prompt = b.Model, b.Output, tokens(text)
	req.Crash = crash != "" && strings.Contains(text, crash)
	req.BlockHashes, prefix.State = hash(prefix.State, text, e.block())
	if req.Prefill {
		prefix.Tokens += req.Prompt
		prefix.Holds = append(prefix.Holds, hold{ID: req.ID, URL: e.f.URL(), Incarnation: e.incarnation})
	}
	rec := newRecord(prefix, req.Prefill)
	rec.sources = sources
	return rec, e.enter(r.Context(), req, rec)
}

// enter submits a request and, if the engine takes it, keeps its record.
func (e *life) enter(ctx context.Context, req batcher.Request, rec *record) error {
	var refused *coder.Error
	err := e.do(ctx, func() {
		for _, a := range e.step(batcher.Event{Kind: batcher.Submit, Request: req}) {
			switch a.Kind {
			case batcher.Refused:
				refused = a.Err
			case batcher.Accepted:
				e.records[req.ID] = rec
				if len(rec.sources) > 0 {
					e.wg.Go(func() { e.attend(rec, req.ID) })
				}
			}
		}
	})
	if err == nil && refused != nil {
		err = refused
	}
	return err
}

func (e *life) block() int {
	if e.f.cfg.Block > 0 {
		return e.f.cfg.Block
	}
	return batcher.DefaultBlock
}

// header reads the fields that come beside the body.
func header(h http.Header) (batcher.Request, error) {
	req := batcher.Request{ID: h.Get(driver.HeaderID), Prefill: h.Get(driver.HeaderPrefill) == "true"}
	var errs []error
	number := func(name string) int {
		v := h.Get(name)
		if v == "" {
			return 0
		}
		n, err := strconv.Atoi(v)
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

func (e *life) getRun(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	var rec *record
	if err := e.do(r.Context(), func() { rec = e.records[p.ByName("id")] }); err != nil {
		e.answer(w, r, nil, err)
		return
	}
	if rec == nil {
		e.answer(w, r, nil, coder.Errorf(coder.UnknownAttempt, "id %q", p.ByName("id")))
		return
	}
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	made, _, _ := rec.read()
	if err != nil || after < 0 || after > made {
		e.answer(w, r, nil, coder.Errorf(coder.Malformed, "after %q of %d events", r.URL.Query().Get("after"), made))
		return
	}
	e.stream(w, r, rec, after)
}
