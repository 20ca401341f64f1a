package bencher

import (
	"container/heap"
	"time"
)

// event is a function at a time; equal times go in the order of scheduling.
type event struct {
	at  time.Time
	seq uint64
	f   func()
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event; container/heap calls it.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event; container/heap calls it.
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// loop is virtual time: what happens next is what was set for the earliest moment.
type loop struct {
	now    time.Time
	oneWay time.Duration // of a message over the network
	seq    uint64
	events events
}

func (l *loop) after(d time.Duration, f func()) {
	l.seq++
	heap.Push(&l.events, event{at: l.now.Add(d), seq: l.seq, f: f})
}

// net sends f over the network, one way.
func (l *loop) net(f func()) { l.after(l.oneWay, f) }

// next runs the next event.
func (l *loop) next() {
	e := heap.Pop(&l.events).(event)
	l.now = e.at
	e.f()
}
