// Package attributor reads the log lines that entries write for requests, and counts by
// length class and time how requests ended and which part of their time made them late.
package attributor

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Outcome -linecomment -output=outcome_string.go
//go:generate go tool -modfile=../tools/go.mod stringer -type=Part -linecomment -output=part_string.go

// Outcome tells how a request ended.
type Outcome uint8

// Outcomes of requests.
const (
	InTime    Outcome = iota // in-time
	LateFirst                // late-first
	Paused                   // paused
	Refused                  // refused
	Failed                   // failed
	GivenUp                  // given-up
)

// Outcomes is the number of outcomes.
const Outcomes = int(GivenUp) + 1

// Part is a part of the time to the first token.
type Part uint8

// Parts of the time to the first token.
const (
	Held    Part = iota // held
	Queued              // queued
	Waiting             // waiting
	Prefill             // prefill
	Silence             // silence
	Refusal             // refusal
	Cut                 // cut
)

// Parts is the number of parts.
const Parts = int(Cut) + 1

const (
	// DefaultStep is the length of a row's time if Attributor.Step is zero.
	DefaultStep = time.Second
	// maxSteps bounds the rows in memory: beyond it, each two neighbouring steps become one.
	maxSteps = 3600
	// maxLineBytes bounds a line. Longer ones are counted as foreign.
	maxLineBytes = 1 << 20
)

// Cell counts the requests of one class in one step.
type Cell struct {
	Outcomes [Outcomes]int // by outcome
	LateBy   [Parts]int    // of those with a late first token, by the largest part of that time
}

// Class is a length class of prompts, or Plain for calls without a prompt.
type Class uint8

// Plain is the class of calls of plain services.
const Plain Class = messenger.Classes

// Classes is the number of classes.
const Classes = messenger.Classes + 1

// String returns the name of the class.
func (c Class) String() string {
	if c == Plain {
		return "plain"
	}
	return messenger.Class(c).String()
}

// Attributor counts requests. The zero value is ready for use.
type Attributor struct {
	Step    time.Duration // length of a row's time; DefaultStep if zero. It doubles when there are too many rows.
	Lines   int           // lines about requests
	Foreign int           // lines that are broken or not about a request

	cells map[int64]*[Classes]Cell // by number of the step since the Unix epoch
}

// line holds the fields of a log line that are used. Times are in milliseconds.
type line struct {
	Message   string    `json:"msg"`
	Time      time.Time `json:"time"` // of the end of the request
	Took      int64     `json:"ms"`
	Prompt    *int      `json:"prompt"`
	Code      int       `json:"code"`
	Run       string    `json:"run"`
	Objective int64     `json:"objective"`
	MaxGap    int64     `json:"maxgap"`
	First     int64     `json:"first"`
	Gap       int64     `json:"gap"`

	Held    int64 `json:"held"`
	Queued  int64 `json:"queued"`
	Wait    int64 `json:"wait"` // from the last placement to the first chunk
	Prefill int64 `json:"prefill"`
	Silence int64 `json:"silence"`
	Refusal int64 `json:"refusal"`
	Cut     int64 `json:"cut"`
}

const (
	answeredMessage = "request answered"
	failedMessage   = "request failed"
)

// Read counts the lines of r. Lines that are broken or not about a request are counted as
// foreign. It fails only if r does.
func (a *Attributor) Read(r io.Reader) error {
	b := bufio.NewReaderSize(r, maxLineBytes)
	for {
		text, err := b.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			err = skipLine(b)
			text = nil
			a.Foreign++
		}
		if len(text) > 0 {
			a.add(text)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read log: %w", err)
		}
	}
}

// skipLine discards the rest of a line.
func skipLine(b *bufio.Reader) error {
	for {
		if _, err := b.ReadSlice('\n'); err != bufio.ErrBufferFull {
			return err
		}
	}
}

