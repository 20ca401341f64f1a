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

// sender writes server-sent events, and keepalives while there are none.
type sender struct {
	e    *life
	w    http.ResponseWriter
	r    *http.Request
	keep *time.Ticker
}

func (e *life) sender(w http.ResponseWriter, r *http.Request) (*sender, func()) {
	s := &sender{e: e, w: w, r: r, keep: time.NewTicker(driver.KeepAliveInterval)}
	w.Header().Set("Content-Type", "text/event-stream")
	s.flush()
	return s, s.keep.Stop
}

func (s *sender) flush() { _ = http.NewResponseController(s.w).Flush() }

// send writes one event; a zero seq is left out. It returns false when the
// exchange has ended.
func (s *sender) send(seq uint64, v any) bool {
	data, err := json.Marshal(v)
	if err != nil || !s.e.pass(s.r.Context()) {
		return false
	}
	if seq > 0 {
		_, _ = fmt.Fprintf(s.w, "id: %d\n", seq)
	}
	_, err = fmt.Fprintf(s.w, "data: %s\n\n", data)
	return err == nil
}

// wait returns true when changed closes or the timer fires, false when the
// exchange has ended.
func (s *sender) wait(changed <-chan struct{}, timer <-chan time.Time) bool {
	s.flush()
	for {
		select {
		case <-changed:
			return true
		case <-timer:
			return true
		case <-s.keep.C:
			if !s.e.pass(s.r.Context()) {
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

// stream sends the events of a request after a sequence number, to its end.
func (e *life) stream(w http.ResponseWriter, r *http.Request, rec *record, after int) {
	s, closer := e.sender(w, r)
	defer closer()
	for n := after; ; {
		made, end, changed := rec.read()
		for n < made {
			n++
			if !s.send(uint64(n), driver.Text{Text: word(rec.seed, n)}) {
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

// whole is the answer to a run without a stream.
type whole struct {
	driver.Text
	driver.End
}

func (e *life) whole(w http.ResponseWriter, r *http.Request, rec *record) {
	for {
		made, end, changed := rec.read()
		if end == nil {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			}
		}
		var s strings.Builder
		for n := 1; n <= made; n++ {
			s.WriteString(word(rec.seed, n))
		}
		e.answer(w, r, whole{Text: driver.Text{Text: s.String()}, End: *end}, nil)
		return
	}
}

// getLoads publishes reports of some time ago.
func (e *life) getLoads(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	every := e.f.cfg.ReportEvery
	if every <= 0 {
		every = reportEvery
	}
	s, closer := e.sender(w, r)
	defer closer()
	t := time.NewTicker(every)
	defer t.Stop()
	type past struct {
		driver.Report
		at time.Time
	}
	var old []past
	for s.wait(nil, t.C) {
		rep, err := e.report(r.Context())
		if err != nil {
			return
		}
		old = append(old, past{rep, time.Now()})
		for len(old) > 1 && time.Since(old[1].at) >= e.f.cfg.ReportLag {
			old = old[1:]
		}
		if time.Since(old[0].at) >= e.f.cfg.ReportLag && !s.send(0, old[0].Report) {
			return
		}
	}
}

// getEvents publishes changes of the prefix cache after a sequence number. A
// reader that names none, or one this incarnation has not reached, gets the
// whole cache first.
func (e *life) getEvents(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	var now driver.Event
	if err := e.do(r.Context(), func() {
		now = driver.Event{Full: true}
		now.Seq, now.Added = e.engine.Cache()
	}); err != nil {
		e.answer(w, r, nil, err)
		return
	}
	s, closer := e.sender(w, r)
	defer closer()
	if after == 0 || after > now.Seq {
		after = now.Seq
		if !s.send(0, now) {
			return
		}
	}
	e.follow(s, after)
}

func (e *life) follow(s *sender, after uint64) {
	for {
		events, next, changed := e.events.read(after)
		for _, ev := range events {
			after = ev.Seq
			if !s.send(0, ev) {
				return
			}
		}
		var timer <-chan time.Time
		if next >= 0 {
			timer = time.After(next)
		}
		if !s.wait(changed, timer) {
			return
		}
	}
}
