package bencher

import (
	"container/heap"
	"time"
)

// event is a function to be run at a point in virtual time. Events at the same time
// run in the order in which they were scheduled.
type event struct {
	at  time.Time
	seq uint64
	fn  func()
}

// eventQueue is a heap of events; the earliest comes first.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return x
}

// loop is a discrete-event simulation: it runs scheduled events in the order of their
// virtual time.
type loop struct {
	now    time.Time
	oneWay time.Duration // network latency of a message in one direction
	seq    uint64
	events eventQueue
}

// after schedules fn to run once d has passed.
func (l *loop) after(d time.Duration, fn func()) {
	l.seq++
	heap.Push(&l.events, event{at: l.now.Add(d), seq: l.seq, fn: fn})
}

// send schedules fn to run after the one-way network latency.
func (l *loop) send(fn func()) { l.after(l.oneWay, fn) }

// runNext advances the virtual time to the earliest event and runs it.
func (l *loop) runNext() {
	e := heap.Pop(&l.events).(event)
	l.now = e.at
	e.fn()
}
