package muxer_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
)

func TestMuxer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "muxer")
}

// serve starts an accepting end on loopback and returns its address.
func serve(cfg muxer.Config, handle func(context.Context, *muxer.Stream)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = muxer.Serve(ctx, l, cfg, handle)
	}()
	DeferCleanup(func() {
		cancel()
		<-done
	})
	return l.Addr().String()
}

func expectCode(err error, want coder.Code) {
	GinkgoHelper()
	Expect(coder.Of(err).Code).To(Equal(want), "%v", err)
}

func echo(ctx context.Context, s *muxer.Stream) {
	msg, err := s.Receive(ctx)
	if err != nil {
		return
	}
	var c messenger.Cancel
	if err := msg.Decode(&c); err != nil {
		_ = s.Fail("", err)
		return
	}
	_ = s.Send(messenger.KindCancelled, &messenger.Cancelled{Attempt: c.Attempt})
}

// failing is a listener whose first calls fail, as when files run out.
type failing struct {
	net.Listener
	left int
}

func (f *failing) Accept() (net.Conn, error) {
	if f.left > 0 {
		f.left--
		return nil, errors.New("too many open files")
	}
	return f.Listener.Accept()
}

var _ = Describe("a connection", func() {
	key := muxer.Config{Node: "a", Key: []byte("fleet")}

	It("carries exchanges both ends agree on", func() {
		m, closer, err := muxer.Dial(context.Background(), serve(key, echo), muxer.Config{Node: "b", Key: []byte("fleet")})
		Expect(err).NotTo(HaveOccurred())
		defer closer()
		Expect(m.Peer).To(Equal("a"))
		var out messenger.Cancelled
		Expect(m.Call(context.Background(), messenger.KindCancel, &messenger.Cancel{Attempt: "x"}, &out)).To(Succeed())
		Expect(out.Attempt).To(Equal("x"))
	})

	It("is still accepted after accepting has failed", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = muxer.Serve(ctx, &failing{Listener: l, left: 2}, key, echo)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
		_, closer, err := muxer.Dial(context.Background(), l.Addr().String(), muxer.Config{Key: key.Key, Silence: time.Second})
		Expect(err).NotTo(HaveOccurred())
		closer()
	})

	It("refuses a peer without the fleet key", func() {
		_, _, err := muxer.Dial(context.Background(), serve(key, echo), muxer.Config{Key: []byte("other")})
		expectCode(err, coder.BadProof)
	})

	It("survives garbage on the port", func() {
		addr := serve(key, echo)
		conn, err := net.Dial("tcp", addr)
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Close()).To(Succeed())
		_, closer, err := muxer.Dial(context.Background(), addr, key)
		Expect(err).NotTo(HaveOccurred())
		closer()
	})

	It("ends an exchange that nobody reads, and none beside it", func() {
		ended := make(chan struct{}, 1)
		var opened atomic.Int32
		m, closer, err := muxer.Dial(context.Background(), serve(key, func(ctx context.Context, s *muxer.Stream) {
			msg, err := s.Receive(ctx)
			if err != nil || msg.Kind == messenger.KindCancel {
				_ = s.Send(messenger.KindCancelled, &messenger.Cancelled{})
				return
			}
			opened.Add(1)
			<-ctx.Done()
			ended <- struct{}{}
		}), key)
		Expect(err).NotTo(HaveOccurred())
		defer closer()
		s, err := m.Open(messenger.KindRun, &messenger.Run{})
		Expect(err).NotTo(HaveOccurred())
		for s.Send(messenger.KindRun, &messenger.Run{}) == nil {
		}
		Eventually(ended).Should(Receive())
		Expect(m.Call(context.Background(), messenger.KindCancel, &messenger.Cancel{}, &messenger.Cancelled{})).To(Succeed())
		Expect(opened.Load()).To(Equal(int32(1)), "late frames opened the exchange again")
	})

	It("ends its exchanges when the peer goes silent", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = l.Close() }()
		mute := muxer.Config{Node: "a", Key: []byte("fleet"), Heartbeat: time.Hour, Silence: time.Hour}
		go func() {
			conn, err := l.Accept()
			if err == nil {
				_ = muxer.Accept(context.Background(), conn, mute, func(ctx context.Context, _ *muxer.Stream) { <-ctx.Done() })
			}
		}()
		quick := muxer.Config{Key: []byte("fleet"), Heartbeat: 20 * time.Millisecond, Silence: 100 * time.Millisecond}
		m, closer, err := muxer.Dial(context.Background(), l.Addr().String(), quick)
		Expect(err).NotTo(HaveOccurred())
		defer closer()
		var out messenger.Cancelled
		err = m.Call(context.Background(), messenger.KindCancel, &messenger.Cancel{}, &out)
		expectCode(err, coder.Silent)
		Expect(errors.Is(err, context.Canceled)).To(BeFalse())
	})
})
