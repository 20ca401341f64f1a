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
	"bramleyshunt/fetcher"
	"bramleyshunt/messenger"
)

// lateTolerance is the time that a request may take beyond its timeout before it counts as
// late. It allows for the transfer of the final reply to the caller.
const lateTolerance = time.Second

// Outcome describes how one request ended. Durations are zero if the request did not get
// that far.
type Outcome struct {
	Number   int
	Tokens   int             // of the prompt
	Class    messenger.Class // of the prompt
	TTFT     time.Duration   // time to the first text of the answer
	Duration time.Duration
	Gaps     []time.Duration // between texts of the answer
	Code     coder.Code      // OK if the answer was complete
	Run      string          // Bramleyshunt-Run header
	Retry    string          // Retry-After header
	Late     bool            // ended more than lateTolerance after its timeout
	Wrong    bool            // incorrect answer, error without a code, transport error, or stream without an end marker
	Detail   string          // cause of an error
}

// Valid reports whether the request received its complete answer or a numbered code in
// time.
func (o *Outcome) Valid() bool { return !o.Late && !o.Wrong }

// requestBody is the body of a completion request.
type requestBody struct {
	Model  string `json:"model"`
	Prompt string `json:"prompt"`
	Output int    `json:"max_tokens"`
	Stream bool   `json:"stream"`
}

// streamEvent is the data of one event of a streamed answer.
type streamEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// errorBody is the body of a response with a status other than 200, and the data of an
// error event.
type errorBody struct {
	Error struct {
		Code    coder.Code `json:"code"`
		Message string     `json:"message"`
	} `json:"error"`
}

// Prompt returns the prompt of request number n of a load with the given seed. Prompts
// differ from their first block on, so that none hits the prefix cache of another.
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

// send sends one request, waits for its end and returns the outcome.
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
	ctx, cancel := context.WithTimeout(ctx, timeout+2*lateTolerance)
	defer cancel()
	req, err := l.newRequest(ctx, j, requestBody{Model: l.Model, Prompt: prompt, Output: output, Stream: true}, timeout)
	if err != nil {
		o.recordError(err)
		return o
	}
	text := l.do(req, &o, start)
	o.Duration = time.Since(start)
	o.Late = o.Duration > timeout+lateTolerance
	if o.Code == coder.OK && !o.Wrong && l.Check != nil && !l.Check(prompt, output, text) {
		o.Wrong, o.Detail = true, fmt.Sprintf("unexpected answer of %d bytes", len(text))
	}
	return o
}

func (l *Loader) newRequest(ctx context.Context, j job, b requestBody, timeout time.Duration) (*http.Request, error) {
	p, err := json.Marshal(&b)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	url := l.EntryURLs[j.number%len(l.EntryURLs)] + "/v1/completions"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(p))
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+l.Token)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Request-Timeout", strconv.FormatFloat(timeout.Seconds(), 'f', 3, 64))
	return req, nil
}

// do sends the request, records the response in o and returns the text of the answer.
func (l *Loader) do(req *http.Request, o *Outcome, start time.Time) string {
	client := l.Client
	if client == nil {
		client = fetcher.DefaultClient
	}
	resp, err := client.Do(req)
	if err != nil {
		o.recordError(err)
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	o.Run, o.Retry = resp.Header.Get("Bramleyshunt-Run"), resp.Header.Get("Retry-After")
	if resp.StatusCode != http.StatusOK {
		o.readRefusal(resp)
		return ""
	}
	return o.readStream(bufio.NewReader(resp.Body), start)
}

// readRefusal records the code of a response other than 200. Every refusal carries it in
// the Bramleyshunt-Code header.
func (o *Outcome) readRefusal(resp *http.Response) {
	n, err := strconv.Atoi(resp.Header.Get("Bramleyshunt-Code"))
	if err != nil || n == 0 {
		o.Wrong, o.Detail = true, fmt.Sprintf("response with status %d has no valid Bramleyshunt-Code header", resp.StatusCode)
		return
	}
	o.Code = coder.Code(n)
	var r errorBody
	if json.NewDecoder(resp.Body).Decode(&r) == nil {
		o.Detail = r.Error.Message
	}
}

// readStream collects the answer's text up to the end marker. It returns an empty text if
// the stream fails before.
func (o *Outcome) readStream(r *bufio.Reader, start time.Time) string {
	var text strings.Builder
	failed := false
	last := start
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			o.Wrong, o.Detail = true, fmt.Sprintf("stream ended after %d bytes of text without an end marker: %v", text.Len(), err)
			return ""
		}
		line = strings.TrimSpace(line)
		data, ok := strings.CutPrefix(line, "data: ")
		switch {
		case line == "event: error":
			failed = true
		case !ok:
		case failed:
			o.readErrorEvent(data)
			return ""
		case data == "[DONE]":
			return text.String()
		default:
			now := time.Now()
			o.recordEvent(data, &text, now.Sub(start), now.Sub(last))
			last = now
		}
	}
}

// readErrorEvent records the code of an error event.
func (o *Outcome) readErrorEvent(data string) {
	var r errorBody
	if err := json.Unmarshal([]byte(data), &r); err != nil || r.Error.Code == coder.OK {
		o.Wrong, o.Detail = true, "error event has no code"
		return
	}
	o.Code, o.Detail = r.Error.Code, r.Error.Message
}

// recordEvent appends the text of an event and records its time since the start of the
// request, or the gap since the previous event. Events without text count as neither.
func (o *Outcome) recordEvent(data string, text *strings.Builder, since, gap time.Duration) {
	var e streamEvent
	if err := json.Unmarshal([]byte(data), &e); err != nil {
		return
	}
	n := 0
	for _, c := range e.Choices {
		n += len(c.Text)
		text.WriteString(c.Text)
	}
	switch {
	case n == 0:
	case o.TTFT == 0:
		o.TTFT = since
	default:
		o.Gaps = append(o.Gaps, gap)
	}
}

// recordError marks a request that could not be sent or received no response.
func (o *Outcome) recordError(err error) { o.Wrong, o.Detail = true, err.Error() }
