package agent_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/agent"
	"bramleyshunt/coder"
	"bramleyshunt/driver"
	"bramleyshunt/faker"
	"bramleyshunt/ganger"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
)

const gangOutput = 30 // tokens

// gangPrompt is more than twice the memory of an engine of newFaker.
var gangPrompt = strings.Repeat("page of a tender pack\n", 25000*4/22)

// post is one target of the fleet under test.
type post struct {
	f    *faker.Faker
	n    *node
	conn *muxer.Muxer
	cut  func()
}

// fleet carries out one gang over agents and engines, as an entry would.
type fleet struct {
	clock  *clock
	posts  map[string]*post
	names  []string
	g      *ganger.Ganger
	events chan ganger.Event
	dead   chan struct{} // closed when the entry is killed
	where  map[string]string
	lines  map[string]*muxer.Stream
	frees  map[string]int
	text   map[string]*strings.Builder
	last   string // attempt that decodes
	begun  bool   // its first piece came
	result *ganger.Action
}

func newFleet() *fleet {
	x := &fleet{
		clock: &clock{}, posts: map[string]*post{}, g: &ganger.Ganger{}, events: make(chan ganger.Event, 1000), dead: make(chan struct{}),
		where: map[string]string{}, lines: map[string]*muxer.Stream{}, frees: map[string]int{}, text: map[string]*strings.Builder{},
	}
	for i := range 4 {
		name := fmt.Sprint("t", i)
		p := &post{f: newFaker(faker.Config{})}
		x.posts[name] = p
		x.names = append(x.names, name)
		x.man(p)
	}
	return x
}

// man puts an agent before the engine of a post.
func (x *fleet) man(p *post) {
	p.n = before(p.f, "engine", func(cfg *agent.Config) { cfg.Now = x.clock.now })
	p.conn, p.cut = p.n.dial()
}

func (x *fleet) offer() ganger.Event {
	e := ganger.Event{Kind: ganger.Offer, Model: "m"}
	for _, name := range x.names {
		t := x.posts[name].n.agent.Target()
		if !t.Leaving {
			e.Candidates = append(e.Candidates, ganger.Candidate{
				ID: name, Incarnation: t.Incarnation, Memory: t.Load.Memory, Free: t.Load.Memory - t.Load.Used, Speed: t.Load.Speed, Pace: t.Load.Pace,
			})
		}
	}
	return e
}

// drive runs the gang to its end, or until fault returns true. fault is told
// of every answer of the agents before the gang is.
func (x *fleet) drive(fault func(n int, e ganger.Event) bool) {
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	x.step(x.offer())
	x.step(ganger.Event{Kind: ganger.Begin, Job: ganger.Job{
		ID: "g", Model: "m", Text: len(gangPrompt), Prompt: len(gangPrompt) / 4, Output: gangOutput, Deadline: time.Now().Add(time.Minute),
	}})
	for n := 0; x.result == nil || !x.g.Idle(); {
		select {
		case e := <-x.events:
			if fault(n, e) {
				return
			}
			n++
			x.begun = x.begun || e.Kind == ganger.First
			x.step(e)
		case <-t.C:
			x.step(x.offer())
		}
	}
}

func (x *fleet) step(e ganger.Event) {
	for _, a := range x.g.Step(time.Now(), e) {
		switch a.Kind {
		case ganger.Done, ganger.Failed:
			x.result = &a
		case ganger.Reserve:
			x.where[a.Attempt] = a.Target
			x.reserve(a)
		case ganger.Renew:
			conn, m := x.posts[a.Target].conn, reservation(a)
			go func() {
				if err := ask(conn, messenger.KindReserve, m, &messenger.Reserved{}); err != nil {
					x.tell(ganger.Event{Kind: ganger.Refused, Attempt: a.Attempt, Err: err})
				}
			}()
		case ganger.Run:
			x.run(a)
		case ganger.Free:
			x.free(a)
		}
	}
}

// tell gives an answer to the entry, unless that was killed.
func (x *fleet) tell(e ganger.Event) {
	select {
	case x.events <- e:
	case <-x.dead:
	}
}

func reservation(a ganger.Action) *messenger.Reserve {
	return &messenger.Reserve{Attempt: a.Attempt, Incarnation: a.Incarnation, Prompt: a.Tokens, Output: a.Output, Remaining: a.Remaining, Gang: true}
}

func (x *fleet) reserve(a ganger.Action) {
	s, err := x.posts[a.Target].conn.Open(messenger.KindReserve, reservation(a))
	if err != nil {
		x.tell(ganger.Event{Kind: ganger.Refused, Attempt: a.Attempt, Err: err})
		return
	}
	x.lines[a.Attempt] = s
	go func() {
		msg, err := s.Receive(context.Background())
		if err == nil {
			err = msg.Decode(&messenger.Reserved{})
		}
		if err != nil {
			x.tell(ganger.Event{Kind: ganger.Refused, Attempt: a.Attempt, Err: err})
			return
		}
		x.tell(ganger.Event{Kind: ganger.Granted, Attempt: a.Attempt})
	}()
}

