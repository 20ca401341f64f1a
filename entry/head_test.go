package entry_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
)

// Guards against a success with an empty or short body for an answer of a plain service that has
// no head, or none that is final.
var _ = Describe("an answer of a plain service without a final status", func() {
	DescribeTable("is no success", func(chunks ...messenger.Chunk) {
		b := newTestBed()
		b.plain.run = func(_ context.Context, s *muxer.Stream, run messenger.Run) {
			for i, c := range chunks {
				c.Attempt, c.Seq = run.Attempt, uint64(i+1)
				_ = s.Send(messenger.KindChunk, &c)
			}
			_ = s.Send(messenger.KindEnd, &messenger.End{Attempt: run.Attempt, Count: uint64(len(chunks))})
		}
		resp, text := b.call("GET", "/service/portal/jobs/7", "")
		Expect(resp.StatusCode).To(Equal(502), text)
	},
		Entry("without a chunk"),
		Entry("without a status", messenger.Chunk{Data: []byte("x")}),
		Entry("with an informational status", messenger.Chunk{Status: 101}),
		Entry("with a status that HTTP does not have", messenger.Chunk{Status: 1000, Data: []byte("x")}),
	)
})
