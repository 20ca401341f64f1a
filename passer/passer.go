// Package passer simulates an inference engine that works in passes. A pass runs several
// decode steps, emits one event for each stream and prefills prompts between the steps,
// so that prefill delays all streams. Several engines can each prefill a part of a
// prompt. The package is a state machine: it starts no goroutines and reads no clock.
package passer

import (
	"slices"
	"time"

	"bramleyshunt/configurer"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Request describes one prompt and its answer.
type Request struct {
	ID           string
	Prompt       int // tokens
	Output       int // tokens
	Events       int // of the answer, one per pass
	Parts        int // engines that prefill the prompt, this one included; 1 if zero
	HelperTokens int // tokens of the prompt that helpers hold in reserved memory
}

// Part is the share of a prompt that a helper prefills for the engine that decodes it.
type Part struct {
	ID     string
	Tokens int
	Pairs  float64 // millions of pairs of a token and an earlier one, for the cost of attention
}

// Kind is the kind of an outcome.
type Kind uint8

// Kinds of outcomes.
const (
	Event         Kind = iota // the request emitted an event and continues
	Ended                     // the request emitted its last event
	PartPrefilled             // a part for another engine is prefilled
)

// Outcome is one result of a pass.
type Outcome struct {
	Kind Kind
	ID   string // of the request or part
}

// Passer is one simulated engine. Engine is required.
type Passer struct {
	Engine configurer.Engine
	Queue  int // maximum number of requests waiting for a slot

	requests    []*work // in order of arrival
	helperParts []*work // prefilled for other engines, in order of arrival
	reserved    int     // tokens of memory reserved for other engines
	steps       int     // of the current pass
	decoding    []*work // requests that decode in the current pass
}

// work is a request, or a part prefilled for another engine. The latter has no prompt.
type work struct {
	Request
	remaining    int     // tokens of the own part that are not prefilled yet
	pairs        float64 // millions of token pairs of the own part
	tokens       int     // tokens of the own part
	pendingParts int     // parts that helpers have not prefilled yet
	emitted      int     // events so far
	admitted     bool    // has a slot and memory
}

// memory returns the tokens of memory that the request uses on this engine.
func (w *work) memory() int { return w.Prompt + w.Output - w.HelperTokens }

// decodes reports whether all parts of the prompt are prefilled.
func (w *work) decodes() bool { return w.admitted && w.remaining == 0 && w.pendingParts == 0 }

// Submit adds a request. It reports false if the queue is full or the request exceeds the
// engine's memory.
func (p *Passer) Submit(r Request) bool {
	if len(p.requests) >= p.Engine.Slots+p.Queue || r.Prompt+r.Output-r.HelperTokens > p.Engine.Memory {
		return false
	}
	n := max(1, r.Parts)
	share := r.Prompt / n
	p.requests = append(p.requests, &work{
		Request: r, remaining: max(1, share), tokens: max(1, share), pairs: Pairs(r.Prompt) / float64(n), pendingParts: n - 1,
	})
	return true
}

// Pairs returns the number of pairs of tokens in a prompt, in millions.
func Pairs(tokens int) float64 { return float64(tokens) * float64(tokens) / 2 / 1e6 }

// SubmitPart adds a part of a prompt to prefill for another engine.
func (p *Passer) SubmitPart(part Part) {
	p.helperParts = append(p.helperParts, &work{
		Request: Request{ID: part.ID}, remaining: max(1, part.Tokens), tokens: max(1, part.Tokens), pairs: part.Pairs,
	})
}

// RecordPart records that a helper has prefilled its part of a request's prompt.
func (p *Passer) RecordPart(id string) {
	if w := p.find(id); w != nil {
		w.pendingParts = max(0, w.pendingParts-1)
	}
}

// ReserveMemory reserves memory for another engine, in tokens. It reports false if too
// little is free.
func (p *Passer) ReserveMemory(tokens int) bool {
	if p.used()+tokens > p.Engine.Memory {
		return false
	}
	p.reserved += tokens
	return true
}

// FreeMemory frees reserved memory, in tokens.
func (p *Passer) FreeMemory(tokens int) { p.reserved = max(0, p.reserved-tokens) }

// Cancel removes a request and frees its slot and memory.
func (p *Passer) Cancel(id string) {
	matches := func(w *work) bool { return w.ID == id }
	p.requests, p.decoding = slices.DeleteFunc(p.requests, matches), slices.DeleteFunc(p.decoding, matches)
}

// Counts returns the number of requests within the slots and of those waiting for one.
func (p *Passer) Counts() (running, waiting int) {
	running = min(len(p.requests), p.Engine.Slots)
	return running, len(p.requests) - running
}

func (p *Passer) find(id string) *work {
	i := slices.IndexFunc(p.requests, func(w *work) bool { return w.ID == id })
	if i < 0 {
		return nil
	}
	return p.requests[i]
}

// used returns the tokens of memory in use.
func (p *Passer) used() int {
	sum := p.reserved
	for _, w := range p.requests {
		if w.admitted {
			sum += w.memory()
		}
	}
	return sum
}

// admit assigns slots and memory in order of arrival. A request that does not fit into
// memory blocks the requests after it.
func (p *Passer) admit() {
	used := p.used()
	for i, w := range p.requests {
		if i >= p.Engine.Slots {
			return
		}
		if w.admitted {
			continue
		}
		if used += w.memory(); used > p.Engine.Memory {
			return
		}
		w.admitted = true
	}
}

// Begin starts a pass and returns its duration. It returns false if there is no work.
func (p *Passer) Begin() (time.Duration, bool) {
	p.admit()
	p.decoding = slices.DeleteFunc(slices.Clone(p.requests), func(w *work) bool { return !w.decodes() })
	p.steps = 1
	if len(p.decoding) > 0 {
		p.steps = max(1, p.Engine.Stride)
	}
	prefillMS := p.prefill(p.steps * p.Engine.Chunk)
	if prefillMS == 0 && len(p.decoding) == 0 {
		return 0, false
	}
	ms := float64(p.steps)*p.stepMS() + prefillMS
	return time.Duration(ms * float64(time.Millisecond)), true
}

// stepMS returns the milliseconds of one decode step, without prefill. Memory reserved
// for other engines counts as context.
func (p *Passer) stepMS() float64 {
	e := p.Engine
	context := p.reserved
	ms := e.Step
	for _, w := range p.decoding {
		context += w.Prompt - w.HelperTokens + w.emitted*e.Stride
		ms += e.Seq
		if w.HelperTokens > 0 {
			ms += e.Hop
		}
	}
	return ms + float64(context)/1e3*e.Context
}

// prefill prefills up to budget tokens, parts for other engines first, and returns the
// milliseconds that it takes.
func (p *Passer) prefill(budget int) float64 {
	ms := 0.0
	for _, w := range append(slices.Clone(p.helperParts), p.requests...) {
		if w.remaining == 0 || w.Prompt > 0 && !w.admitted {
			continue
		}
		n := min(w.remaining, budget)
		ms += p.prefillMS(w, n)
		w.remaining -= n
		budget -= n
		if budget == 0 {
			break
		}
	}
	return ms
}

// prefillMS returns the milliseconds that the prefill of the next n tokens takes. The
// tokens of an unsplit prompt pair with all earlier ones; in a part, each token accounts
// for an equal share of its pairs.
func (p *Passer) prefillMS(w *work, n int) float64 {
	done, share := w.tokens-w.remaining, float64(n)/float64(w.tokens)
	if w.Prompt > 0 && w.Parts <= 1 {
		share = (Pairs(done+n) - Pairs(done)) / Pairs(w.tokens)
	}
	return float64(n)/p.Engine.Read*1e3 + share*w.pairs*p.Engine.Pairs
}

// End ends the pass and returns its outcomes: an event of each request that decoded or
// whose prompt is now prefilled, and the parts prefilled for other engines.
func (p *Passer) End() []Outcome {
	var out []Outcome
	for _, w := range slices.Clone(p.requests) {
		if w.decodes() {
			out = append(out, p.emit(w))
		}
	}
	p.helperParts = slices.DeleteFunc(p.helperParts, func(w *work) bool {
		if w.remaining == 0 {
			out = append(out, Outcome{Kind: PartPrefilled, ID: w.ID})
		}
		return w.remaining == 0
	})
	p.decoding = nil
	return out
}

// emit emits the next event of a request and removes the request after its last one.
func (p *Passer) emit(w *work) Outcome {
	w.emitted++
	if w.emitted < w.Events {
		return Outcome{Kind: Event, ID: w.ID}
	}
	p.Cancel(w.ID)
	return Outcome{Kind: Ended, ID: w.ID}
}
