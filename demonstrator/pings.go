package demonstrator

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"bramleyshunt/sleeper"
)

const (
	pingCount   = 40
	pingEvery   = 250 * time.Millisecond
	pingTimeout = 8 * time.Second
)

// pings are calls of a plain service that may run at most once. Each is sent
// twice, through different entries, with the same Idempotency-Key.
type pings struct {
	sent     int
	answered int
	refused  int
	bodies   []string
	known    []bool // an answer told that the ping ran
}

func (p *pings) send(ctx context.Context, f *fleet) {
	for i := range pingCount {
		body := fmt.Sprintf("runner-%d at checkpoint %d", i, i%7)
		p.bodies = append(p.bodies, body)
		p.known = append(p.known, false)
		p.sent++
		for _, e := range f.entries {
			p.note(i, ping(ctx, e.http, fmt.Sprintf("ping-%d", i), body))
		}
		if sleeper.Sleep(ctx, pingEvery) != nil {
			return
		}
	}
}

func (p *pings) note(i int, ok bool) {
	if ok {
		p.answered++
		p.known[i] = true
		return
	}
	p.refused++
}

// ping reports whether the call was answered as run.
func ping(ctx context.Context, base, key, body string) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/service/spurbuch/ping", strings.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+accountToken)
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("Request-Timeout", "5")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// posts counts how often the plain targets recorded ping i.
func (p *pings) posts(f *fleet, i int) int {
	n := 0
	for _, e := range f.plain {
		n += e.PostCount("/ping", p.bodies[i])
	}
	return n
}

func (p *pings) count(f *fleet, match func(i, posts int) bool) int {
	n := 0
	for i := range p.bodies {
		if match(i, p.posts(f, i)) {
			n++
		}
	}
	return n
}

func (p *pings) recorded(f *fleet) int {
	return p.count(f, func(_, posts int) bool { return posts > 0 })
}

func (p *pings) doubled(f *fleet) int {
	return p.count(f, func(_, posts int) bool { return posts > 1 })
}

// lost counts pings that an answer called run but that no target recorded.
func (p *pings) lost(f *fleet) int {
	return p.count(f, func(i, posts int) bool { return p.known[i] && posts == 0 })
}
