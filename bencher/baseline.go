package bencher

import (
	"fmt"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/reserver"
)

// baseline sends a request to a target immediately, as a simple load balancer does. The
// engine queues it and ends it at its deadline.
func (e *entry) baseline(r *request) {
	i := e.chooseTarget()
	if i < 0 {
		e.finish(r, coder.Errorf(coder.NoTarget, ""))
		return
	}
	t, b := e.b.targets[i], e.b
	r.attempts++
	id := fmt.Sprintf("%s-%d-%d", r.id, r.segment, r.attempts)
	e.inFlight[i]++
	end := func(_ messenger.Usage, err error) {
		b.send(func() {
			e.inFlight[i]--
			e.handleEnd(r, err)
		})
	}
	first := func() {
		b.send(func() {
			if r.lastSegment() && r.ttft == 0 {
				r.ttft = e.elapsed(r)
			}
		})
	}
	b.send(func() {
		if t.down {
			end(messenger.Usage{}, coder.Errorf(coder.TargetLost, ""))
			return
		}
		t.submit(id, &run{request: r, onFirst: first, onEnd: end}, e.priority(r), r.deadline().Sub(b.now))
	})
}

// chooseTarget returns the index of a target that is up, or -1. Both baselines detect a
// lost target immediately, which favours them over a real load balancer.
func (e *entry) chooseTarget() int {
	n := len(e.b.targets)
	best := -1
	for k := range n {
		i := (e.rotation + k) % n
		if e.b.targets[i].down {
			continue
		}
		if best < 0 || e.b.Kind == LeastOutstanding && e.inFlight[i] < e.inFlight[best] {
			best = i
		}
		if e.b.Kind == RoundRobin {
			break
		}
	}
	e.rotation++
	return best
}

// handleEnd handles the end of an attempt of a baseline. A request whose target was lost
// is retried, up to three attempts in all.
func (e *entry) handleEnd(r *request, err error) {
	if err != nil && coder.Of(err).Code == coder.TargetLost && r.attempts < 3 {
		e.baseline(r)
		return
	}
	if err != nil {
		e.finish(r, err)
		return
	}
	if r.lastSegment() {
		e.finish(r, nil)
		return
	}
	r.segment++
	e.baseline(r)
}

func outcome(u messenger.Usage, err error) reserver.Outcome {
	return reserver.Outcome{Usage: u, Lost: err != nil && coder.Of(err).Code == coder.TargetLost}
}

// priority returns the engine priority of a request sent by a baseline.
func (e *entry) priority(r *request) int {
	if !e.b.BaselinePriority {
		return 0
	}
	return messenger.Classes - 1 - int(r.class)
}
