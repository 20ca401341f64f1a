package demonstrator

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"bramleyshunt/fetcher"

	"bramleyshunt/sleeper"
)

const (
	pingCount    = 40
	pingInterval = 250 * time.Millisecond
	pingTimeout  = 8 * time.Second
)

// pings holds the results of calls to a plain service that may be executed at most
// once. Each is sent twice, through different entries, with the same Idempotency-Key.
type pings struct {
	sent      int
	answered  int      // calls answered as executed; up to two per ping
	refused   int      // calls refused or without an answer
	bodies    []string // by ping
	confirmed []bool   // by ping: an answer reported that it was executed
}

func (p *pings) send(ctx context.Context, f *fleet) {
	for i := range pingCount {
		body := fmt.Sprintf("runner-%d at checkpoint %d", i, i%7)
		p.bodies = append(p.bodies, body)
		p.confirmed = append(p.confirmed, false)
		p.sent++
		for _, e := range f.entries {
			p.addResult(i, ping(ctx, e.http, fmt.Sprintf("ping-%d", i), body))
		}
		if sleeper.Sleep(ctx, pingInterval) != nil {
			return
		}
	}
}

func (p *pings) addResult(i int, executed bool) {
	if executed {
		p.answered++
		p.confirmed[i] = true
		return
	}
	p.refused++
}

// ping sends one call and reports whether the answer says that it was executed.
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
	resp, err := fetcher.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// posts returns how many times the plain targets executed ping i.
func (p *pings) posts(f *fleet, i int) int {
	n := 0
	for _, e := range f.services {
		n += e.PostCount("/ping", p.bodies[i])
	}
	return n
}

// count returns the number of pings that match accepts.
func (p *pings) count(f *fleet, match func(i, posts int) bool) int {
	n := 0
	for i := range p.bodies {
		if match(i, p.posts(f, i)) {
			n++
		}
	}
	return n
}

// recorded returns the number of pings that a target executed.
func (p *pings) recorded(f *fleet) int {
	return p.count(f, func(_, posts int) bool { return posts > 0 })
}

// duplicated returns the number of pings that were executed more than once.
func (p *pings) duplicated(f *fleet) int {
	return p.count(f, func(_, posts int) bool { return posts > 1 })
}

// lost returns the number of pings that an answer reported as executed although no
// target executed them.
func (p *pings) lost(f *fleet) int {
	return p.count(f, func(i, posts int) bool { return p.confirmed[i] && posts == 0 })
}
