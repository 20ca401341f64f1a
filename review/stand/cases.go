package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// failurePause is the shortest pause of a caller after a request that was not answered with 200.
const failurePause = time.Second

var bothAccounts = []account{{accountA, []string{keyA}}, {accountB, []string{keyB}}}

// begin starts keepers and targets, has a configuration acknowledged, and starts an entry.
func (f *fleet) begin(ctx context.Context, r route, accounts []account, targets int, work time.Duration, events int) (*process, error) {
	if err := f.startKeepers(); err != nil {
		return nil, err
	}
	e, err := f.startEntry(firstEntry)
	if err != nil {
		return nil, err
	}
	if _, err := f.putConfig(ctx, document(7, r, accounts)); err != nil {
		return nil, err
	}
	for i := range targets {
		if _, err := f.startTarget(firstTarget+i, work, events); err != nil {
			return nil, err
		}
	}
	if err := e.awaitReady(ctx); err != nil {
		return nil, err
	}
	sleep(ctx, time.Now().Add(contact+time.Second))
	return e, nil
}

// loop has callers send requests one after the other until the returned function is called,
// which returns the answers. next gives the method, path and pause of a request.
func (f *fleet) loop(ctx context.Context, p *process, keys []string, next func(caller, n int) (string, string, time.Duration)) func() []answer {
	ctx, cancel := context.WithCancel(ctx)
	var mu sync.Mutex
	var all []answer
	var wg sync.WaitGroup
	for i, key := range keys {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := f.newCaller(key)
			for n := 0; ctx.Err() == nil; n++ {
				method, path, wait := next(i, n)
				a := c.send(context.WithoutCancel(ctx), p, method, path) // ends in its own time
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
				if a.status != http.StatusOK {
					wait = max(wait, failurePause)
				}
				sleep(ctx, time.Now().Add(wait))
			}
		}()
	}
	return func() []answer {
		cancel()
		wg.Wait()
		return all
	}
}

// callers returns the keys of n callers of both accounts by turns.
func callers(n int) []string {
	var out []string
	for i := range n {
		out = append(out, []string{keyA, keyB}[i%2])
	}
	return out
}

// playHangup stops an entry, and has its settings file change while it stops.
func playHangup(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	e, err := f.begin(ctx, route{"stream", deadline, 300 * time.Millisecond, 1}, bothAccounts, 3, 0, 25)
	if err != nil {
		return false, err
	}
	end := f.loop(ctx, e, callers(9), func(int, int) (string, string, time.Duration) { return http.MethodPost, prefix + "2f", 0 })
	sleep(ctx, time.Now().Add(4*time.Second))
	stopped := time.Now()
	f.rec.line("SIGTERM to %s", e.name)
	e.signal(syscall.SIGTERM)
	sleep(ctx, stopped.Add(time.Second))
	if trouble {
		listen := map[string]string{"front": fmt.Sprintf("%s:%d", e.ip, portFront), "ready": fmt.Sprintf("%s:%d", e.ip, portReady)}
		s := f.seeds()
		if err := f.writeSettings(e, "front", listen, []string{s[2], s[0], s[1]}); err != nil {
			return false, err
		}
		f.rec.line("settings of %s changed, SIGHUP", e.name)
		e.signal(syscall.SIGHUP)
	}
	answers := end()
	select {
	case <-e.exited:
	case <-time.After(time.Until(stopped.Add(grace))):
		f.rec.line("SIGKILL to %s at the end of the grace period", e.name)
		e.signal(syscall.SIGKILL)
	}
	cut := 0
	for _, a := range answers {
		if run := f.ranOf(a.id); run != nil && a.err != nil {
			cut++
			f.rec.line("request %s, sent %.3f s after SIGTERM, ran and has no whole answer %.3f s after SIGTERM: %v", a.id, a.sentAt.Sub(stopped).Seconds(), a.endedAt.Sub(stopped).Seconds(), a.err)
		}
	}
	f.rec.line("%d requests, %d of them ran and were cut off", len(answers), cut)
	return cut > 0, nil
}

// playQuarantine has two of twelve targets crash at the same time, while callers of two
// accounts ask for the same page.
func playQuarantine(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	const work, targets, crashed = 200 * time.Millisecond, 12, 2
	e, err := f.begin(ctx, route{"safe", 4 * time.Second, 600 * time.Millisecond, 2}, bothAccounts, targets, work, 0)
	if err != nil {
		return false, err
	}
	end := f.loop(ctx, e, callers(72), func(i, n int) (string, string, time.Duration) {
		if i < 60 {
			return http.MethodGet, prefix + "standings", 100 * time.Millisecond
		}
		return http.MethodGet, fmt.Sprintf("%srunner/%d-%d", prefix, i, n), 100 * time.Millisecond
	})
	sleep(ctx, time.Now().Add(5*time.Second))
	crash := time.Now()
	for _, t := range f.targets[:crashed] {
		if trouble {
			f.rec.line("target %s crashes", t.id)
			t.crash()
		}
	}
	sleep(ctx, crash.Add(4500*time.Millisecond))
	for i := range crashed {
		if !trouble {
			break
		}
		if _, err := f.startTarget(firstTarget+i, work, 0); err != nil { // it is back
			return false, err
		}
	}
	sleep(ctx, crash.Add(15*time.Second))
	answers := end()
	denied, late := f.countDenied(answers, crash.Add(8*time.Second))
	allowed := 5 + len(answers)/500
	f.rec.line("%d requests, %d denied, %d of them sent later than 8 s after the crash, allowed %d", len(answers), denied, late, allowed)
	return denied > allowed, nil
}

// countDenied counts the answers that deny a request, and those of requests that were sent
// after a time.
func (f *fleet) countDenied(answers []answer, after time.Time) (denied, late int) {
	byStatus := map[int]int{}
	for _, a := range answers {
		byStatus[a.status]++
		if !a.own || a.status < 300 || a.status >= 500 || a.status == 408 || a.status == 421 || a.status == 429 {
			continue
		}
		denied++
		if a.sentAt.After(after) {
			late++
		}
	}
	f.rec.line("answers by status: %v", byStatus)
	return denied, late
}

// playRevoke takes the last account away, with its key.
func playRevoke(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	r := route{"unsafe", 4 * time.Second, 300 * time.Millisecond, 1}
	e, err := f.begin(ctx, r, bothAccounts[:1], 3, 60*time.Millisecond, 0)
	if err != nil {
		return false, err
	}
	end := f.loop(ctx, e, []string{keyA}, func(int, int) (string, string, time.Duration) {
		return http.MethodPost, prefix + "2f", 200 * time.Millisecond
	})
	sleep(ctx, time.Now().Add(3*time.Second))
	acked := time.Now()
	if trouble {
		if acked, err = f.putConfig(ctx, document(9, r, nil)); err != nil {
			return false, err
		}
	}
	sleep(ctx, acked.Add(revokeBound+5*time.Second))
	late, unknown := 0, 0
	for _, a := range end() {
		if a.sentAt.After(acked.Add(revokeBound)) && f.ranOf(a.id) != nil {
			late++
		}
	}
	if a := f.newCaller("never-configured").send(ctx, e, http.MethodPost, prefix+"2f"); f.ranOf(a.id) != nil {
		unknown++
	}
	f.rec.line("%d requests with the key that were sent later than %s after the acknowledgement ran, %d with a key that no configuration held", late, revokeBound, unknown)
	if !trouble {
		return unknown > 0, nil
	}
	return late > 0 || unknown > 0, nil
}
