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

// fakeAgent is an agent that grants every reservation and handles runs with a function.
type fakeAgent struct {
	target messenger.Target
	run    func(ctx context.Context, s *muxer.Stream, run messenger.Run)

	mu          sync.Mutex
	received    map[messenger.Kind]int
	lastReserve messenger.Reserve
	executed    []messenger.Run
}

func newFakeAgent(id, service, model string) *fakeAgent {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f := &fakeAgent{received: map[messenger.Kind]int{}, target: messenger.Target{
		ID: id, Service: service, Model: model, Address: l.Addr().String(), Incarnation: 1,
		Load: messenger.Load{Seq: 1, Memory: 1 << 20, Speed: 100000, Pace: 1000},
	}}
	f.run = func(_ context.Context, s *muxer.Stream, run messenger.Run) { sendAnswer(s, run, "hello", " world") }
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = muxer.Serve(ctx, l, muxer.Config{Node: id}, f.serve) })
	DeferCleanup(func() {
		cancel()
		wg.Wait()
	})
	return f
}

func (f *fakeAgent) serve(ctx context.Context, s *muxer.Stream) {
	for {
		msg, err := s.Receive(ctx)
		if err != nil {
			return
		}
		f.mu.Lock()
		f.received[msg.Kind]++
		f.mu.Unlock()
		switch msg.Kind {
		case messenger.KindReserve:
			f.handleReserve(msg)
			_ = s.Send(messenger.KindReserved, &messenger.Reserved{Load: f.target.Load})
		case messenger.KindCancel:
			f.handleCancel(msg)
			_ = s.Send(messenger.KindCancelled, &messenger.Cancelled{})
		case messenger.KindRun:
			var run messenger.Run
			_ = msg.Decode(&run)
			f.mu.Lock()
			f.executed = append(f.executed, run)
			f.mu.Unlock()
			f.run(ctx, s, run)
		}
	}
}

// handleCancel excludes cancels that name no attempt from the count of received messages.
func (f *fakeAgent) handleCancel(msg muxer.Message) {
	var m messenger.Cancel
	if msg.Decode(&m) == nil && m.Attempt == "" {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.received[messenger.KindCancel]--
	}
}

func (f *fakeAgent) count(k messenger.Kind) func() int {
	return func() int {
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.received[k]
	}
}

// handleReserve records the latest reservation request.
func (f *fakeAgent) handleReserve(msg muxer.Message) {
	var r messenger.Reserve
	if msg.Decode(&r) == nil {
		f.mu.Lock()
		f.lastReserve = r
		f.mu.Unlock()
	}
}

func (f *fakeAgent) lastReservation() messenger.Reserve {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastReserve
}

func (f *fakeAgent) runs() []messenger.Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]messenger.Run(nil), f.executed...)
}

// sendAnswer sends a complete answer, one chunk for each text.
func sendAnswer(s *muxer.Stream, run messenger.Run, texts ...string) {
	for i, t := range texts {
		sendChunk(s, run, i+1, t)
	}
	_ = s.Send(messenger.KindEnd, &messenger.End{
		Attempt: run.Attempt, Count: uint64(len(texts)), Usage: messenger.Usage{Prompt: 5, Output: len(texts)},
	})
}

// sendChunk sends one chunk, in the form of a plain service if the run has a method.
func sendChunk(s *muxer.Stream, run messenger.Run, seq int, text string) {
	c := &messenger.Chunk{Attempt: run.Attempt, Seq: uint64(seq), Data: []byte(`{"text":"` + text + `"}`)}
	if run.Method != "" {
		c.Status, c.Data = 201, []byte(text)
		c.Headers = []messenger.Header{{Name: "Content-Type", Value: "text/plain"}}
	}
	_ = s.Send(messenger.KindChunk, c)
}

// fakeKeeper records claims by the rules of the replicated log of the keepers.
type fakeKeeper struct {
	mu       sync.Mutex
	claims   map[string]messenger.Claim
	suspects []messenger.Suspect
	down     bool
}

func (k *fakeKeeper) call(_ context.Context, kind messenger.Kind, v, out any) error {
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
	current, ok := k.claims[want.Key]
	if !ok || current.Owner == want.Owner || current.State == messenger.ClaimVoid {
		k.claims[want.Key] = want
		current = want
	}
	*got = messenger.Claimed{State: current.State, Owner: current.Owner, Answer: current.Answer}
	return nil
}

func (k *fakeKeeper) claimState(key string) func() messenger.State {
	return func() messenger.State {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.claims[key].State
	}
}

func (k *fakeKeeper) reportedSuspects() []messenger.Suspect {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]messenger.Suspect(nil), k.suspects...)
}
