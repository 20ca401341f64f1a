package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	slots     = 6
	eventGap  = 100 * time.Millisecond
	stampText = "3e1b.07.5a2.600.0.c9f2a4d1"
)

// runRecord is one run of a request at a target.
type runRecord struct {
	at      time.Time
	id      string // of the request
	account string
	ended   bool // the whole answer was written
}

// target stands in for a target of a plain service, in one of its starts.
type target struct {
	f      *fleet
	id     string
	addr   string
	work   time.Duration // of a request that is not streamed
	events int           // of a stream; requests are not streamed if zero
	born   int64

	server *http.Server
	stop   context.CancelFunc
	ctx    context.Context
	places chan struct{}
	queued atomic.Int64
	wg     sync.WaitGroup

	mu       sync.Mutex
	runs     []*runRecord
	sequence int
	node     int // keeper that takes the heartbeats
}

// startTarget starts a target at the address with the given last byte.
func (f *fleet) startTarget(last int, work time.Duration, events int) (*target, error) {
	now := time.Now()
	t := &target{
		f: f, id: fmt.Sprintf("i-%d-%d", last, now.UnixMilli()), addr: fmt.Sprintf("%s%d:%d", f.subnet, last, portTarget),
		work: work, events: events, born: now.UnixMilli(), places: make(chan struct{}, slots), node: last % keeperCount,
	}
	l, err := net.Listen("tcp", t.addr)
	if err != nil {
		return nil, fmt.Errorf("target: %w", err)
	}
	t.ctx, t.stop = context.WithCancel(context.Background())
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve), ReadHeaderTimeout: deadline}
	t.wg.Add(2)
	go func() {
		defer t.wg.Done()
		_ = t.server.Serve(l) // until crash
	}()
	go func() {
		defer t.wg.Done()
		t.announce()
	}()
	f.targets = append(f.targets, t)
	f.rec.line("target %s started at %s", t.id, t.addr)
	return t, nil
}

// crash ends the target at once, with all its connections.
func (t *target) crash() {
	t.stop()
	_ = t.server.Close() // the connections end with the process
	t.wg.Wait()
}

// announce sends heartbeats until the target ends.
func (t *target) announce() {
	for t.ctx.Err() == nil {
		t.sequence++
		t.callControl("heartbeat", map[string]any{
			"backend": service, "address": t.addr, "zone": zone, "version": "v1", "slots": slots, "state": "ready", "coldRemainingMs": 0,
			"sequence": t.sequence, "born": t.born,
		})
		sleep(t.ctx, time.Now().Add(heartbeat))
	}
}

// callControl makes a call to one keeper after the other until one acknowledges it.
func (t *target) callControl(call string, body map[string]any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // the types above have an encoding
	}
	for t.ctx.Err() == nil {
		ip := t.f.keeperIP(t.node)
		status, err := t.f.callControl(t.ctx, ip, "/v1/instances/"+t.id+"/"+call, data)
		if err == nil && status == http.StatusOK {
			t.f.rec.detail("%s acknowledged the %s of %s", ip, call, t.id)
			return
		}
		t.f.rec.detail("%s answered the %s of %s with %d %v", ip, call, t.id, status, err)
		t.node = (t.node + 1) % keeperCount
		sleep(t.ctx, time.Now().Add(100*time.Millisecond))
	}
}

func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Instance-Load", fmt.Sprintf("%d,%d,%d", len(t.places), max(0, t.queued.Load()), slots))
	if id == "" {
		refuse(w, http.StatusBadRequest)
		return
	}
	if named := r.Header.Get("X-Target-Instance"); named != "" && named != t.id {
		w.Header().Set("At-Server", t.id)
		refuse(w, http.StatusMisdirectedRequest)
		return
	}
	if !t.takePlace(r.Context()) {
		refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer func() { <-t.places }()
	run := &runRecord{at: time.Now(), id: id, account: r.Header.Get("X-Tenant")}
	t.mu.Lock()
	t.runs = append(t.runs, run)
	t.mu.Unlock()
	t.f.rec.detail("target %s runs %s of %q: %s %s", t.id, id, run.account, r.Method, r.URL.Path)
	done := t.answer(r.Context(), w)
	t.mu.Lock()
	run.ended = done
	t.mu.Unlock()
}

func refuse(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}

// takePlace waits for a place among those that run. It fails if too many wait.
func (t *target) takePlace(ctx context.Context) bool {
	if t.queued.Add(1) > queueSize {
		t.queued.Add(-1)
		return false
	}
	defer t.queued.Add(-1)
	select {
	case t.places <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// answer writes the answer and reports whether it is complete.
func (t *target) answer(ctx context.Context, w http.ResponseWriter) bool {
	w.Header().Set("X-Response-Stamp", stampText)
	if t.events == 0 {
		if !pause(ctx, t.work) {
			return false
		}
		_, err := fmt.Fprintf(w, "answer of %s\n", t.id)
		return err == nil
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for i := range t.events {
		if !pause(ctx, eventGap) {
			return false
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event\n\n", i+1); err != nil || flush.Flush() != nil {
			return false
		}
	}
	return true
}

// pause waits and reports whether ctx has not ended.
func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// runsAfter returns the runs that began after a time.
func (t *target) runsAfter(at time.Time) []*runRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*runRecord
	for _, r := range t.runs {
		if r.at.After(at) {
			out = append(out, r)
		}
	}
	return out
}

// ranOf returns the run of a request, nil if there is none.
func (f *fleet) ranOf(id string) *runRecord {
	for _, t := range f.targets {
		for _, r := range t.runsAfter(time.Time{}) {
			if r.id == id {
				return r
			}
		}
	}
	return nil
}
