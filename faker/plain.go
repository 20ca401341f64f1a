package faker

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// postLog records the POSTs that a plain service has executed. It survives a kill,
// as a database behind the service would.
type postLog struct {
	mu    sync.Mutex
	posts []executedPost
}

type executedPost struct {
	Path string `json:"path"`
	Body string `json:"body"`
}

func (l *postLog) add(path, body string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.posts = append(l.posts, executedPost{Path: path, Body: body})
	return len(l.posts)
}

func (l *postLog) count(path, body string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, p := range l.posts {
		if p.Path == path && p.Body == body {
			n++
		}
	}
	return n
}

func (l *postLog) list(path string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	bodies := []string{}
	for _, p := range l.posts {
		if p.Path == path {
			bodies = append(bodies, p.Body)
		}
	}
	return bodies
}

// plainResponse is the JSON response of the plain service.
type plainResponse struct {
	Method string   `json:"method"`
	Path   string   `json:"path"`
	Body   string   `json:"body"`
	Number int      `json:"number,omitempty"` // sequence number of the executed POST, from 1
	Posts  []string `json:"posts,omitempty"`  // bodies of the POSTs executed on the path, for GET
}

// servePlain executes POSTs and lists them on GET. Query parameters delay the
// response before ("wait", seconds) or after ("slow", seconds) the execution, or
// set its status ("status").
func (e *instance) servePlain(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil || !e.delay(r, "wait") {
		return
	}
	p := plainResponse{Method: r.Method, Path: r.URL.Path, Body: string(data)}
	switch r.Method {
	case http.MethodPost:
		p.Number = e.f.posts.add(p.Path, p.Body)
	case http.MethodGet:
		p.Posts = e.f.posts.list(p.Path)
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
	e.respond(w, r, p, nil)
}

// delay waits for the number of seconds in the query parameter key. It returns false
// if the request or the instance has ended.
func (e *instance) delay(r *http.Request, key string) bool {
	seconds, err := strconv.ParseFloat(r.URL.Query().Get(key), 64)
	if err != nil {
		return e.awaitUnblocked(r.Context())
	}
	t := time.NewTimer(time.Duration(seconds * float64(time.Second)))
	defer t.Stop()
	select {
	case <-t.C:
		return e.awaitUnblocked(r.Context())
	case <-r.Context().Done():
		return false
	case <-e.ctx.Done():
		return false
	}
}
