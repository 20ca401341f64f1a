package reserver

import (
	"time"

	"bramleyshunt/messenger"
)

const (
	// decayTokens and decayTime are the amounts of prefill and decode after which the
	// sums are halved, so that the rates follow changes of the target.
	decayTokens = 1 << 20
	decayTime   = time.Minute
)

// meter measures the prefill and decode rates of the target. Rates reported by the
// engine take precedence.
type meter struct {
	reportedSpeed int // prefill tokens per second
	reportedPace  int // decode tokens per second and request
	prefillTokens float64
	prefillTime   time.Duration // time during which prompts awaited prefill
	decodeTokens  float64
	decodeTime    time.Duration
}

func (m *meter) advance(d time.Duration, waiting bool) {
	if waiting {
		m.prefillTime += d
	}
}

func (m *meter) recordPrefill(tokens int) {
	m.prefillTokens += float64(tokens)
	if m.prefillTokens > decayTokens {
		m.prefillTokens /= 2
		m.prefillTime /= 2
	}
}

// recordEnd replaces the predicted prompt length by the engine's own count, less the
// tokens from its prefix cache, and adds the decode time since the first token.
func (m *meter) recordEnd(u messenger.Usage, predicted int, decode time.Duration) {
	if u.Prompt > 0 {
		m.prefillTokens = max(m.prefillTokens+float64(u.Prompt-u.Cached-predicted), 0)
	}
	if u.Output < 2 || decode <= 0 {
		return
	}
	m.decodeTokens += float64(u.Output - 1)
	m.decodeTime += decode
	if m.decodeTime > decayTime {
		m.decodeTokens /= 2
		m.decodeTime /= 2
	}
}

// speed returns prefill tokens per second, or zero if unknown.
func (m *meter) speed() int {
	if m.reportedSpeed > 0 {
		return m.reportedSpeed
	}
	return rate(m.prefillTokens, m.prefillTime)
}

// pace returns decode tokens per second and request, or zero if unknown.
func (m *meter) pace() int {
	if m.reportedPace > 0 {
		return m.reportedPace
	}
	return rate(m.decodeTokens, m.decodeTime)
}

func rate(n float64, d time.Duration) int {
	if d <= 0 {
		return 0
	}
	return int(n / d.Seconds())
}
