package reserver

import (
	"time"

	"bramleyshunt/messenger"
)

const (
	// forgetTokens and forgetTime halve what has been measured, so that the
	// figures follow the target.
	forgetTokens = 1 << 20
	forgetTime   = time.Minute
)

// meter measures how fast the target prefills and decodes. Figures that the
// engine reports itself go first.
type meter struct {
	told    int // prefill tokens a second
	toldFor int // decode tokens a second and request
	filled  float64
	busy    time.Duration // time with prompts waiting
	output  float64
	decode  time.Duration
}

func (m *meter) pass(d time.Duration, waiting bool) {
	if waiting {
		m.busy += d
	}
}

func (m *meter) prefilled(tokens int) {
	m.filled += float64(tokens)
	if m.filled > forgetTokens {
		m.filled /= 2
		m.busy /= 2
	}
}

// ended corrects the predicted prompt by the engine's own count, less what came
// from its prefix cache, and adds the decoding time since the first token.
func (m *meter) ended(u messenger.Usage, predicted int, decode time.Duration) {
	if u.Prompt > 0 {
		m.filled = max(m.filled+float64(u.Prompt-u.Cached-predicted), 0)
	}
	if u.Output < 2 || decode <= 0 {
		return
	}
	m.output += float64(u.Output - 1)
	m.decode += decode
	if m.decode > forgetTime {
		m.output /= 2
		m.decode /= 2
	}
}

// speed returns prefill tokens a second; zero if not known.
func (m *meter) speed() int {
	if m.told > 0 {
		return m.told
	}
	return rate(m.filled, m.busy)
}

// pace returns decode tokens a second and request; zero if not known.
func (m *meter) pace() int {
	if m.toldFor > 0 {
		return m.toldFor
	}
	return rate(m.output, m.decode)
}

func rate(n float64, d time.Duration) int {
	if d <= 0 {
		return 0
	}
	return int(n / d.Seconds())
}