// add counts one line. Anything before the first brace is a prefix, such as the name of
// the node.
func (a *Attributor) add(text []byte) {
	var l line
	start := bytes.IndexByte(text, '{')
	if start < 0 || json.Unmarshal(text[start:], &l) != nil ||
		l.Message != answeredMessage && l.Message != failedMessage || l.Prompt == nil || l.Time.IsZero() {
		a.Foreign++
		return
	}
	a.Lines++
	c := a.cell(l.Time.Add(-time.Duration(l.Took)*time.Millisecond), l.class())
	c.Outcomes[l.outcome()]++
	if l.outcome() == LateFirst {
		c.LateBy[l.largestPart()]++
	}
}

func (l *line) class() Class {
	if *l.Prompt <= 1 {
		return Plain
	}
	return Class(messenger.ClassOf(*l.Prompt))
}

func (l *line) outcome() Outcome {
	switch {
	case l.Message == failedMessage && coder.Code(l.Code) == coder.Cancelled:
		return GivenUp
	case l.Message == failedMessage && l.Run == coder.NotRun.Header():
		return Refused
	case l.Message == failedMessage:
		return Failed
	case l.Objective > 0 && l.First > l.Objective:
		return LateFirst
	case l.MaxGap > 0 && l.Gap > l.MaxGap:
		return Paused
	default:
		return InTime
	}
}

// largestPart returns the largest part of the time to the first token. The wait for the
// first chunk is the predicted prefill and the time that the target took beyond it.
func (l *line) largestPart() Part {
	parts := [Parts]int64{
		Held: l.Held, Queued: l.Queued, Waiting: l.Wait - l.Prefill, Prefill: min(l.Wait, l.Prefill),
		Silence: l.Silence, Refusal: l.Refusal, Cut: l.Cut,
	}
	largest := Held
	for p, ms := range parts {
		if ms > parts[largest] {
			largest = Part(p)
		}
	}
	return largest
}

// cell returns the counts of a class at a time.
func (a *Attributor) cell(at time.Time, class Class) *Cell {
	if a.Step <= 0 {
		a.Step = DefaultStep
	}
	if a.cells == nil {
		a.cells = map[int64]*[Classes]Cell{}
	}
	n := at.UnixNano() / int64(a.Step)
	if a.cells[n] == nil {
		a.cells[n] = &[Classes]Cell{}
		if len(a.cells) > maxSteps {
			a.doubleStep()
			return a.cell(at, class)
		}
	}
	return &a.cells[n][class]
}

// doubleStep joins each two neighbouring steps.
func (a *Attributor) doubleStep() {
	a.Step *= 2
	joined := make(map[int64]*[Classes]Cell, len(a.cells))
	for n, from := range a.cells {
		to := joined[n/2]
		if to == nil {
			to = &[Classes]Cell{}
			joined[n/2] = to
		}
		for c := range from {
			to[c].add(&from[c])
		}
	}
	a.cells = joined
}

func (c *Cell) add(o *Cell) {
	for i, n := range o.Outcomes {
		c.Outcomes[i] += n
	}
	for i, n := range o.LateBy {
		c.LateBy[i] += n
	}
}

// Requests returns the number of requests.
func (c *Cell) Requests() int {
	n := 0
	for _, v := range c.Outcomes {
		n += v
	}
	return n
}

// Row holds the counts of one class in one step, or in the whole log.
type Row struct {
	From  time.Time // start of the step; zero for the whole log
	Class Class
	Cell
}

// Rows returns the rows with requests, ordered by time and class.
func (a *Attributor) Rows() []Row {
	var out []Row
	for n, cells := range a.cells {
		for c := range cells {
			if cells[c].Requests() > 0 {
				out = append(out, Row{From: time.Unix(0, n*int64(a.Step)).UTC(), Class: Class(c), Cell: cells[c]})
			}
		}
	}
	slices.SortFunc(out, func(x, y Row) int { return cmp.Or(x.From.Compare(y.From), cmp.Compare(x.Class, y.Class)) })
	return out
}

// Totals returns one row for each class with requests.
func (a *Attributor) Totals() []Row {
	var sums [Classes]Cell
	for _, cells := range a.cells {
		for c := range cells {
			sums[c].add(&cells[c])
		}
	}
	var out []Row
	for c := range sums {
		if sums[c].Requests() > 0 {
			out = append(out, Row{Class: Class(c), Cell: sums[c]})
		}
	}
	return out
}
