package pooler_test

import (
	"context"
	"net"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/muxer"
	"bramleyshunt/pooler"
)

func TestPooler(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pooler")
}

var _ = Describe("a pool", func() {
	ctx := context.Background()

	It("reuses an open connection and replaces one that has ended", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		serving, stop := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = muxer.Serve(serving, l, muxer.Config{Node: "peer"}, func(c context.Context, _ *muxer.Stream) { <-c.Done() })
		}()
		p, closer := pooler.New(muxer.Config{Node: "test"})
		addr := l.Addr().String()
		first, err := p.Get(ctx, addr)
		Expect(err).NotTo(HaveOccurred())
		Expect(p.Get(ctx, addr)).To(BeIdenticalTo(first))
		p.Forget(addr)
		Expect(first.Done()).To(BeClosed())
		second, err := p.Get(ctx, addr)
		Expect(err).NotTo(HaveOccurred())
		Expect(second).NotTo(BeIdenticalTo(first))
		stop()
		<-done
		Eventually(second.Done()).Should(BeClosed())
		_, err = p.Get(ctx, addr)
		Expect(coder.Of(err).Code).To(Equal(coder.TargetLost))
		Expect(coder.Of(err).Run).To(Equal(coder.NotRun))
		closer()
	})
})
