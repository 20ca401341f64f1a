package segmenter

import (
	"context"
	"encoding/json"
	"unicode/utf8"

	"github.com/sourcegraph/conc"

	"bramleyshunt/coder"
	"bramleyshunt/dispatcher"
	"bramleyshunt/ganger"
	"bramleyshunt/messenger"
)

// run is one request in hand.
type run struct {
	Job
	wg   conc.WaitGroup // its members
	done chan struct{}  // closed once end and err stand
	end  messenger.End
	err  error

	// On the control goroutine only.
	usage  messenger.Usage
	before bool // Before was called
}

// member is one attempt of a gang.
type member struct {
	run     *run
	address string
	reserve messenger.Reserve
	stop    context.CancelFunc
	turn    chan ganger.Action // its Run
	granted bool               // by its own goroutine
}

// body is the request of one segment.
type body struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Output int    `json:"max_tokens"`
	Stream bool   `json:"stream"`
}

// reserve starts a member's attempt.
func (s *Segmenter) reserve(a ganger.Action) {
	r := s.runs[a.ID]
	ctx, stop := context.WithCancel(s.ctx)
	m := &member{
		run: r, address: a.Address, stop: stop, turn: make(chan ganger.Action, 1),
		reserve: messenger.Reserve{
			Attempt: a.Attempt, Incarnation: a.Incarnation, Account: r.Account, Prompt: a.Tokens, Output: a.Output,
			Priority: r.Priority, Remaining: a.Remaining, Fingerprint: r.Fingerprint, Gang: true,
		},
	}
	s.members[a.Attempt] = m
	r.wg.Go(func() {
		defer stop()
		s.attempt(ctx, m)
	})
}

// attempt carries a member from its reservation to the end of its run.
func (s *Segmenter) attempt(ctx context.Context, m *member) {
	last := false
	end, err := s.cfg.Dispatch.Do(ctx, dispatcher.Job{
		Address: m.address,
		Reserve: m.reserve,
		Run:     messenger.Run{Attempt: m.reserve.Attempt, Incarnation: m.reserve.Incarnation},
		Ready: func(ctx context.Context, run *messenger.Run) error {
			a, err := s.ready(ctx, m)
			last = !a.Prefill
			if err == nil {
				err = m.run.complete(run, a)
			}
			return err
		},
		Emit: func(c messenger.Chunk) error { return s.emit(m, c) },
	})
	e := ganger.Event{Kind: ganger.Exported, Attempt: m.reserve.Attempt, Export: end.Export, Err: err}
	switch {
	case err != nil && m.granted:
		e.Kind = ganger.Lost
	case err != nil:
		e.Kind = ganger.Refused
	case last:
		e.Kind = ganger.Ended
	}
	s.step(func() { s.ended(m, e, end) })
}

// ended takes the outcome of a member that has not been freed.
func (s *Segmenter) ended(m *member, e ganger.Event, end messenger.End) {
	if s.members[e.Attempt] != m || m.run.closed() {
		return
	}
	if e.Err == nil {
		u := &m.run.usage
		u.Prompt += end.Usage.Prompt
		u.Cached += end.Usage.Cached
		u.Output += end.Usage.Output
		end.Usage = *u
		m.run.end = end
	}
	s.event(e)
}

func (r *run) closed() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// ready tells that a member is reserved and waits for its turn.
func (s *Segmenter) ready(ctx context.Context, m *member) (ganger.Action, error) {
	m.granted = true
	s.step(func() { s.event(ganger.Event{Kind: ganger.Granted, Attempt: m.reserve.Attempt}) })
	select {
	case <-ctx.Done():
		return ganger.Action{}, ctx.Err()
	case a := <-m.turn:
		return a, s.before(ctx, m, a)
	}
}

// before calls the request's hook ahead of its first segment. Its failure ends
// the request.
func (s *Segmenter) before(ctx context.Context, m *member, a ganger.Action) error {
	first := false
	s.step(func() {
		first = !m.run.before
		m.run.before = true
	})
	if !first || m.run.Before == nil {
		return nil
	}
	err := m.run.Before(ctx, a.Target)
	if err != nil {
		s.step(func() {
			m.run.err = err
			s.event(ganger.Event{Kind: ganger.Cancel, ID: m.run.ID})
		})
	}
	return err
}

// complete fills in the run of one segment. Its bounds are moved back to the
// start of a character.
func (r *run) complete(m *messenger.Run, a ganger.Action) error {
	data, err := json.Marshal(body{
		Model: r.Model, Prompt: r.Text[r.bound(a.Start):r.bound(a.End)], Output: r.Output, Stream: true,
	})
	if err != nil {
		return coder.Errorf(coder.Internal, "segment: %v", err)
	}
	m.Body, m.Import, m.Prefill, m.Remaining = data, a.Import, a.Prefill, a.Remaining
	return nil
}

func (r *run) bound(n int) int {
	for n < len(r.Text) && !utf8.RuneStart(r.Text[n]) {
		n--
	}
	return n
}

// emit passes on a piece of the answer. The first one needs the decider's word
// that the member is still the gang's.
func (s *Segmenter) emit(m *member, c messenger.Chunk) error {
	current := true
	if c.Seq == 1 {
		current = false
		s.step(func() {
			current = s.members[m.reserve.Attempt] == m && !m.run.closed()
			if current {
				s.event(ganger.Event{Kind: ganger.First, Attempt: m.reserve.Attempt})
			}
		})
	}
	if !current {
		return coder.Errorf(coder.GangLost, "attempt %s", m.reserve.Attempt)
	}
	return m.run.Emit(c)
}

// renew repeats a member's reservation before its lease ends.
func (s *Segmenter) renew(a ganger.Action) {
	m := s.members[a.Attempt]
	msg := m.reserve
	msg.Remaining = a.Remaining
	s.wg.Go(func() {
		var out messenger.Reserved
		err := s.ask(m.address, messenger.KindReserve, &msg, &out)
		if c := coder.Of(err); c != nil && c.Run == coder.NotRun {
			s.step(func() { s.event(ganger.Event{Kind: ganger.Refused, Attempt: a.Attempt, Err: err}) })
		}
	})
}

// free ends a member's attempt and asks its agent until that confirms it.
func (s *Segmenter) free(a ganger.Action) {
	if m := s.members[a.Attempt]; m != nil {
		m.stop()
		delete(s.members, a.Attempt)
	}
	s.wg.Go(func() {
		var out messenger.Cancelled
		if s.ask(a.Address, messenger.KindCancel, &messenger.Cancel{Attempt: a.Attempt}, &out) == nil {
			s.step(func() { s.event(ganger.Event{Kind: ganger.Freed, Attempt: a.Attempt}) })
		}
	})
}

func (s *Segmenter) ask(addr string, kind messenger.Kind, v, out any) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), controlLimit)
	defer cancel()
	conn, err := s.cfg.Dispatch.Pool.Get(ctx, addr)
	if err != nil {
		return err
	}
	return conn.Call(ctx, kind, v, out)
}
