package framer_test

import (
	"bytes"
	"errors"
	"io"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/framer"
)

func TestFramer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "framer")
}

var _ = Describe("Framer", func() {
	DescribeTable("returns an error",
		func(in string, want error) {
			_, err := framer.New(bytes.NewBufferString(in)).Read()
			Expect(err).To(HaveOccurred())
			if want != nil {
				Expect(err).To(MatchError(want))
			}
		},
		Entry("at the end of the stream", "", io.EOF),
		Entry("for a truncated header", "\x00\x00", io.ErrUnexpectedEOF),
		Entry("for a truncated body", "\x00\x00\x00\x05ab", io.ErrUnexpectedEOF),
		Entry("for a missing body", "\x00\x00\x00\x05", io.ErrUnexpectedEOF),
		Entry("for a frame larger than the limit", "\xff\xff\xff\xffab", nil),
	)

	It("refuses to write a frame larger than the limit", func() {
		f := framer.New(&bytes.Buffer{})
		f.MaxFrameBytes = 3
		Expect(f.Write([]byte("abcd"))).NotTo(Succeed())
	})

	It("makes fewer than ten allocations for a frame whose length exceeds the input", func() {
		in := []byte("\x00\xff\xff\xffab")
		allocs := testing.AllocsPerRun(10, func() {
			_, _ = framer.New(bytes.NewBuffer(in)).Read()
		})
		Expect(allocs).To(BeNumerically("<", 10))
	})
})

// FuzzFramer checks that reading any input does not panic, and that writing the
// frames read reproduces the input.
func FuzzFramer(f *testing.F) {
	for _, seed := range []string{"", "\x00\x00\x00\x00", "\x00\x00\x00\x02hi\x00\x00\x00\x01!", "\x7f\xff\xff\xff", "\x00\x00\x00\x09short"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		r := framer.New(bytes.NewBuffer(in))
		r.MaxFrameBytes = 1 << 20
		var out bytes.Buffer
		w := framer.New(&out)
		for {
			p, err := r.Read()
			if err != nil {
				if errors.Is(err, io.EOF) && !bytes.Equal(out.Bytes(), in) {
					t.Fatalf("clean end after %d of %d bytes", out.Len(), len(in))
				}
				return
			}
			if err := w.Write(p); err != nil {
				t.Fatal(err)
			}
		}
	})
}
