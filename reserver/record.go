package reserver

import (
	"container/heap"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Phase -output=phase_string.go

// Phase is what the target knows of an attempt. The zero value is Unseen.
type Phase uint8

// Phases of an attempt.
const (
	Unseen    Phase = iota // no record
	Reserved               // memory and a slot are held under a lease
	Running                // started, and not ended yet
	Holding                // ended, but its KV cache is still held for the next gang member
	Ended                  // ran; holds nothing
	Withdrawn              // a tombstone: never started and never will
)

// record is one attempt. Records of ended and withdrawn attempts are kept so
// that late frames of them are refused.
type record struct {
	attempt     string
	phase       Phase
	code        coder.Code // why the attempt was withdrawn
	unsure      bool       // withdrawn, but may have run in a time without record
	incarnation uint64
	fingerprint uint64
	account     string
	key         string
	batch       string
	prompt      int
	tokens      int
	priority    int
	gang        bool
	filled      bool // the prompt has been prefilled
	lost        bool // reported as lost
	lease       time.Time
	deadline    time.Time
	started     time.Time
	first       time.Time
	life        time.Duration
	forget      time.Duration // observed time at which the record is dropped
	index       int           // in the heap of kept records
}

// past returns what is known of a withdrawn attempt's execution.
func (r *record) past() coder.Run {
	if r.unsure {
		return coder.Unknown
	}
	return coder.NotRun
}

// refusal is the answer to any message that would start a withdrawn attempt.
func (r *record) refusal() error {
	e := coder.Errorf(r.code, "attempt %s", r.attempt)
	e.Run = r.past()
	return e
}

func (r *record) live() bool {
	return r.phase == Reserved || r.phase == Running || r.phase == Holding
}

// waiting returns the prompt tokens that have yet to be prefilled.
func (r *record) waiting() int {
	if r.filled || r.phase != Reserved && r.phase != Running {
		return 0
	}
	return r.prompt
}

// long reports whether the prompt counts against the share of long prefill.
func (r *record) long() bool { return messenger.ClassOf(r.prompt) >= messenger.Long }

// kept orders records by the time at which they are dropped.
type kept []*record

var _ heap.Interface = (*kept)(nil)

func (k kept) Len() int           { return len(k) }
func (k kept) Less(i, j int) bool { return k[i].forget < k[j].forget }

func (k kept) Swap(i, j int) {
	k[i], k[j] = k[j], k[i]
	k[i].index, k[j].index = i, j
}

// Push appends a *record.
func (k *kept) Push(x any) {
	r := x.(*record)
	r.index = len(*k)
	*k = append(*k, r)
}

// Pop removes the last record.
func (k *kept) Pop() any {
	old := *k
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*k = old[:len(old)-1]
	return r
}
