package bencher

import (
	"fmt"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/reserver"
)

// baseline sends a request to a target at once, as a plain balancer does. The
// engine queues it; its own deadline ends it.
func (e *entry) baseline(r *request) {
	i := e.choose()
	if i < 0 {
		e.finish(r, coder.Errorf(coder.NoTarget, ""))
		return
	}
	t, b := e.b.targets[i], e.b
	r.tries++
	id := fmt.Sprintf("%s-%d-%d", r.id, r.segment, r.tries)
	e.flight[i]++
	end := func(_ messenger.Usage, err error) {
		b.net(func() {
			e.flight[i]--
			e.ended(r, err)
		})
	}
	first := func() {
		b.net(func() {
			if r.lastPart() && r.first == 0 {
				r.first = e.since(r)
			}
		})
	}
	b.net(func() {
		if t.down {
			end(messenger.Usage{}, coder.Errorf(coder.TargetLost, ""))
			return
		}
		t.submit(id, &run{r: r, first: first, end: end}, e.rank(r), r.deadline().Sub(b.now))
	})
}

// choose returns the index of a target that is up, or -1. Both baselines hear
// of a lost target at once, which flatters them.
func (e *entry) choose() int {
	n := len(e.b.targets)
	best := -1
	for k := range n {
		i := (e.turn + k) % n
		if e.b.targets[i].down {
			continue
		}
		if best < 0 || e.b.Kind == LeastOutstanding && e.flight[i] < e.flight[best] {
			best = i
		}
		if e.b.Kind == RoundRobin {
			break
		}
	}
	e.turn++
	return best
}

func (e *entry) ended(r *request, err error) {
	if err != nil && coder.Of(err).Code == coder.TargetLost && r.tries < 3 {
		e.baseline(r)
		return
	}
	if err != nil {
		e.finish(r, err)
		return
	}
	if r.lastPart() {
		e.finish(r, nil)
		return
	}
	r.segment++
	e.baseline(r)
}

func outcome(u messenger.Usage, err error) reserver.Outcome {
	return reserver.Outcome{Usage: u, Lost: err != nil && coder.Of(err).Code == coder.TargetLost}
}

// rank is the priority that a baseline gives a request.
func (e *entry) rank(r *request) int {
	if !e.b.Ranked {
		return 0
	}
	return messenger.Classes - 1 - int(r.class)
}
