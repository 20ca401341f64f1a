package faker

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// ledger is what a plain service has executed. It survives a kill, as a
// database behind the service would.
type ledger struct {
	mu      sync.Mutex
	entries []entry
}

type entry struct {
	Path string `json:"path"`
	Body string `json:"body"`
}

func (l *ledger) add(path, body string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, entry{Path: path, Body: body})
	return len(l.entries)
}

func (l *ledger) count(path, body string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.entries {
		if e.Path == path && e.Body == body {
			n++
		}
	}
	return n
}

func (l *ledger) list(path string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	bodies := []string{}
	for _, e := range l.entries {
		if e.Path == path {
			bodies = append(bodies, e.Body)
		}
	}
	return bodies
}

// plain is the answer of the plain service.
type plain struct {
	Method string   `json:"method"`
	Path   string   `json:"path"`
	Body   string   `json:"body"`
	Number int      `json:"number,omitempty"` // of the executed POST
	Posts  []string `json:"posts,omitempty"`  // bodies executed on the path, for GET
}

// servePlain executes POSTs and lists them on GET. The query may ask it to wait
// before ("wait", seconds) or after ("slow", seconds) executing, or to answer
// with another status ("status").
func (e *life) servePlain(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil || !e.delay(r, "wait") {
		return
	}
	p := plain{Method: r.Method, Path: r.URL.Path, Body: string(data)}
	switch r.Method {
	case http.MethodPost:
		p.Number = e.f.ledger.add(p.Path, p.Body)
	case http.MethodGet:
		p.Posts = e.f.ledger.list(p.Path)
	}
	if !e.delay(r, "slow") {
		return
	}
	if status, err := strconv.Atoi(r.URL.Query().Get("status")); err == nil {
		w.WriteHeader(status)
	}
	if r.Method == http.MethodHead {
		return
	}
	e.answer(w, r, p, nil)
}

// delay waits as the query asks; it returns false when the exchange has ended.
func (e *life) delay(r *http.Request, key string) bool {
	seconds, err := strconv.ParseFloat(r.URL.Query().Get(key), 64)
	if err != nil {
		return e.pass(r.Context())
	}
	t := time.NewTimer(time.Duration(seconds * float64(time.Second)))
	defer t.Stop()
	select {
	case <-t.C:
		return e.pass(r.Context())
	case <-r.Context().Done():
		return false
	case <-e.ctx.Done():
		return false
	}
}
