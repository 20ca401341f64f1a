package faker

import (
	"encoding/json"
	"strings"

	"bramleyshunt/coder"
)

const (
	tokenBytes    = 4
	defaultOutput = 64
	hashOffset    = 14695981039346656037 // FNV-1a, 64 bits
	hashPrime     = 1099511628211
)

// vocabulary lists the words from which answers are composed.
var vocabulary = strings.Fields(`the pace of runner seven holds at pass and valley
	while weather turns crews wait near lower station with water light maps
	clerk sends letter before due date renewal policy office county archive
	index first second third night morning checkpoint summit river bridge`)

// body is the JSON body of a completion or chat completion request. Errors for
// malformed bodies print the names of this type and of message.
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

func parseBody(data []byte) (*body, error) {
	var b body
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, coder.Errorf(coder.Malformed, "body: %v", err)
	}
	if b.Output == 0 {
		b.Output = defaultOutput
	}
	return &b, nil
}

// text returns the prompt, or the contents of the messages joined by newlines if
// there are messages.
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

// tokenCount returns the length of a text in tokens of tokenBytes each.
func tokenCount(text string) int {
	return (len(text) + tokenBytes - 1) / tokenBytes
}

// hashBlocks continues the FNV-1a hash state over text. It returns the state after
// each complete block of tokens and the state at the end of the text.
func hashBlocks(state uint64, text string, block int) ([]uint64, uint64) {
	blocks := make([]uint64, 0, tokenCount(text)/block)
	size := block * tokenBytes
	complete := tokenCount(text) / block
	for start := 0; start < len(text); start += size {
		part := text[start:min(start+size, len(text))]
		for i := 0; i < len(part); i++ {
			state = (state ^ uint64(part[i])) * hashPrime
		}
		if len(blocks) < complete {
			blocks = append(blocks, state)
		}
	}
	return blocks, state
}

// answerToken returns the nth token, counted from 1, of the answer to a prompt
// whose hash state is seed.
func answerToken(seed uint64, n int) string {
	x := seed + uint64(n)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return vocabulary[(x^x>>31)%uint64(len(vocabulary))] + " "
}

// Answer returns the complete answer of n tokens that every fake engine produces
// for a prompt, also if the prompt was prefilled in segments on several engines.
func Answer(prompt string, n int) string {
	_, seed := hashBlocks(hashOffset, prompt, 1<<30)
	var s strings.Builder
	for i := 1; i <= n; i++ {
		s.WriteString(answerToken(seed, i))
	}
	return s.String()
}

// handle is the KV handle of a prefix: its hash state, its length and the holds of
// its segments. Errors for malformed handles print the names of this type and of
// hold.
type handle struct {
	State  uint64 `json:"state"`
	Tokens int    `json:"tokens"`
	Holds  []hold `json:"holds"`
}

// hold identifies a segment of a prefix that is pinned on one engine.
type hold struct {
	ID          string `json:"id"`
	URL         string `json:"url"`
	Incarnation uint64 `json:"incarnation"`
}

func parseHandle(data []byte) (handle, error) {
	h := handle{State: hashOffset}
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
		panic(err) // cannot happen: the type has no floats, cycles or custom encoders
	}
	return data
}