func (x *fleet) run(a ganger.Action) {
	body, err := json.Marshal(map[string]any{"model": "m", "prompt": gangPrompt[a.Start:a.End], "max_tokens": gangOutput})
	Expect(err).NotTo(HaveOccurred())
	s, text := x.lines[a.Attempt], &strings.Builder{}
	x.text[a.Attempt] = text
	if !a.Prefill {
		x.last = a.Attempt
	}
	run := &messenger.Run{Attempt: a.Attempt, Incarnation: a.Incarnation, Remaining: a.Remaining, Body: body, Import: a.Import, Prefill: a.Prefill}
	if err := s.Send(messenger.KindRun, run); err != nil {
		x.tell(ganger.Event{Kind: ganger.Lost, Attempt: a.Attempt, Err: err})
		return
	}
	go x.follow(a, s, text)
}

func (x *fleet) follow(a ganger.Action, s *muxer.Stream, text *strings.Builder) {
	for {
		msg, err := s.Receive(context.Background())
		var end messenger.End
		var c messenger.Chunk
		var piece driver.Text
		switch {
		case err != nil:
		case msg.Kind == messenger.KindChunk:
			if err = msg.Decode(&c); err == nil {
				err = json.Unmarshal(c.Data, &piece)
			}
			text.WriteString(piece.Text)
			if c.Seq == 1 {
				x.tell(ganger.Event{Kind: ganger.First, Attempt: a.Attempt})
			}
		default:
			err = msg.Decode(&end)
		}
		switch {
		case err != nil:
			x.tell(ganger.Event{Kind: ganger.Lost, Attempt: a.Attempt, Err: err})
			return
		case msg.Kind == messenger.KindEnd && a.Prefill:
			x.tell(ganger.Event{Kind: ganger.Exported, Attempt: a.Attempt, Export: end.Export})
			<-s.Gone()
			x.tell(ganger.Event{Kind: ganger.Lost, Attempt: a.Attempt, Err: coder.Errorf(coder.Silent, "hold")})
			return
		case msg.Kind == messenger.KindEnd:
			x.tell(ganger.Event{Kind: ganger.Ended, Attempt: a.Attempt})
			return
		}
	}
}

// free cancels an attempt. The first cancel of each attempt of the first try is lost.
func (x *fleet) free(a ganger.Action) {
	x.frees[a.Attempt]++
	if x.frees[a.Attempt] == 1 && strings.HasPrefix(a.Attempt, "g.1.") {
		return
	}
	conn := x.posts[a.Target].conn
	go func() {
		if ask(conn, messenger.KindCancel, &messenger.Cancel{Attempt: a.Attempt}, &messenger.Cancelled{}) == nil {
			x.tell(ganger.Event{Kind: ganger.Freed, Attempt: a.Attempt})
		}
	}()
}

// expectIdle expects every engine and agent to return to its idle figures, time passing.
func (x *fleet) expectIdle() {
	GinkgoHelper()
	for _, name := range x.names {
		p := x.posts[name]
		Eventually(func() int {
			x.clock.pass(time.Second)
			return p.n.agent.Target().Load.Used + p.f.Report().Used + len(p.f.Report().Live)
		}).Should(BeZero(), "%s", name)
	}
}

func (x *fleet) expectWhole() {
	GinkgoHelper()
	Expect(x.result.Err).To(BeNil())
	Expect(x.text[x.last].String()).To(Equal(faker.Answer(gangPrompt, gangOutput)))
}

var _ = Describe("a gang over agents and engines", func() {
	// lastEvent is beyond the answers that a gang of three gets: three grants, two exports, the first piece, the end.
	const lastEvent = 7

	It("answers a prompt more than twice an engine's memory as one engine would", func() {
		x := newFleet()
		x.drive(func(int, ganger.Event) bool { return false })
		x.expectWhole()
		x.expectIdle()
	})

	// struck runs a gang that is struck once, at answer number k, by the fault.
	struck := func(k int, fault func(x *fleet, p *post)) *fleet {
		x := newFleet()
		x.drive(func(n int, e ganger.Event) bool {
			if n == k {
				fault(x, x.posts[x.where[e.Attempt]])
			}
			return false
		})
		if x.result.Kind == ganger.Failed {
			Expect(x.result.Err.Code).To(Equal(coder.GangLost), "%v", x.result.Err)
			Expect(x.begun).To(BeTrue(), "a part of the answer was passed on")
		} else {
			x.expectWhole()
		}
		x.expectIdle()
		return x
	}

	for k := range lastEvent {
		It(fmt.Sprint("frees all memory when an engine is killed at answer ", k), func() {
			struck(k, func(_ *fleet, p *post) { Expect(p.f.Restart()).To(Succeed()) })
		})
		It(fmt.Sprint("frees all memory when an agent is killed at answer ", k), func() {
			struck(k, func(x *fleet, p *post) {
				p.cut()
				p.n.stop()
				x.man(p)
			})
		})
		It(fmt.Sprint("frees all memory when a connection is lost at answer ", k), func() {
			struck(k, func(_ *fleet, p *post) {
				p.cut()
				p.conn, p.cut = p.n.dial()
			})
		})
		It(fmt.Sprint("frees all memory when the entry is killed at answer ", k), func() {
			x := newFleet()
			x.drive(func(n int, _ ganger.Event) bool {
				if n < k {
					return false
				}
				close(x.dead)
				for _, p := range x.posts {
					p.cut()
				}
				return true
			})
			x.expectIdle()
		})
	}
})
