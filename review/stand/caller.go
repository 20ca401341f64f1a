package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// caller stands in for a client. It keeps its connection open for many requests.
type caller struct {
	f    *fleet
	key  string
	http *http.Client
}

func (f *fleet) newCaller(key string) *caller {
	return &caller{f: f, key: key, http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1}}}
}

// answer is what a caller got for one request.
type answer struct {
	id      string
	sentAt  time.Time
	endedAt time.Time
	status  int   // zero if there was no answer
	own     bool  // it is not that of a target
	err     error // why the answer is not complete, nil if it is
}

// send sends one request, without retries.
func (c *caller) send(ctx context.Context, p *process, method, path string) answer {
	a := answer{id: fmt.Sprintf("%016x", 0x1c41d07be2a00000+lastRequest.Add(1)), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, p.url()+path, nil)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("X-Api-Key", c.key)
	resp, err := c.http.Do(req)
	if err == nil {
		a.status, a.own = resp.StatusCode, resp.Header.Get("X-Response-Stamp") == ""
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	a.err, a.endedAt = err, time.Now()
	c.f.rec.detail("request %s to %s, sent at %.3f: %s %s: %d %v", a.id, p.name, a.sentAt.Sub(c.f.rec.start).Seconds(), method, path, a.status, err)
	return a
}
