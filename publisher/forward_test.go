package publisher_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// forward sends a request to a keeper that is to forward it to the leader.
func (f *fleet) forward(h *host, kind messenger.Kind, v, out any) error {
	GinkgoHelper()
	body, err := msgpack.Marshal(v)
	Expect(err).NotTo(HaveOccurred())
	conn, err := f.pool("cut-off").Get(context.Background(), f.address(h.node))
	Expect(err).NotTo(HaveOccurred())
	return conn.Call(context.Background(), messenger.KindForward, &messenger.Forward{Kind: kind, Body: body}, out)
}

var _ = Describe("a request from a node that can't reach the leader", func() {
	It("is forwarded by every keeper, but only if it is of a kind for the leader", func() {
		f := newFleet(GinkgoTB())
		f.leader()
		for _, h := range f.hosts {
			c := &messenger.Claim{Account: "a", Service: "s", Key: h.node, Owner: "o", State: messenger.ClaimHeld}
			var out messenger.Claimed
			Eventually(func() error { return f.forward(h, messenger.KindClaim, c, &out) }).WithTimeout(eventTimeout).Should(Succeed())
			Expect(out.State).To(Equal(messenger.ClaimHeld))
			err := f.forward(h, messenger.KindAppend, c, &out)
			Expect(coder.Of(err).Code).To(Equal(coder.BadFrame))
		}
	})
})
