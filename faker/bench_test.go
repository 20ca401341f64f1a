package faker

import (
	"strings"
	"testing"
)

// BenchmarkPrompt parses and hashes a prompt of a million tokens, as the fake
// engine does once per request.
func BenchmarkPrompt(b *testing.B) {
	data := []byte(`{"model":"m","prompt":"` + strings.Repeat("abcd", 1_000_000) + `"}`)
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		p, err := parseBody(data)
		if err != nil {
			b.Fatal(err)
		}
		if blocks, _ := hashBlocks(hashOffset, p.text(), 256); len(blocks) != 3906 {
			b.Fatal(len(blocks))
		}
	}
}
