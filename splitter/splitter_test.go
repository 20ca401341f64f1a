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
			p, ok := sp.Cut([]byte(s[:min(n, len(s))]))
			if !ok {
				return
			}
			out.Write(p)
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
				p, ok := sp.Cut([]byte(s[:min(n, len(s))]))
				Expect(ok).To(BeTrue())
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
		_, ok := sp.Cut(make([]byte, splitter.MaxEventSize+1))
		Expect(ok).To(BeFalse())
	})
})
