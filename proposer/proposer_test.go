package proposer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/pooler"
	"bramleyshunt/proposer"
	"bramleyshunt/setter"
)

func TestProposer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "proposer")
}

// fakeKeeper answers requests with the given functions.
type fakeKeeper struct {
	addr      string
	requests  atomic.Int64
	answer    func(s *muxer.Stream)
	forwarded func(s *muxer.Stream) // answers forwarded requests; answer does so if nil
}

func startKeeper(answer func(s *muxer.Stream)) *fakeKeeper {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f := &fakeKeeper{addr: l.Addr().String(), answer: answer}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = muxer.Serve(ctx, l, muxer.Config{Node: "k"}, f.serve)
	}()
	DeferCleanup(func() {
		cancel()
		<-done
	})
	return f
}

func (f *fakeKeeper) serve(ctx context.Context, s *muxer.Stream) {
	first, err := s.Receive(ctx)
	if err != nil {
		return
	}
	f.requests.Add(1)
	if first.Kind == messenger.KindForward && f.forwarded != nil {
		f.forwarded(s)
		return
	}
	f.answer(s)
}

func sendProposed(s *muxer.Stream) {
	_ = s.Send(messenger.KindProposed, &messenger.Proposed{Index: 7})
}

// refuseWith answers with a code and, if leader is given, its address as a hint.
func refuseWith(c coder.Code, leader func() string) func(*muxer.Stream) {
	return func(s *muxer.Stream) {
		m := messenger.FailedOf("", coder.Errorf(c, ""))
		if leader != nil {
			m.Leader = leader()
		}
		_ = s.Send(messenger.KindFailed, m)
	}
}

func hang(s *muxer.Stream) { <-s.Done() }

func newProposer(fakes ...*fakeKeeper) *proposer.Proposer {
	pool, end := pooler.New(muxer.Config{Node: "test"})
	DeferCleanup(end)
	p := &proposer.Proposer{Pool: pool, RequestTimeout: 200 * time.Millisecond}
	for _, f := range fakes {
		p.Keepers = append(p.Keepers, setter.Keeper{Address: f.addr})
	}
	return p
}

func callWithin(p *proposer.Proposer, timeout time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var out messenger.Proposed
	err := p.Call(ctx, messenger.KindPropose, &messenger.Propose{}, &out)
	return out.Index, err
}

func expectAnswer(p *proposer.Proposer) {
	GinkgoHelper()
	index, err := callWithin(p, 20*time.Second)
	Expect(err).NotTo(HaveOccurred())
	Expect(index).To(BeEquivalentTo(7))
}

var _ = Describe("a proposer", func() {
	It("follows the hint to the leader and sends the next request to it first", func() {
		leader := startKeeper(sendProposed)
		follower := startKeeper(refuseWith(coder.NotLeader, func() string { return leader.addr }))
		p := newProposer(follower, startKeeper(hang), leader)
		expectAnswer(p)
		expectAnswer(p)
		Expect(follower.requests.Load()).To(BeEquivalentTo(1))
		Expect(leader.requests.Load()).To(BeEquivalentTo(2))
	})

	DescribeTable("reaches a leader that it can't connect to through the keeper that named it", func(leader func() string) {
		follower := startKeeper(refuseWith(coder.NotLeader, leader))
		follower.forwarded = sendProposed
		p := newProposer(follower)
		expectAnswer(p)
		before := follower.requests.Load()
		expectAnswer(p)
		Expect(follower.requests.Load()).To(Equal(before+1), "the relay is used again")
	},
		Entry("one that refuses connections", func() string { return "127.0.0.1:1" }),
		Entry("one that does not answer", func() string { return startKeeper(hang).addr }),
	)

	DescribeTable("continues with the next keeper after one that", func(answer func(*muxer.Stream)) {
		expectAnswer(newProposer(startKeeper(answer), startKeeper(sendProposed)))
	},
		Entry("does not know the leader", refuseWith(coder.NotLeader, nil)),
		Entry("lost its leadership", refuseWith(coder.Unconfirmed, nil)),
		Entry("is shutting down", refuseWith(coder.NotReady, nil)),
		Entry("hangs", hang),
		Entry("closes the stream", func(s *muxer.Stream) { s.Close() }),
		Entry("names a leader that can't be reached", refuseWith(coder.NotLeader, func() string { return "127.0.0.1:1" })),
	)

	// Guards against changes that are not acknowledged for seconds: the former leader is frozen,
	// and each request waits for its answer although the keeper of this process follows another.
	It("asks the leader that the keeper of this process follows instead of one that answered last", func() {
		former, leader := startKeeper(sendProposed), startKeeper(sendProposed)
		own := former.addr
		p := newProposer(former, leader)
		p.Leader = func() string { return own }
		expectAnswer(p)
		own = leader.addr
		expectAnswer(p)
		Expect(former.requests.Load()).To(BeEquivalentTo(1))
		Expect(leader.requests.Load()).To(BeEquivalentTo(1))
	})

	It("returns NoQuorum, not run, when the context ends", func() {
		_, err := callWithin(newProposer(startKeeper(refuseWith(coder.NotLeader, nil)), startKeeper(hang)), 500*time.Millisecond)
		Expect(coder.Of(err).Code).To(Equal(coder.NoQuorum))
		Expect(coder.Of(err).Run).To(Equal(coder.NotRun))
	})

	It("immediately returns a refusal that other keepers would repeat", func() {
		f := startKeeper(refuseWith(coder.Malformed, nil))
		_, err := callWithin(newProposer(f, startKeeper(sendProposed)), 20*time.Second)
		Expect(coder.Of(err).Code).To(Equal(coder.Malformed))
		Expect(f.requests.Load()).To(BeEquivalentTo(1))
	})
})
