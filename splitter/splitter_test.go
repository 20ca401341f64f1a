package splitter_test

import (
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/splitter"
)

func TestSplitter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "splitter")
}

const stream = "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n: note\n\nid:3\ndata: d\n\n"

func FuzzCut(f *testing.F) {
	f.Add(stream, 3)
	f.Add("id: 1\r\ndata: x\r\n\r\n", 1)
	f.Fuzz(func(t *testing.T, s string, n int) {
		var sp splitter.Splitter
		var out strings.Builder
		for n = max(1, n); len(s) > 0; s = s[min(n, len(s)):] {
			p, err := sp.Cut([]byte(s[:min(n, len(s))]))
			out.Write(p)
			if err != nil {
				break
			}
		}
		if strings.Count(out.String(), "\n\n") > 0 && sp.Pending() && strings.HasSuffix(out.String(), "data") {
			t.Fatalf("a partial event was returned: %q", out.String())
		}
	})
}

var _ = Describe("a stream of server-sent events", func() {
	for _, n := range []int{1, 2, 7, 1000} {
		It("is returned in complete events, in whatever pieces it arrives", func() {
			var sp splitter.Splitter
			var out strings.Builder
			for s := stream + "id: 4\ndata: e"; len(s) > 0; s = s[min(n, len(s)):] {
				p, err := sp.Cut([]byte(s[:min(n, len(s))]))
				Expect(err).NotTo(HaveOccurred())
				if len(p) > 0 {
					Expect(string(p)).To(HaveSuffix("\n\n"))
				}
				out.Write(p)
			}
			Expect(out.String()).To(Equal(stream))
			Expect(sp.LastID).To(Equal("3"))
			Expect(sp.Events).To(Equal(3))
			Expect(sp.Pending()).To(BeTrue())
			sp.Reset()
			Expect(sp.Pending()).To(BeFalse())
		})
	}

	It("is refused if an event is too large", func() {
		var sp splitter.Splitter
		_, err := sp.Cut(make([]byte, splitter.MaxEventSize+1))
		Expect(err).To(MatchError(splitter.ErrTooLarge))
	})

	// Guards against an error's text or the beginning of another run that callers find within
	// their stream.
	DescribeTable("ends before an event that does not follow the last one", func(next string) {
		for _, n := range []int{1, 7, 1000} {
			sp := splitter.Splitter{LastID: "9"}
			const before = "id: 10\ndata: a\n\n: note\n\n"
			var out strings.Builder
			var err error
			for s := before + next + "id: 99\ndata: z\n\n"; len(s) > 0 && err == nil; s = s[min(n, len(s)):] {
				var p []byte
				p, err = sp.Cut([]byte(s[:min(n, len(s))]))
				out.Write(p)
			}
			Expect(err).To(MatchError(splitter.ErrOrder))
			Expect(out.String()).To(Equal(before))
			Expect(sp.LastID).To(Equal("10"))
			Expect(sp.Events).To(Equal(1))
			Expect(sp.HasEvent([]byte(next))).To(BeFalse())
		}
	},
		Entry("without an id", "data: b\n\n"),
		Entry("with an empty id", "id:\ndata: b\n\n"),
		Entry("with the same id", "id: 10\ndata: a\n\n"),
		Entry("with a smaller id", "id: 2\ndata: b\n\n"),
		Entry("text", "bad gateway\n\n"),
		Entry("a head", "HTTP/1.1 500 X\r\nContent-Length: 3\r\n\r\nbad\n\n"),
	)

	It("may have ids that are no numbers, or none", func() {
		var sp splitter.Splitter
		for _, s := range []string{"data: a\n\n", "id: x\n\n", "id: b\n\n", ": note\n\n", "id: c\n\n"} {
			Expect(sp.HasEvent([]byte(s))).To(BeTrue())
			Expect(sp.Cut([]byte(s))).To(Equal([]byte(s)))
		}
		_, err := sp.Cut([]byte("id: c\n\n"))
		Expect(err).To(MatchError(splitter.ErrOrder))
	})
})
