package dispatcher_test

import (
	"context"
	"net"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
)

// fakeAgent is an agent with a handler for each kind of message.
type fakeAgent struct {
	addr     string
	handlers map[messenger.Kind]func(*muxer.Stream)

	mu       sync.Mutex
	received []messenger.Kind
	cancel   context.CancelFunc // ends the current connections
	ctx      context.Context
}

func newFakeAgent() *fakeAgent {
	f := &fakeAgent{handlers: map[messenger.Kind]func(*muxer.Stream){
		messenger.KindReserve: func(s *muxer.Stream) { reply(s, messenger.KindReserved, &messenger.Reserved{}) },
		messenger.KindCancel:  func(s *muxer.Stream) { reply(s, messenger.KindCancelled, &messenger.Cancelled{}) },
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f.addr = l.Addr().String()
	f.ctx, f.cancel = context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.accept(l, &wg) })
	DeferCleanup(func() {
		_ = l.Close()
		f.dropConnections()
		wg.Wait()
	})
	return f
}

func (f *fakeAgent) accept(l net.Listener, wg *sync.WaitGroup) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		ctx := f.ctx
		f.mu.Unlock()
		wg.Go(func() { _ = muxer.Accept(ctx, conn, muxer.Config{Node: "agent"}, f.serve) })
	}
}

// dropConnections ends all current connections; new ones are accepted.
func (f *fakeAgent) dropConnections() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancel()
	f.ctx, f.cancel = context.WithCancel(context.Background())
}

func (f *fakeAgent) serve(ctx context.Context, s *muxer.Stream) {
	for {
		msg, err := s.Receive(ctx)
		if err != nil {
			return
		}
		f.mu.Lock()
		f.received = append(f.received, msg.Kind)
		f.mu.Unlock()
		if handle := f.handlers[msg.Kind]; handle != nil {
			handle(s)
		}
	}
}

func (f *fakeAgent) receivedKinds() []messenger.Kind {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]messenger.Kind(nil), f.received...)
}

func reply(s *muxer.Stream, kind messenger.Kind, v any) { _ = s.Send(kind, v) }

// sendChunks sends the chunks of the answer "abc..." whose sequence numbers are in
// [from, to].
func sendChunks(s *muxer.Stream, attempt string, from, to int) {
	for i := from; i <= to; i++ {
		reply(s, messenger.KindChunk, &messenger.Chunk{Attempt: attempt, Seq: uint64(i), Data: []byte{byte('a' + i - 1)}})
	}
}

// sendEnd ends an answer of count chunks.
func sendEnd(s *muxer.Stream, attempt string, count int) {
	reply(s, messenger.KindEnd, &messenger.End{Attempt: attempt, Count: uint64(count)})
}

// failWith returns a handler that answers with an error.
func failWith(c coder.Code) func(*muxer.Stream) {
	return func(s *muxer.Stream) { _ = s.Fail("x", coder.Errorf(c, "")) }
}
