package entry_test

import (
	"context"
	"net"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
)

// fake is an agent that grants every reservation and answers runs by a function.
type fake struct {
	target messenger.Target
	run    func(ctx context.Context, s *muxer.Stream, run messenger.Run)

	mu     sync.Mutex
	heard  map[messenger.Kind]int
	last   messenger.Reserve
	bodies []messenger.Run
}

func newFake(id, service, model string) *fake {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f := &fake{heard: map[messenger.Kind]int{}, target: messenger.Target{
		ID: id, Service: service, Model: model, Address: l.Addr().String(), Incarnation: 1,
		Load: messenger.Load{Seq: 1, Memory: 1 << 20, Speed: 100000, Pace: 1000},
	}}
	f.run = func(_ context.Context, s *muxer.Stream, run messenger.Run) { answer(s, run, "hello", " world") }
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = muxer.Serve(ctx, l, muxer.Config{Node: id}, f.serve) })
	DeferCleanup(func() {
		cancel()
		wg.Wait()
	})
	return f
}

func (f *fake) serve(ctx context.Context, s *muxer.Stream) {
	for {
		msg, err := s.Receive(ctx)
		if err != nil {
			return
		}
		f.mu.Lock()
		f.heard[msg.Kind]++
		f.mu.Unlock()
		switch msg.Kind {
		case messenger.KindReserve:
			f.reserve(msg)
			_ = s.Send(messenger.KindReserved, &messenger.Reserved{Load: f.target.Load})
		case messenger.KindCancel:
			f.cancelled(msg)
			_ = s.Send(messenger.KindCancelled, &messenger.Cancelled{})
		case messenger.KindRun:
			var run messenger.Run
			_ = msg.Decode(&run)
			f.mu.Lock()
			f.bodies = append(f.bodies, run)
			f.mu.Unlock()
			f.run(ctx, s, run)
		}
	}
}

// cancelled takes a cancel that names no attempt out of the count.
func (f *fake) cancelled(msg muxer.Message) {
	var m messenger.Cancel
	if msg.Decode(&m) == nil && m.Attempt == "" {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.heard[messenger.KindCancel]--
	}
}

func (f *fake) count(k messenger.Kind) func() int {
	return func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.heard[k]
	}
}

// reserve keeps the last reservation asked for.
func (f *fake) reserve(msg muxer.Message) {
	var r messenger.Reserve
	if msg.Decode(&r) == nil {
		f.mu.Lock()
		f.last = r
		f.mu.Unlock()
	}
}

func (f *fake) reserved() messenger.Reserve {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
}

func (f *fake) runs() []messenger.Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]messenger.Run(nil), f.bodies...)
}

// answer sends an engine's whole answer.
func answer(s *muxer.Stream, run messenger.Run, texts ...string) {
	for i, t := range texts {
		piece(s, run, i+1, t)
	}
	_ = s.Send(messenger.KindEnd, &messenger.End{
		Attempt: run.Attempt, Count: uint64(len(texts)), Usage: messenger.Usage{Prompt: 5, Output: len(texts)},
	})
}

func piece(s *muxer.Stream, run messenger.Run, seq int, text string) {
	c := &messenger.Chunk{Attempt: run.Attempt, Seq: uint64(seq), Data: []byte(`{"text":"` + text + `"}`)}
	if run.Method != "" {
		c.Status, c.Data = 201, []byte(text)
		c.Headers = []messenger.Header{{Name: "Content-Type", Value: "text/plain"}}
	}
	_ = s.Send(messenger.KindChunk, c)
}

// keeper records claims as the keepers' log does.
type keeper struct {
	mu       sync.Mutex
	claims   map[string]messenger.Claim
	suspects []messenger.Suspect
	down     bool
}

func (k *keeper) call(_ context.Context, kind messenger.Kind, v, out any) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.down {
		return context.DeadlineExceeded
	}
	if kind == messenger.KindSuspect {
		k.suspects = append(k.suspects, *v.(*messenger.Suspect))
		return nil
	}
	want := *v.(*messenger.Claim)
	got := out.(*messenger.Claimed)
	known, ok := k.claims[want.Key]
	if !ok || known.Owner == want.Owner || known.State == messenger.ClaimVoid {
		k.claims[want.Key] = want
		known = want
	}
	*got = messenger.Claimed{State: known.State, Owner: known.Owner, Answer: known.Answer}
	return nil
}

func (k *keeper) state(key string) func() messenger.State {
	return func() messenger.State {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.claims[key].State
	}
}

func (k *keeper) reported() []messenger.Suspect {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]messenger.Suspect(nil), k.suspects...)
}
