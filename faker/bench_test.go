package faker

import (
	"strings"
	"testing"
)

// BenchmarkPrompt parses and hashes a prompt of a million tokens, as the
// stand-in does once for each request.
func BenchmarkPrompt(b *testing.B) {
	data := []byte(`{"model":"m","prompt":"` + strings.Repeat("abcd", 1_000_000) + `"}`)
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		p, err := parse(data)
		if err != nil {
			b.Fatal(err)
		}
		if blocks, _ := hash(hashStart, p.text(), 256); len(blocks) != 3906 {
			b.Fatal(len(blocks))
		}
	}
}
