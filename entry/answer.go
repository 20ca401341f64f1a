package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"bramleyshunt/chainer"
	"bramleyshunt/claimer"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// text writes an engine's answer, as server-sent events or as one JSON object.
type text struct {
	w     *tracked
	r     *chainer.Request
	whole strings.Builder
	count int
}

// event is one piece of an engine's answer.
type event struct {
	Text string `json:"text"`
}

// completion is the caller's form of an answer or of a piece of one.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index   int     `json:"index"`
	Text    *string `json:"text,omitempty"`
	Delta   *turn   `json:"delta,omitempty"`
	Message *turn   `json:"message,omitempty"`
	Finish  *string `json:"finish_reason"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
	Cached     int `json:"cached_tokens"`
}

func newText(w *tracked, r *chainer.Request) *text {
	return &text{w: w, r: r}
}

func (t *text) answer() chainer.Answer {
	return chainer.Answer{SetWriteDeadline: t.w.until, Begin: t.begin, Chunk: t.chunk, End: t.end, Encode: t.kept, Replay: t.reply}
}

// begin drops what an earlier attempt left, unless the caller has seen it.
func (t *text) begin() bool {
	if t.w.sent {
		return false
	}
	t.whole.Reset()
	t.count = 0
	return true
}

func (t *text) chunk(c messenger.Chunk) error {
	var ev event
	if err := json.Unmarshal(c.Data, &ev); err != nil {
		return &coder.Error{Code: coder.EngineFailed, Run: coder.Ran, Text: "answer is not JSON"}
	}
	t.count++
	if !t.r.Stream || t.r.NonIdempotent {
		t.whole.WriteString(ev.Text)
	}
	if !t.r.Stream {
		return nil
	}
	t.head()
	return t.event(t.piece(ev.Text, "", nil))
}

func (t *text) head() {
	if t.w.sent {
		return
	}
	h := t.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(headerRun, coder.Ran.Header())
	t.w.events = true
	t.w.WriteHeader(http.StatusOK)
}

func (t *text) end(e messenger.End) error {
	c := t.close(e)
	return t.finish(c.Finish, c.Usage)
}

// close returns the last event of an answer that ended with e.
func (t *text) close(e messenger.End) closing {
	u := &usage{Prompt: e.Usage.Prompt, Completion: e.Usage.Output, Total: e.Usage.Prompt + e.Usage.Output, Cached: e.Usage.Cached}
	if t.r.MaxOutput > 0 && e.Usage.Output >= t.r.MaxOutput {
		return closing{Finish: "length", Usage: u}
	}
	return closing{Finish: "stop", Usage: u}
}

func (t *text) finish(finish string, u *usage) error {
	if !t.r.Stream {
		return t.object(t.full(finish, u))
	}
	t.head()
	if err := t.event(t.piece("", finish, u)); err != nil {
		return err
	}
	if _, err := fmt.Fprint(t.w, "data: [DONE]\n\n"); err != nil {
		return err
	}
	return t.w.flush()
}

// object writes the whole answer as JSON.
func (t *text) object(c completion) error {
	p, err := json.Marshal(c)
	if err != nil {
		return err
	}
	h := t.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerCode, "0")
	h.Set(headerRun, coder.Ran.Header())
	t.w.WriteHeader(http.StatusOK)
	_, err = fmt.Fprintf(t.w, "%s\n", p)
	return err
}

func (t *text) event(c completion) error {
	p, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(t.w, "data: %s\n\n", p); err != nil {
		return err
	}
	return t.w.flush()
}

func (t *text) piece(s, finish string, u *usage) completion {
	c := completion{ID: t.r.ID, Model: t.r.Model, Usage: u, Choices: []choice{{Finish: optional(finish)}}}
	if t.r.Chat {
		c.Object = "chat.completion.chunk"
		c.Choices[0].Delta = &turn{Role: "assistant", Content: s}
		return c
	}
	c.Object = "text_completion"
	c.Choices[0].Text = &s
	return c
}

func (t *text) full(finish string, u *usage) completion {
	c := t.piece(t.whole.String(), finish, u)
	if t.r.Chat {
		c.Object = "chat.completion"
		c.Choices[0].Message, c.Choices[0].Delta = c.Choices[0].Delta, nil
	}
	return c
}

func optional(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

// closing is the last event of an answer.
type closing struct {
	Finish string `json:"finish"`
	Usage  *usage `json:"usage"`
}

// memory is an answer as it is kept with its claim.
type memory struct {
	event
	closing
}

// kept returns the whole answer, for a resend with the same key.
func (t *text) kept(e messenger.End) []byte {
	if t.whole.Len() > claimer.MaxAnswerBytes {
		return nil
	}
	p, err := json.Marshal(memory{event{Text: t.whole.String()}, t.close(e)})
	if err != nil {
		return nil
	}
	return p
}

func (t *text) reply(p []byte) error {
	var m memory
	if err := json.Unmarshal(p, &m); err != nil {
		return &coder.Error{Code: coder.Internal, Run: coder.Ran, Cause: err}
	}
	if err := t.chunk(messenger.Chunk{Data: p}); err != nil {
		return err
	}
	return t.finish(m.Finish, m.Usage)
}
