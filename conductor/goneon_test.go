package conductor

import (
	"testing"
	"time"

	"bramleyshunt/coder"
	"bramleyshunt/configurer"
)

// Guards against the quarantine of a sound request whose answer had gone on at each target that
// was lost under it: it was there when another request crashed them.
func TestRequestWhoseAnswerWentOnIsNotQuarantined(t *testing.T) {
	for name, events := range map[string]int{"its answer had gone on": goneOnEvents, "its answer had only begun": goneOnEvents - 1} {
		t.Run(name, func(t *testing.T) {
			withParts(t, Config{}, 1, nil, func(b *partsBed) { expectQuarantine(b, events, events < goneOnEvents) })
		})
	}
}

// expectQuarantine sends a request of which each target is lost after some events, and expects
// that it is quarantined or not.
func expectQuarantine(b *partsBed, events int, want bool) {
	b.answer = loseAfter(0, events)
	err := <-b.start(0, configurer.Path{Kind: configurer.KindStream, Resume: true, MaxAttempts: 3}, 5)
	time.Sleep(publishDelay)
	blocked, quarantined := len(b.keeper.Blocked(time.Now())) > 0, coder.Of(err).Code == coder.Quarantined
	if blocked != want || quarantined != want || len(b.sent) != 2 {
		b.t.Errorf("blocked %t, error %v after %d attempts", blocked, err, len(b.sent))
	}
}
