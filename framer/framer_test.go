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
	DescribeTable("refuses a bad frame",
		func(in string, want error) {
			_, err := framer.New(bytes.NewBufferString(in)).Read()
			Expect(err).To(HaveOccurred())
			if want != nil {
				Expect(err).To(MatchError(want))
			}
		},
		Entry("at a clean end", "", io.EOF),
		Entry("cut in its head", "\x00\x00", io.ErrUnexpectedEOF),
		Entry("cut in its body", "\x00\x00\x00\x05ab", io.ErrUnexpectedEOF),
		Entry("without a body", "\x00\x00\x00\x05", io.ErrUnexpectedEOF),
		Entry("larger than the cap", "\xff\xff\xff\xffab", nil),
	)

	It("refuses to write a frame larger than its cap", func() {
		f := framer.New(&bytes.Buffer{})
		f.Max = 3
		Expect(f.Write([]byte("abcd"))).NotTo(Succeed())
	})

	It("claims no more memory than arrived for a false length", func() {
		in := []byte("\x00\xff\xff\xffab")
		allocs := testing.AllocsPerRun(10, func() {
			_, _ = framer.New(bytes.NewBuffer(in)).Read()
		})
		Expect(allocs).To(BeNumerically("<", 10))
	})
})

// FuzzFramer checks that any input is read without a panic, and that what was
// read is written back to the same bytes.
func FuzzFramer(f *testing.F) {
	for _, seed := range []string{"", "\x00\x00\x00\x00", "\x00\x00\x00\x02hi\x00\x00\x00\x01!", "\x7f\xff\xff\xff", "\x00\x00\x00\x09short"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		r := framer.New(bytes.NewBuffer(in))
		r.Max = 1 << 20
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
