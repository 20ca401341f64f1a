package muxer_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"bramleyshunt/bufferer"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
)

func TestMuxer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "muxer")
}

// startServer serves connections on loopback until the end of the spec. It returns
// the address.
func startServer(cfg muxer.Config, handle func(context.Context, *muxer.Stream)) string {
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

// failingListener is a listener whose first Accept calls fail, as when the
// process has no file descriptors left.
type failingListener struct {
	net.Listener
	failures int
}

func (f *failingListener) Accept() (net.Conn, error) {
	if f.failures > 0 {
		f.failures--
		return nil, errors.New("too many open files")
	}
	return f.Listener.Accept()
}

var _ = Describe("Muxer", func() {
	cfg := muxer.Config{Node: "a", Key: []byte("fleet")}

	It("authenticates both ends and carries an exchange", func() {
		m, closer, err := muxer.Dial(context.Background(), startServer(cfg, echo), muxer.Config{Node: "b", Key: []byte("fleet")})
		Expect(err).NotTo(HaveOccurred())
		defer closer()
		Expect(m.Peer).To(Equal("a"))
		var out messenger.Cancelled
		Expect(m.Call(context.Background(), messenger.KindCancel, &messenger.Cancel{Attempt: "x"}, &out)).To(Succeed())
		Expect(out.Attempt).To(Equal("x"))
	})

	It("accepts connections after Accept has failed", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = muxer.Serve(ctx, &failingListener{Listener: l, failures: 2}, cfg, echo)
		}()
		DeferCleanup(func() {
			cancel()
			<-done
		})
		_, closer, err := muxer.Dial(context.Background(), l.Addr().String(), muxer.Config{Key: cfg.Key, IdleTimeout: time.Second})
		Expect(err).NotTo(HaveOccurred())
		closer()
	})

	It("rejects a peer that has another fleet key", func() {
		_, _, err := muxer.Dial(context.Background(), startServer(cfg, echo), muxer.Config{Key: []byte("other")})
		expectCode(err, coder.BadProof)
	})

	It("keeps serving after a connection that sent invalid frames", func() {
		addr := startServer(cfg, echo)
		conn, err := net.Dial("tcp", addr)
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.Close()).To(Succeed())
		_, closer, err := muxer.Dial(context.Background(), addr, cfg)
		Expect(err).NotTo(HaveOccurred())
		closer()
	})

	// Guards against memory that anyone can fill who reaches the port.
	It("reads no long frame before the peer has proved that it holds the fleet key", func() {
		addr := startServer(muxer.Config{Node: "a", Key: []byte("fleet"), IdleTimeout: time.Minute}, echo)
		conn, err := net.Dial("tcp", addr)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		Expect(conn.SetDeadline(time.Now().Add(10 * time.Second))).To(Succeed())
		_, err = conn.Write([]byte{0, 0, 0x20, 0}) // the length of a frame of 8 KiB
		Expect(err).NotTo(HaveOccurred())
		_, err = conn.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	})

	// Guards against memory of long messages that is not released, or messages that are lost.
	It("reads long messages within a budget", func() {
		registry := metrics.NewRegistry()
		bounded := muxer.Config{Node: "a", Key: []byte("fleet"), Frames: &bufferer.Bufferer{Name: "frames", Max: 1 << 20, Metrics: registry}}
		m, closer, err := muxer.Dial(context.Background(), startServer(bounded, echo), cfg)
		Expect(err).NotTo(HaveOccurred())
		defer closer()
		for range 5 {
			var out messenger.Cancelled
			long := strings.Repeat("x", 300_000)
			Expect(m.Call(context.Background(), messenger.KindCancel, &messenger.Cancel{Attempt: long}, &out)).To(Succeed())
			Expect(out.Attempt).To(Equal(long))
		}
		Eventually(func() int64 { return metrics.GetOrRegisterGauge("frames.bytes", registry).Value() }).Should(BeZero())
		Expect(metrics.GetOrRegisterCounter("frames.refused", registry).Count()).To(BeZero())
	})

	It("ends a stream with a full inbox without affecting other streams", func() {
		ended := make(chan struct{}, 1)
		var opened atomic.Int32
		m, closer, err := muxer.Dial(context.Background(), startServer(cfg, func(ctx context.Context, s *muxer.Stream) {
			msg, err := s.Receive(ctx)
			if err != nil || msg.Kind == messenger.KindCancel {
				_ = s.Send(messenger.KindCancelled, &messenger.Cancelled{})
				return
			}
			opened.Add(1)
			<-ctx.Done()
			ended <- struct{}{}
		}), cfg)
		Expect(err).NotTo(HaveOccurred())
		defer closer()
		s, err := m.Open(messenger.KindRun, &messenger.Run{})
		Expect(err).NotTo(HaveOccurred())
		for s.Send(messenger.KindRun, &messenger.Run{}) == nil {
		}
		Eventually(ended).Should(Receive())
		Expect(m.Call(context.Background(), messenger.KindCancel, &messenger.Cancel{}, &messenger.Cancelled{})).To(Succeed())
		Expect(opened.Load()).To(Equal(int32(1)), "frames that arrived after the end opened the stream again")
	})

	// Guards against an answer that arrives after its exchange was given up and is taken for
	// the answer to the next exchange on the same connection.
	It("drops late answers to exchanges that have ended", func() {
		m, closer, err := muxer.Dial(context.Background(), startServer(cfg, echo), cfg)
		Expect(err).NotTo(HaveOccurred())
		defer closer()
		call := func(ctx context.Context, attempt string) (string, error) {
			var out messenger.Cancelled
			err := m.Call(ctx, messenger.KindCancel, &messenger.Cancel{Attempt: attempt}, &out)
			return out.Attempt, err
		}
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		for i := range 500 {
			if _, err := call(ended, "given up"); err != nil {
				Expect(err).To(MatchError(context.Canceled))
			}
			attempt := fmt.Sprint(i)
			Expect(call(context.Background(), attempt)).To(Equal(attempt))
		}
	})

	It("fails open exchanges with code Silent when the peer stops sending", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = l.Close() }()
		peerCfg := muxer.Config{Node: "a", Key: []byte("fleet"), Heartbeat: time.Hour, IdleTimeout: time.Hour}
		go func() {
			conn, err := l.Accept()
			if err == nil {
				_ = muxer.Accept(context.Background(), conn, peerCfg, func(ctx context.Context, _ *muxer.Stream) { <-ctx.Done() })
			}
		}()
		clientCfg := muxer.Config{Key: []byte("fleet"), Heartbeat: 20 * time.Millisecond, IdleTimeout: 100 * time.Millisecond}
		m, closer, err := muxer.Dial(context.Background(), l.Addr().String(), clientCfg)
		Expect(err).NotTo(HaveOccurred())
		defer closer()
		var out messenger.Cancelled
		err = m.Call(context.Background(), messenger.KindCancel, &messenger.Cancel{}, &out)
		expectCode(err, coder.Silent)
		Expect(errors.Is(err, context.Canceled)).To(BeFalse())
	})
})
