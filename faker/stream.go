package faker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/julienschmidt/httprouter"

	"bramleyshunt/driver"
)

// eventWriter writes server-sent events, and keepalive comments while there are none.
type eventWriter struct {
	e         *instance
	w         http.ResponseWriter
	r         *http.Request
	keepAlive *time.Ticker
}

func (e *instance) eventWriter(w http.ResponseWriter, r *http.Request) (*eventWriter, func()) {
	s := &eventWriter{e: e, w: w, r: r, keepAlive: time.NewTicker(driver.KeepAliveInterval)}
	w.Header().Set("Content-Type", "text/event-stream")
	s.flush()
	return s, s.keepAlive.Stop
}

func (s *eventWriter) flush() { _ = http.NewResponseController(s.w).Flush() }

// send writes one event, without an id if seq is zero. It returns false if the
// request or the instance has ended.
func (s *eventWriter) send(seq uint64, v any) bool {
	data, err := json.Marshal(v)
	if err != nil || !s.e.awaitUnblocked(s.r.Context()) {
		return false
	}
	if seq > 0 {
		_, _ = fmt.Fprintf(s.w, "id: %d\n", seq)
	}
	_, err = fmt.Fprintf(s.w, "data: %s\n\n", data)
	return err == nil
}

// wait flushes what was written and blocks. It returns true once changed is closed
// or the timer fires, and false if the request or the instance has ended.
func (s *eventWriter) wait(changed <-chan struct{}, timer <-chan time.Time) bool {
	s.flush()
	for {
		select {
		case <-changed:
			return true
		case <-timer:
			return true
		case <-s.keepAlive.C:
			if !s.e.awaitUnblocked(s.r.Context()) {
				return false
			}
			_, _ = fmt.Fprint(s.w, ": keep\n\n")
			s.flush()
		case <-s.r.Context().Done():
			return false
		case <-s.e.ctx.Done():
			return false
		}
	}
}

// streamRun sends the events of a request that follow the sequence number after,
// until the request ends.
func (e *instance) streamRun(w http.ResponseWriter, r *http.Request, rec *record, after int) {
	s, stop := e.eventWriter(w, r)
	defer stop()
	for n := after; ; {
		produced, end, changed := rec.snapshot()
		for n < produced {
			n++
			if !s.send(uint64(n), driver.Text{Text: answerToken(rec.seed, n)}) {
				return
			}
		}
		if end != nil {
			s.send(uint64(n)+1, end)
			return
		}
		if !s.wait(changed, nil) {
			return
		}
	}
}

// runResult is the response to a run that is not streamed.
type runResult struct {
	driver.Text
	driver.End
}

// writeResult waits for the end of a request and writes its complete answer.
func (e *instance) writeResult(w http.ResponseWriter, r *http.Request, rec *record) {
	for {
		produced, end, changed := rec.snapshot()
		if end == nil {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			}
		}
		var s strings.Builder
		for n := 1; n <= produced; n++ {
			s.WriteString(answerToken(rec.seed, n))
		}
		e.respond(w, r, runResult{Text: driver.Text{Text: s.String()}, End: *end}, nil)
		return
	}
}

// getLoads streams load reports that are delayed by Config.ReportLag.
func (e *instance) getLoads(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	interval := e.f.cfg.ReportInterval
	if interval <= 0 {
		interval = defaultReportInterval
	}
	s, stop := e.eventWriter(w, r)
	defer stop()
	t := time.NewTicker(interval)
	defer t.Stop()
	type timedReport struct {
		driver.Report
		at time.Time // when the report was taken
	}
	var delayed []timedReport
	for s.wait(nil, t.C) {
		rep, err := e.report(r.Context())
		if err != nil {
			return
		}
		delayed = append(delayed, timedReport{rep, time.Now()})
		for len(delayed) > 1 && time.Since(delayed[1].at) >= e.f.cfg.ReportLag {
			delayed = delayed[1:]
		}
		if time.Since(delayed[0].at) >= e.f.cfg.ReportLag && !s.send(0, delayed[0].Report) {
			return
		}
	}
}

// getEvents streams the changes of the prefix cache that follow a sequence number.
// A reader that sends no number, or one that this incarnation has not reached,
// first receives the complete contents of the cache.
func (e *instance) getEvents(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	var snapshot driver.Event
	if err := e.do(r.Context(), func() {
		snapshot = driver.Event{Full: true}
		snapshot.Seq, snapshot.Added = e.engine.Cache()
	}); err != nil {
		e.respond(w, r, nil, err)
		return
	}
	s, stop := e.eventWriter(w, r)
	defer stop()
	if after == 0 || after > snapshot.Seq {
		after = snapshot.Seq
		if !s.send(0, snapshot) {
			return
		}
	}
	e.streamCacheEvents(s, after)
}

// streamCacheEvents sends the changes that follow the sequence number after, until
// the request or the instance ends.
func (e *instance) streamCacheEvents(s *eventWriter, after uint64) {
	for {
		events, delay, changed := e.events.since(after)
		for _, ev := range events {
			after = ev.Seq
			if !s.send(0, ev) {
				return
			}
		}
		var timer <-chan time.Time
		if delay >= 0 {
			timer = time.After(delay)
		}
		if !s.wait(changed, timer) {
			return
		}
	}
}
