// Package segmenter runs prompts beyond one engine's memory on several targets.
// It carries out what package ganger decides: one control goroutine owns the
// gangs, and each member is an attempt of package dispatcher that waits, once
// reserved, until its segment's turn has come.
package segmenter

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"bramleyshunt/coder"
	"bramleyshunt/dispatcher"
	"bramleyshunt/ganger"
	"bramleyshunt/messenger"
)

const (
	tick         = 100 * time.Millisecond
	controlLimit = 2 * time.Second // for a renewal or a release
	laneShort    = "short"         // not for gangs
)

// Config says where members are found. Dispatch and Targets are needed.
type Config struct {
	Dispatch *dispatcher.Dispatcher
	Targets  func(model string) []messenger.Target // live ones of a model
	Most     int                                   // gangs of a model at once; ganger.DefaultMost if zero
	Trace    func(ganger.Event)                    // each answer of an agent, before it is acted on; may be nil
	Now      func() time.Time                      // time.Now if nil
}

// Job is one request.
type Job struct {
	ID          string // unique for ever
	Account     string
	Model       string
	Text        string // the whole prompt
	Prompt      int    // predicted tokens
	Output      int    // tokens
	Priority    int
	Fingerprint uint64
	Deadline    time.Time
	Once        bool                                           // the last segment is started at most once
	Before      func(ctx context.Context, target string) error // once, before the first segment runs
	Emit        func(messenger.Chunk) error                    // chunks in sequence, each once
}

// Segmenter runs gangs.
type Segmenter struct {
	cfg    Config
	ctx    context.Context
	ops    chan func()
	wg     conc.WaitGroup
	ganger *ganger.Ganger // by the control goroutine only, as are the maps

	runs    map[string]*run
	members map[string]*member
}

// New starts a Segmenter. The returned function ends its gangs and frees what
// they hold, as far as the agents answer in time.
func New(cfg Config) (*Segmenter, func()) {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Segmenter{
		cfg: cfg, ctx: ctx, ops: make(chan func()), ganger: &ganger.Ganger{Most: cfg.Most},
		runs: map[string]*run{}, members: map[string]*member{},
	}
	s.wg.Go(s.control)
	return s, func() {
		cancel()
		s.wg.Wait()
	}
}

// Do runs a request to its end. The error says by its Run whether it ran; a part
// of the answer may have been emitted if it did.
func (s *Segmenter) Do(ctx context.Context, j Job) (messenger.End, error) {
	r := &run{Job: j, done: make(chan struct{})}
	if !s.step(func() { s.begin(r) }) {
		return messenger.End{}, coder.Errorf(coder.NotReady, "")
	}
	select {
	case <-r.done:
	case <-ctx.Done():
		s.step(func() { s.event(ganger.Event{Kind: ganger.Cancel, ID: j.ID}) })
		<-r.done
	}
	r.wg.Wait()
	if r.err != nil {
		return messenger.End{}, r.err
	}
	return r.end, nil
}

// step runs fn on the control goroutine and waits for it. It returns false once
// the Segmenter has ended.
func (s *Segmenter) step(fn func()) bool {
	done := make(chan struct{})
	select {
	case s.ops <- func() { fn(); close(done) }:
		<-done
		return true
	case <-s.ctx.Done():
		return false
	}
}

func (s *Segmenter) control() {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		due := t.C
		if s.ganger.Idle() {
			due = nil
		}
		select {
		case <-s.ctx.Done():
			s.quit()
			return
		case fn := <-s.ops:
			fn()
		case <-due:
			s.offer()
		}
	}
}

// quit ends every gang; their releases are sent once more.
func (s *Segmenter) quit() {
	for id := range s.runs {
		s.event(ganger.Event{Kind: ganger.Cancel, ID: id})
	}
}

// begin offers the model's targets and starts a gang.
func (s *Segmenter) begin(r *run) {
	s.runs[r.ID] = r
	s.event(s.offerOf(r.Model))
	s.event(ganger.Event{Kind: ganger.Begin, Job: ganger.Job{
		ID: r.ID, Model: r.Model, Text: len(r.Text), Prompt: r.Prompt, Output: r.Output, Deadline: r.Deadline, Once: r.Once,
	}})
}

// offer renews the offers of the models in use, and lets time pass.
func (s *Segmenter) offer() {
	models := map[string]bool{}
	for _, r := range s.runs {
		models[r.Model] = true
	}
	for m := range models {
		s.event(s.offerOf(m))
	}
	s.event(ganger.Event{Kind: ganger.Tick})
}

func (s *Segmenter) offerOf(model string) ganger.Event {
	e := ganger.Event{Kind: ganger.Offer, Model: model}
	for _, t := range s.cfg.Targets(model) {
		if t.Leaving || t.Lane == laneShort {
			continue
		}
		e.Candidates = append(e.Candidates, ganger.Candidate{
			ID: t.ID, Address: t.Address, Incarnation: t.Incarnation,
			Memory: t.Load.Memory, Free: t.Load.Memory - t.Load.Used, Speed: t.Load.Speed, Pace: t.Load.Pace,
		})
	}
	return e
}

// event gives an event to the decider and carries out what follows.
func (s *Segmenter) event(e ganger.Event) {
	if s.cfg.Trace != nil && e.Attempt != "" {
		s.cfg.Trace(e)
	}
	for _, a := range s.ganger.Step(s.cfg.Now(), e) {
		s.carry(a)
	}
}

func (s *Segmenter) carry(a ganger.Action) {
	switch a.Kind {
	case ganger.Reserve:
		s.reserve(a)
	case ganger.Renew:
		s.renew(a)
	case ganger.Run:
		s.members[a.Attempt].turn <- a
	case ganger.Free:
		s.free(a)
	case ganger.Done, ganger.Failed:
		r := s.runs[a.ID]
		delete(s.runs, a.ID)
		if a.Err != nil && r.err == nil {
			r.err = a.Err
		}
		close(r.done)
	}
}
