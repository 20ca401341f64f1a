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

// fake is an agent that answers each kind of message by a function.
type fake struct {
	addr string
	on   map[messenger.Kind]func(*muxer.Stream)

	mu    sync.Mutex
	heard []messenger.Kind
	cut   context.CancelFunc // ends the connections of the moment
	ctx   context.Context
}

func newFake() *fake {
	f := &fake{on: map[messenger.Kind]func(*muxer.Stream){
		messenger.KindReserve: func(s *muxer.Stream) { reply(s, messenger.KindReserved, &messenger.Reserved{}) },
		messenger.KindCancel:  func(s *muxer.Stream) { reply(s, messenger.KindCancelled, &messenger.Cancelled{}) },
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	f.addr = l.Addr().String()
	f.ctx, f.cut = context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.accept(l, &wg) })
	DeferCleanup(func() {
		_ = l.Close()
		f.drop()
		wg.Wait()
	})
	return f
}

func (f *fake) accept(l net.Listener, wg *sync.WaitGroup) {
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

// drop ends all connections; new ones are taken.
func (f *fake) drop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut()
	f.ctx, f.cut = context.WithCancel(context.Background())
}

func (f *fake) serve(ctx context.Context, s *muxer.Stream) {
	for {
		msg, err := s.Receive(ctx)
		if err != nil {
			return
		}
		f.mu.Lock()
		f.heard = append(f.heard, msg.Kind)
		f.mu.Unlock()
		if on := f.on[msg.Kind]; on != nil {
			on(s)
		}
	}
}

func (f *fake) kinds() []messenger.Kind {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]messenger.Kind(nil), f.heard...)
}

func reply(s *muxer.Stream, kind messenger.Kind, v any) { _ = s.Send(kind, v) }

// chunks sends the answer "ab..." from one sequence number to another.
func chunks(s *muxer.Stream, attempt string, from, to int) {
	for i := from; i <= to; i++ {
		reply(s, messenger.KindChunk, &messenger.Chunk{Attempt: attempt, Seq: uint64(i), Data: []byte{byte('a' + i - 1)}})
	}
}

func end(s *muxer.Stream, attempt string, count int) {
	reply(s, messenger.KindEnd, &messenger.End{Attempt: attempt, Count: uint64(count)})
}

func fail(c coder.Code) func(*muxer.Stream) {
	return func(s *muxer.Stream) { _ = s.Fail("x", coder.Errorf(c, "")) }
}
