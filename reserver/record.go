package reserver

import (
	"container/heap"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Phase -output=phase_string.go

// Phase is the state of an attempt at the target. The zero value is Unseen.
type Phase uint8

// Phases of an attempt.
const (
	Unseen    Phase = iota // no record
	Reserved               // memory and a slot are held under a lease
	Running                // started and not yet ended
	Holding                // ended, but its KV cache is held for the next gang member
	Ended                  // ran; holds no resources
	Withdrawn              // a tombstone: has not started and will not
)

// record is one attempt. Records of ended and withdrawn attempts are retained so that
// delayed frames for them are refused.
type record struct {
	attempt      string
	phase        Phase
	code         coder.Code // reason for the withdrawal
	mayHaveRun   bool       // withdrawn without a record of whether it had run
	incarnation  uint64
	fingerprint  uint64
	account      string
	key          string
	batch        string
	prompt       int // tokens
	tokens       int // prompt and output
	bytes        int // of the body
	priority     int
	gang         bool
	prefilled    bool
	reportedLost bool
	lease        time.Time
	deadline     time.Time
	started      time.Time
	firstToken   time.Time
	lifetime     time.Duration // remaining time when it was reserved
	retainUntil  time.Duration // in terms of Reserver.elapsed
	index        int           // in the retention heap
}

// execution returns what is known about the execution of a withdrawn attempt.
func (r *record) execution() coder.Run {
	if r.mayHaveRun {
		return coder.Unknown
	}
	return coder.NotRun
}

// refusal is the answer to any message that would start a withdrawn attempt.
func (r *record) refusal() error {
	e := coder.Errorf(r.code, "attempt %s", r.attempt)
	e.Run = r.execution()
	return e
}

func (r *record) live() bool {
	return r.phase == Reserved || r.phase == Running || r.phase == Holding
}

// pendingTokens returns the number of prompt tokens that await prefill.
func (r *record) pendingTokens() int {
	if r.prefilled || r.phase != Reserved && r.phase != Running {
		return 0
	}
	return r.prompt
}

// isLong reports whether the prompt counts towards the share of long prompts.
func (r *record) isLong() bool { return messenger.ClassOf(r.prompt) >= messenger.Long }

// retentionHeap orders records by the time at which they are dropped.
type retentionHeap []*record

var _ heap.Interface = (*retentionHeap)(nil)

func (h retentionHeap) Len() int           { return len(h) }
func (h retentionHeap) Less(i, j int) bool { return h[i].retainUntil < h[j].retainUntil }

func (h retentionHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push appends a *record.
func (h *retentionHeap) Push(x any) {
	r := x.(*record)
	r.index = len(*h)
	*h = append(*h, r)
}

// Pop removes the last record.
func (h *retentionHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return r
}
