package entry

import (
	"encoding/json"
	"strings"

	"bramleyshunt/chainer"
	"bramleyshunt/coder"
	"bramleyshunt/router"
)

// requestBody holds the fields of an engine request that the entry reads. All other fields
// are forwarded to the engine unchanged, except for the priority, which callers may not set.
type requestBody struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func parsePrompt(r *chainer.Request) error {
	b, err := parse(r)
	if err != nil {
		return err
	}
	if b.Prompt == "" {
		return coder.Errorf(coder.Malformed, "no prompt")
	}
	return fillRequest(r, b, b.Prompt)
}

func parseChat(r *chainer.Request) error {
	b, err := parse(r)
	if err != nil {
		return err
	}
	if len(b.Messages) == 0 {
		return coder.Errorf(coder.Malformed, "no messages")
	}
	r.Chat = true
	var text strings.Builder
	for _, m := range b.Messages {
		text.WriteString(m.Role)
		text.WriteString(m.Content)
	}
	return fillRequest(r, b, text.String())
}

func parse(r *chainer.Request) (*requestBody, error) {
	var b requestBody
	if err := json.Unmarshal(r.Body, &b); err != nil {
		return nil, coder.Errorf(coder.Malformed, "%v", err)
	}
	if b.Model == "" {
		return nil, coder.Errorf(coder.Malformed, "no model")
	}
	if b.MaxTokens < 0 {
		return nil, coder.Errorf(coder.Malformed, "max_tokens is negative")
	}
	return &b, nil
}

// fillRequest sets the fields of r that depend on the model and the prompt text.
func fillRequest(r *chainer.Request, b *requestBody, text string) error {
	r.Service = r.Config.ByModel(b.Model)
	if r.Service == "" {
		return coder.Errorf(coder.UnknownModel, "%.64q", b.Model)
	}
	r.Model, r.Stream = b.Model, b.Stream
	r.PromptText, r.PromptBytes = text, len(text)
	r.PrefixHashes = router.PrefixHashes(b.Model, text)
	r.MaxOutput = b.MaxTokens
	if r.MaxOutput == 0 {
		r.MaxOutput = r.Config.Models[b.Model].Output
	}
	return rewriteBody(r)
}

// rewriteBody replaces the body by the one that the engine receives: always streamed, with
// the token limit and without the priority. Its keys are sorted, so that requests which
// differ only in formatting have the same fingerprint.
func rewriteBody(r *chainer.Request) error {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(r.Body, &fields); err != nil {
		return coder.Errorf(coder.Malformed, "%v", err)
	}
	delete(fields, "priority")
	fields["stream"] = json.RawMessage("true")
	if r.MaxOutput > 0 {
		fields["max_tokens"], _ = json.Marshal(r.MaxOutput)
	}
	out, err := json.Marshal(fields)
	if err != nil {
		return coder.Errorf(coder.Malformed, "%v", err)
	}
	r.Body = out
	return nil
}
