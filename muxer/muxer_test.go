package muxer_test

import (
	"context"
	"errors"
	"net"
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
