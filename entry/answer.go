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

// engineAnswer writes an engine's answer to the caller, as server-sent events or as one JSON
// object.
type engineAnswer struct {
	w         *responseWriter
	req       *chainer.Request
	collected strings.Builder // text so far, if the answer is not streamed or may be stored
	chunks    int             // chunks received in this attempt
}

// textEvent is the JSON form in which an engine sends one chunk of generated text.
type textEvent struct {
	Text string `json:"text"`
}

// completion is the JSON form, as sent to callers, of an answer or of one chunk of it.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index   int          `json:"index"`
	Text    *string      `json:"text,omitempty"`
	Delta   *chatMessage `json:"delta,omitempty"`
	Message *chatMessage `json:"message,omitempty"`
	Finish  *string      `json:"finish_reason"`
}

type usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
	Cached     int `json:"cached_tokens"`
}

func newEngineAnswer(w *responseWriter, req *chainer.Request) *engineAnswer {
	return &engineAnswer{w: w, req: req}
}

func (a *engineAnswer) callbacks() chainer.Answer {
	return chainer.Answer{SetWriteDeadline: a.w.setWriteDeadline, Begin: a.begin, Chunk: a.chunk, End: a.end, Encode: a.encodeStored, Replay: a.replay}
}

// begin discards the output of an earlier attempt. It reports false if the response has
// started, as output that was sent can't be discarded.
func (a *engineAnswer) begin() bool {
	if a.w.started {
		return false
	}
	a.collected.Reset()
	a.chunks = 0
	return true
}

func (a *engineAnswer) chunk(c messenger.Chunk) error {
	var ev textEvent
	if err := json.Unmarshal(c.Data, &ev); err != nil {
		return &coder.Error{Code: coder.EngineFailed, Run: coder.Ran, Text: "answer is not JSON"}
	}
	a.chunks++
	if !a.req.Stream || a.req.NonIdempotent {
		a.collected.WriteString(ev.Text)
	}
	if !a.req.Stream {
		return nil
	}
	a.writeHeader()
	return a.writeEvent(a.newChunk(ev.Text, "", nil))
}

func (a *engineAnswer) writeHeader() {
	if a.w.started {
		return
	}
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	h.Set(headerRun, coder.Ran.Header())
	a.w.sse = true
	a.w.WriteHeader(http.StatusOK)
}

func (a *engineAnswer) end(e messenger.End) error {
	last := a.final(e)
	return a.writeFinal(last.Finish, last.Usage)
}

// final returns the final event of an answer that ended with e. The finish reason is
// "length" if the output reached the request's token limit, otherwise "stop".
func (a *engineAnswer) final(e messenger.End) finalEvent {
	counts := &usage{Prompt: e.Usage.Prompt, Completion: e.Usage.Output, Total: e.Usage.Prompt + e.Usage.Output, Cached: e.Usage.Cached}
	if a.req.MaxOutput > 0 && e.Usage.Output >= a.req.MaxOutput {
		return finalEvent{Finish: "length", Usage: counts}
	}
	return finalEvent{Finish: "stop", Usage: counts}
}

func (a *engineAnswer) writeFinal(finish string, u *usage) error {
	if !a.req.Stream {
		return a.writeObject(a.newCompletion(finish, u))
	}
	a.writeHeader()
	if err := a.writeEvent(a.newChunk("", finish, u)); err != nil {
		return err
	}
	if _, err := fmt.Fprint(a.w, "data: [DONE]\n\n"); err != nil {
		return err
	}
	return a.w.flush()
}

// writeObject writes a complete response that consists of one JSON object.
func (a *engineAnswer) writeObject(c completion) error {
	p, err := json.Marshal(c)
	if err != nil {
		return err
	}
	h := a.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(headerCode, "0")
	h.Set(headerRun, coder.Ran.Header())
	a.w.WriteHeader(http.StatusOK)
	_, err = fmt.Fprintf(a.w, "%s\n", p)
	return err
}

func (a *engineAnswer) writeEvent(c completion) error {
	p, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(a.w, "data: %s\n\n", p); err != nil {
		return err
	}
	return a.w.flush()
}

func (a *engineAnswer) newChunk(s, finish string, u *usage) completion {
	c := completion{ID: a.req.ID, Model: a.req.Model, Usage: u, Choices: []choice{{Finish: nilIfEmpty(finish)}}}
	if a.req.Chat {
		c.Object = "chat.completion.chunk"
		c.Choices[0].Delta = &chatMessage{Role: "assistant", Content: s}
		return c
	}
	c.Object = "text_completion"
	c.Choices[0].Text = &s
	return c
}

func (a *engineAnswer) newCompletion(finish string, u *usage) completion {
	c := a.newChunk(a.collected.String(), finish, u)
	if a.req.Chat {
		c.Object = "chat.completion"
		c.Choices[0].Message, c.Choices[0].Delta = c.Choices[0].Delta, nil
	}
	return c
}

func nilIfEmpty(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

// finalEvent holds what follows the text of an answer.
type finalEvent struct {
	Finish string `json:"finish"`
	Usage  *usage `json:"usage"`
}

// storedCompletion is the JSON form in which an answer is stored with its claim.
type storedCompletion struct {
	textEvent
	finalEvent
}

// encodeStored returns the complete answer, which is replayed to a request with the same
// idempotency key. It returns nil if the answer is too large to be stored.
func (a *engineAnswer) encodeStored(e messenger.End) []byte {
	if a.collected.Len() > claimer.MaxAnswerBytes {
		return nil
	}
	p, err := json.Marshal(storedCompletion{textEvent{Text: a.collected.String()}, a.final(e)})
	if err != nil {
		return nil
	}
	return p
}

// replay writes an answer that encodeStored returned.
func (a *engineAnswer) replay(p []byte) error {
	var stored storedCompletion
	if err := json.Unmarshal(p, &stored); err != nil {
		return &coder.Error{Code: coder.Internal, Run: coder.Ran, Cause: err}
	}
	if err := a.chunk(messenger.Chunk{Data: p}); err != nil {
		return err
	}
	return a.writeFinal(stored.Finish, stored.Usage)
}
