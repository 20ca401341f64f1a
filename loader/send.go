package loader

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// lateness is what a request may take beyond its time before it counts as late:
// the way of the final answer back to the caller.
const lateness = time.Second

// Outcome tells how one request ended. Durations are zero if it never came so far.
type Outcome struct {
	Number int
	Tokens int             // of the prompt
	Class  messenger.Class // of the prompt
	First  time.Duration   // to the first piece of the answer
	Total  time.Duration
	Gaps   []time.Duration // between pieces of the answer
	Code   coder.Code      // OK if the answer was whole
	Run    string          // Bramleyshunt-Run header
	Retry  string          // Retry-After header
	Late   bool            // ended after its time
	Wrong  bool            // another answer than the prompt's own, or cut without an error
	Detail string
}

// Settled reports whether the request got its whole answer or a numbered code, in time.
func (o *Outcome) Settled() bool { return !o.Late && !o.Wrong }

// body is the request sent.
type body struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Output int    `json:"max_tokens"`
	Stream bool   `json:"stream"`
}

// piece is one event of a streamed answer.
type piece struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// refusal is the body of an answer other than 200, and of an error event.
type refusal struct {
	Error struct {
		Code    coder.Code `json:"code"`
		Message string     `json:"message"`
	} `json:"error"`
}

// Prompt returns the text of request number n of a seeded load. Prompts differ
// from their first block on, so that none is answered from another's cache.
func Prompt(seed uint64, n, tokens int) string {
	head := fmt.Sprintf("%016x %08d ", seed, n)
	line := fmt.Sprintf("runner %d passed the checkpoint. ", n)
	size := tokens * bytesPerToken
	var b strings.Builder
	b.Grow(size + len(line))
	b.WriteString(head)
	for b.Len() < size {
		b.WriteString(line)
	}
	return b.String()[:max(size, 1)]
}

func (l *Loader) send(ctx context.Context, plan Plan, j job) Outcome {
	o := Outcome{Number: j.number, Tokens: j.tokens, Class: messenger.ClassOf(j.tokens)}
	timeout := plan.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	output := plan.Output
	if output <= 0 {
		output = DefaultOutput
	}
	prompt := Prompt(plan.Seed, j.number, j.tokens)
	start := time.Now()
	ctx, cancel := context.WithTimeout(ctx, timeout+2*lateness)
	defer cancel()
	req, err := l.request(ctx, j, body{Model: l.Model, Prompt: prompt, Output: output, Stream: true}, timeout)
	if err != nil {
		o.fault(err)
		return o
	}
	text := l.exchange(req, &o, start)
	o.Total = time.Since(start)
	o.Late = o.Total > timeout+lateness
	if o.Code == coder.OK && !o.Wrong && l.Check != nil && !l.Check(prompt, output, text) {
		o.Wrong, o.Detail = true, fmt.Sprintf("unexpected answer of %d bytes", len(text))
	}
	return o
}

func (l *Loader) request(ctx context.Context, j job, b body, timeout time.Duration) (*http.Request, error) {
	p, err := json.Marshal(&b)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	url := l.Bases[j.number%len(l.Bases)] + "/v1/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(p))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+l.Token)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Request-Timeout", strconv.FormatFloat(timeout.Seconds(), 'f', 3, 64))
	return req, nil
}

func (l *Loader) exchange(req *http.Request, o *Outcome, start time.Time) string {
	client := l.Client
	if client == nil {
		client = http.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		o.fault(err)
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	o.Run, o.Retry = resp.Header.Get("Bramleyshunt-Run"), resp.Header.Get("Retry-After")
	if resp.StatusCode != http.StatusOK {
		o.refused(resp)
		return ""
	}
	return o.read(bufio.NewReader(resp.Body), start)
}

// refused takes the code from the header, which every refusal carries.
func (o *Outcome) refused(resp *http.Response) {
	n, err := strconv.Atoi(resp.Header.Get("Bramleyshunt-Code"))
	if err != nil || n == 0 {
		o.Wrong, o.Detail = true, fmt.Sprintf("status %d without a code", resp.StatusCode)
		return
	}
	o.Code = coder.Code(n)
	var r refusal
	if json.NewDecoder(resp.Body).Decode(&r) == nil {
		o.Detail = r.Error.Message
	}
}

// read collects the answer's text until its end marker.
func (o *Outcome) read(r *bufio.Reader, start time.Time) string {
	var text strings.Builder
	failed := false
	last := start
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			o.Wrong, o.Detail = true, fmt.Sprintf("stream cut after %d bytes: %v", text.Len(), err)
			return ""
		}
		line = strings.TrimSpace(line)
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case line == "event: error":
			failed = true
		case !ok:
		case failed:
			o.failed(data)
			return ""
		case data == "[DONE]":
			return text.String()
		default:
			now := time.Now()
			o.note(data, &text, now.Sub(start), now.Sub(last))
			last = now
		}
	}
}

func (o *Outcome) failed(data string) {
	var r refusal
	if err := json.Unmarshal([]byte(data), &r); err != nil || r.Error.Code == coder.OK {
		o.Wrong, o.Detail = true, "error event without a code"
		return
	}
	o.Code, o.Detail = r.Error.Code, r.Error.Message
}

func (o *Outcome) note(data string, text *strings.Builder, since, gap time.Duration) {
	var p piece
	if err := json.Unmarshal([]byte(data), &p); err != nil {
		return
	}
	n := 0
	for _, c := range p.Choices {
		n += len(c.Text)
		text.WriteString(c.Text)
	}
	switch {
	case n == 0:
	case o.First == 0:
		o.First = since
	default:
		o.Gaps = append(o.Gaps, gap)
	}
}

func (o *Outcome) fault(err error) { o.Wrong, o.Detail = true, err.Error() }
