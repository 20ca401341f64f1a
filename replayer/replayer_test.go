package replayer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/messenger"
	"bramleyshunt/replayer"
)

func TestReplayer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replayer")
}

func filled(n int) *replayer.Replayer {
	r := &replayer.Replayer{MaxChunks: 4, MaxBytes: 100}
	for range n {
		r.Append(messenger.Chunk{Data: make([]byte, 10)})
	}
	return r
}

func expectAfter(r *replayer.Replayer, seq uint64, want ...uint64) {
	GinkgoHelper()
	chunks, ok := r.After(seq, 10)
	Expect(ok).To(BeTrue())
	got := []uint64{}
	for _, c := range chunks {
		got = append(got, c.Seq)
	}
	Expect(got).To(HaveExactElements(want))
}

var _ = Describe("replayer", func() {
	It("returns the chunks after a sequence number", func() {
		r := filled(3)
		expectAfter(r, 0, 1, 2, 3)
		expectAfter(r, 2, 3)
		chunks, ok := r.After(0, 2)
		Expect(ok).To(BeTrue())
		Expect(chunks).To(HaveLen(2))
		chunks, ok = r.After(3, 10)
		Expect(ok).To(BeTrue())
		Expect(chunks).To(BeEmpty())
	})

	It("refuses sequence numbers that were dropped or lie ahead", func() {
		r := filled(4)
		Expect(r.Full()).To(BeTrue())
		Expect(r.Trim(0)).To(BeFalse())
		Expect(r.Trim(2)).To(BeTrue())
		_, ok := r.After(0, 10)
		Expect(ok).To(BeFalse())
		expectAfter(r, 1, 2, 3, 4)
		_, ok = r.After(5, 10)
		Expect(ok).To(BeFalse())
	})

	It("limits the buffered bytes", func() {
		r := filled(1)
		r.Append(messenger.Chunk{Data: make([]byte, 200)})
		Expect(r.Full()).To(BeTrue())
		Expect(r.Trim(2)).To(BeTrue())
		Expect(r.Size()).To(BeZero())
		Expect(r.Last()).To(Equal(uint64(2)))
		expectAfter(r, 2)
	})
})
