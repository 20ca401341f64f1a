package packer_test

import (
	"bytes"
	"compress/flate"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"bramleyshunt/messenger"
	"bramleyshunt/packer"
)

func TestUnpackReversesPack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var p packer.Packer
		for range 3 {
			var files []messenger.File
			for i := range rapid.IntRange(0, 4).Draw(t, "files") {
				f := messenger.File{Name: fmt.Sprint(i)} // without data: is removed
				if n := rapid.IntRange(0, 8000).Draw(t, "size"); n > 0 {
					f.Data = bytes.Repeat(rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(t, "data"), n)[:n]
				}
				files = append(files, f)
			}
			packed, err := p.Pack(files)
			g.Expect(err).NotTo(HaveOccurred())
			out, err := packer.Unpack(packed)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(out).To(HaveLen(len(files)))
			for i := range files {
				g.Expect(out[i]).To(Equal(files[i]))
			}
		}
	})
}

// routes is a file like the configuration of many routes.
func routes(version int) messenger.File {
	var b strings.Builder
	for i := range 1400 {
		fmt.Fprintf(&b, `{"name":"r-%d","hostname":"a.example","pathPrefix":"/x%d/","kind":"stream","timeoutMs":%d,"maxAttempts":2},`, i, i, 10000+version)
	}
	return messenger.File{Name: "fleet.json", Data: []byte(b.String())}
}

// Pattern: a large configuration in quick succession to all processes of all zones.
func TestFileIsCompressedOnceForAllWatchers(t *testing.T) {
	g := NewWithT(t)
	var p packer.Packer
	f := routes(1)
	first, err := p.Pack([]messenger.File{f})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(first[0].Packed)).To(BeNumerically("<", len(f.Data)/5))
	again, _ := p.Pack([]messenger.File{f})
	g.Expect(&again[0].Packed[0]).To(BeIdenticalTo(&first[0].Packed[0]))
	next, _ := p.Pack([]messenger.File{routes(2)})
	out, err := packer.Unpack(next)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(out[0]).To(Equal(routes(2)))
}

func TestUnpackRejectsWhatIsBroken(t *testing.T) {
	for name, data := range map[string][]byte{
		"not compressed": []byte("routes"),
		"cut short":      compressed(t, make([]byte, 4000))[:8],
		"too large":      compressed(t, make([]byte, 17<<20)),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := packer.Unpack([]messenger.File{{Name: "a", Packed: data}})
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}

func compressed(t *testing.T, p []byte) []byte {
	t.Helper()
	var b bytes.Buffer
	w, _ := flate.NewWriter(&b, flate.BestSpeed)
	_, _ = w.Write(p)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}
