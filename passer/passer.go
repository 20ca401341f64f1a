// Package passer is a model engine that works in passes, as a pure step machine. A
// pass makes one event for each stream and reads prompts in between, so that what is
// read holds up all who write. A prompt may be read in parts by several engines. It
// owns no goroutine and reads no clock.
package passer

import (
	"slices"
	"time"

	"bramleyshunt/configurer"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Request is one prompt and its answer.
type Request struct {
	ID     string
	Prompt int // tokens
	Output int // tokens
	Events int // of the answer, one a pass
	Parts  int // engines that read the prompt, this one among them; one if zero
	Held   int // tokens of the prompt that helpers keep in memory set aside
}

// Part is what one engine reads of a prompt that another one writes for.
type Part struct {
	ID     string
	Tokens int
	Pairs  float64 // millions of pairs of a token and an earlier one
}

// Kind marks an outcome of a pass.
type Kind uint8

// Kinds of outcomes.
const (
	Event Kind = iota // the request's next event is made
	Ended             // that was its last
	Read              // the part for another engine is read
)

// Outcome is what a pass made.
type Outcome struct {
	Kind Kind
	ID   string
}

// Passer is one engine. The zero value needs an Engine.
type Passer struct {
	Engine configurer.Engine
	Queue  int // requests that wait beyond the slots

	works  []*work // by arrival
	parts  []*work // for other engines, by arrival
	aside  int     // tokens of memory set aside for other engines
	steps  int     // of the pass under way
	writes []*work // in the pass under way
}

// work is a request, or a part read for another engine.
type work struct {
	Request
	left     int     // tokens of its part not yet read
	pairs    float64 // millions, of the part
	share    int     // tokens of the part
	missing  int     // parts that other engines have not read
	made     int     // events
	admitted bool
}

func (w *work) memory() int { return w.Prompt + w.Output - w.Held }

func (w *work) writes() bool { return w.admitted && w.left == 0 && w.missing == 0 }

// Submit takes a request and reports whether there was room for it.
func (p *Passer) Submit(r Request) bool {
	if len(p.works) >= p.Engine.Slots+p.Queue || r.Prompt+r.Output-r.Held > p.Engine.Memory {
		return false
	}
	n := max(1, r.Parts)
	share := r.Prompt / n
	p.works = append(p.works, &work{
		Request: r, left: max(1, share), share: max(1, share), pairs: Pairs(r.Prompt) / float64(n), missing: n - 1,
	})
	return true
}

// Pairs returns the millions of pairs of a prompt's tokens.
func Pairs(tokens int) float64 { return float64(tokens) * float64(tokens) / 2 / 1e6 }

// Help takes a part of a prompt that another engine writes for.
func (p *Passer) Help(part Part) {
	p.parts = append(p.parts, &work{
		Request: Request{ID: part.ID}, left: max(1, part.Tokens), share: max(1, part.Tokens), pairs: part.Pairs,
	})
}

// PartRead tells that another engine has read its part of a request's prompt.
func (p *Passer) PartRead(id string) {
	if w := p.find(id); w != nil {
		w.missing = max(0, w.missing-1)
	}
}

// Hold sets memory aside, in tokens, and reports whether it is free.
func (p *Passer) Hold(tokens int) bool {
	if p.used()+tokens > p.Engine.Memory {
		return false
	}
	p.aside += tokens
	return true
}

// Free gives memory back that was set aside.
func (p *Passer) Free(tokens int) { p.aside = max(0, p.aside-tokens) }

// Cancel takes a request out, with what it has.
func (p *Passer) Cancel(id string) {
	is := func(w *work) bool { return w.ID == id }
	p.works, p.writes = slices.DeleteFunc(p.works, is), slices.DeleteFunc(p.writes, is)
}

// Running returns the requests that have a slot, and those that wait.
func (p *Passer) Running() (running, waiting int) {
	running = min(len(p.works), p.Engine.Slots)
	return running, len(p.works) - running
}

func (p *Passer) find(id string) *work {
	i := slices.IndexFunc(p.works, func(w *work) bool { return w.ID == id })
	if i < 0 {
		return nil
	}
	return p.works[i]
}

func (p *Passer) used() int {
	sum := p.aside
	for _, w := range p.works {
		if w.admitted {
			sum += w.memory()
		}
	}
	return sum
}

// admit gives slots and memory by arrival. The first that does not fit keeps those
// behind it waiting.
func (p *Passer) admit() {
	used := p.used()
	for i, w := range p.works {
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

// Begin starts a pass and returns how long it takes; false if there is no work.
func (p *Passer) Begin() (time.Duration, bool) {
	p.admit()
	p.writes = slices.DeleteFunc(slices.Clone(p.works), func(w *work) bool { return !w.writes() })
	p.steps = 1
	if len(p.writes) > 0 {
		p.steps = max(1, p.Engine.Stride)
	}
	read := p.read(p.steps * p.Engine.Chunk)
	if read == 0 && len(p.writes) == 0 {
		return 0, false
	}
	ms := float64(p.steps)*p.step() + read
	return time.Duration(ms * float64(time.Millisecond)), true
}

// step returns the milliseconds of one step without what is read.
func (p *Passer) step() float64 {
	e := p.Engine
	context := p.aside
	ms := e.Step
	for _, w := range p.writes {
		context += w.Prompt - w.Held + w.made*e.Stride
		ms += e.Seq
		if w.Held > 0 {
			ms += e.Hop
		}
	}
	return ms + float64(context)/1e3*e.Context
}

// read reads up to a number of tokens, parts for other engines first, and returns
// the milliseconds that takes.
func (p *Passer) read(budget int) float64 {
	ms := 0.0
	for _, w := range append(slices.Clone(p.parts), p.works...) {
		if w.left == 0 || w.Prompt > 0 && !w.admitted {
			continue
		}
		n := min(w.left, budget)
		ms += p.cost(w, n)
		w.left -= n
		budget -= n
		if budget == 0 {
			break
		}
	}
	return ms
}

// cost returns the milliseconds of reading the next n tokens of a work. Tokens of a
// whole prompt have all earlier ones as pairs; a part has an even share.
func (p *Passer) cost(w *work, n int) float64 {
	done, share := w.share-w.left, float64(n)/float64(w.share)
	if w.Prompt > 0 && w.Parts <= 1 {
		share = (Pairs(done+n) - Pairs(done)) / Pairs(w.share)
	}
	return float64(n)/p.Engine.Read*1e3 + share*w.pairs*p.Engine.Pairs
}

// End ends the pass and returns what it made: events of those who wrote, first
// events of those whose prompt is now read, and parts read for other engines.
func (p *Passer) End() []Outcome {
	var out []Outcome
	for _, w := range slices.Clone(p.works) {
		if w.writes() {
			out = append(out, p.event(w))
		}
	}
	p.parts = slices.DeleteFunc(p.parts, func(w *work) bool {
		if w.left == 0 {
			out = append(out, Outcome{Kind: Read, ID: w.ID})
		}
		return w.left == 0
	})
	p.writes = nil
	return out
}

func (p *Passer) event(w *work) Outcome {
	w.made++
	if w.made < w.Events {
		return Outcome{Kind: Event, ID: w.ID}
	}
	p.Cancel(w.ID)
	return Outcome{Kind: Ended, ID: w.ID}
}
