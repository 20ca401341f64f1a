package faker

import (
	"encoding/json"
	"strings"

	"bramleyshunt/coder"
)

const (
	tokenBytes    = 4
	defaultOutput = 64
	hashStart     = 14695981039346656037 // FNV-1a, 64 bits
	hashPrime     = 1099511628211
)

// words are what answers are made of.
var words = strings.Fields(`the pace of runner seven holds at pass and valley
	while weather turns crews wait near lower station with water light maps
	clerk sends letter before due date renewal policy office county archive
	index first second third night morning checkpoint summit river bridge`)

// body is a request in the usual JSON of completions.
type body struct {
	Model    string    `json:"model"`
	Prompt   string    `json:"prompt"`
	Messages []message `json:"messages"`
	Output   int       `json:"max_tokens"`
	Stream   bool      `json:"stream"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func parse(data []byte) (*body, error) {
	var b body
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, coder.Errorf(coder.Malformed, "body: %v", err)
	}
	if b.Output == 0 {
		b.Output = defaultOutput
	}
	return &b, nil
}

// text returns the prompt, or the contents of the messages joined by newlines.
func (b *body) text() string {
	if len(b.Messages) == 0 {
		return b.Prompt
	}
	parts := make([]string, len(b.Messages))
	for i, m := range b.Messages {
		parts[i] = m.Content
	}
	return strings.Join(parts, "\n")
}

// tokens returns the length of a text in the stand-in's tokens.
func tokens(text string) int {
	return (len(text) + tokenBytes - 1) / tokenBytes
}

// hash continues the hash state over text and returns it after each whole block
// of tokens and at the end.
func hash(state uint64, text string, block int) ([]uint64, uint64) {
	blocks := make([]uint64, 0, tokens(text)/block)
	size := block * tokenBytes
	whole := tokens(text) / block
	for start := 0; start < len(text); start += size {
		part := text[start:min(start+size, len(text))]
		for i := 0; i < len(part); i++ {
			state = (state ^ uint64(part[i])) * hashPrime
		}
		if len(blocks) < whole {
			blocks = append(blocks, state)
		}
	}
	return blocks, state
}

// word returns the nth token of the answer to the prompt with hash state seed,
// from 1.
func word(seed uint64, n int) string {
	x := seed + uint64(n)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return words[(x^x>>31)%uint64(len(words))] + " "
}

// Answer returns the whole answer of n tokens that any stand-in engine gives to
// a prompt, also when it was prefilled in segments on several.
func Answer(prompt string, n int) string {
	_, seed := hash(hashStart, prompt, 1<<30)
	var s strings.Builder
	for i := 1; i <= n; i++ {
		s.WriteString(word(seed, i))
	}
	return s.String()
}

// handle is the KV handle of a prefix: the holds that make it up and its hash.
type handle struct {
	State  uint64 `json:"state"`
	Tokens int    `json:"tokens"`
	Holds  []hold `json:"holds"`
}

// hold is a pinned segment on one engine.
type hold struct {
	ID          string `json:"id"`
	URL         string `json:"url"`
	Incarnation uint64 `json:"incarnation"`
}

func parseHandle(data []byte) (handle, error) {
	h := handle{State: hashStart}
	if len(data) == 0 {
		return h, nil
	}
	if err := json.Unmarshal(data, &h); err != nil {
		return h, coder.Errorf(coder.Malformed, "KV handle: %v", err)
	}
	return h, nil
}

func (h handle) encode() []byte {
	data, err := json.Marshal(h)
	if err != nil {
		panic(err) // plain data without floats or cycles always encodes
	}
	return data
}
