package publisher

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/applier"
	"bramleyshunt/isolator"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
)

// TestIsolatedPartsAreLogged checks the lines from which an operator learns when a part was
// isolated, under how many crashes, and why that ended.
func TestIsolatedPartsAreLogged(t *testing.T) {
	log, lines := logtest.NewNullLogger()
	now := time.Unix(1000, 0)
	a := &applier.Applier{}
	p := &Publisher{cfg: Config{Applier: a, Log: logrus.NewEntry(log), Metrics: metrics.NewRegistry(), Now: func() time.Time { return now }}}
	list := &messenger.Isolated{}
	step := func(c *applier.Command, want string, fields logrus.Fields) {
		t.Helper()
		lines.Reset()
		a.Apply(a.Index()+1, c.Stamp(now))
		list = p.isolated(list)
		last := lines.LastEntry()
		if want == "" && last == nil {
			return
		}
		if last == nil || last.Message != want {
			t.Fatalf("last line %v, want %q", last, want)
		}
		for name, value := range fields {
			if last.Data[name] != value {
				t.Errorf("field %s is %v, want %v", name, last.Data[name], value)
			}
		}
	}
	crash := func(n uint64) *applier.Command {
		now = now.Add(time.Second)
		return &applier.Command{Verb: applier.VerbSuspect, Suspect: &messenger.Suspect{
			Fingerprint: n, Target: "t", Incarnation: n, Parts: []uint64{7}, Service: "s", Node: "e",
		}}
	}
	sound := &applier.Command{Verb: applier.VerbParts, Parts: &applier.PartsChange{Sound: []messenger.SoundPart{{Part: 7}}}}
	const isolated, freed = "parts isolated: targets crash under requests that have them all", "parts no longer isolated"
	step(crash(1), "", nil)
	step(crash(2), "", nil)
	step(crash(3), isolated, logrus.Fields{"crashes": 3, "trial": "e"})
	step(sound, freed, logrus.Fields{"expired": false})
	for n := range uint64(2) {
		step(crash(4+n), "", nil)
	}
	step(crash(6), isolated, nil)
	now = now.Add(applier.DefaultQuarantine)
	step(&applier.Command{Verb: applier.VerbParts, Parts: &applier.PartsChange{}}, freed, logrus.Fields{"expired": true})
}

// Guards against trials of isolated parts that an operator can't follow, and against two entries
// that are both told to try.
func TestClaimsOfTrialsAreLogged(t *testing.T) {
	log, lines := logtest.NewNullLogger()
	now := time.Unix(1000, 0)
	a := &applier.Applier{}
	p := &Publisher{cfg: Config{Applier: a, Log: logrus.NewEntry(log), Metrics: metrics.NewRegistry(), Now: func() time.Time { return now }}}
	p.cfg.Propose = func(_ context.Context, data []byte) (uint64, []byte, error) {
		return a.Index() + 1, a.Apply(a.Index()+1, data), nil
	}
	for n := range uint64(isolator.DefaultLimit) {
		now = now.Add(time.Second)
		a.Apply(a.Index()+1, (&applier.Command{Verb: applier.VerbSuspect, Suspect: &messenger.Suspect{
			Fingerprint: n, Target: "t", Incarnation: n, Parts: []uint64{7}, Service: "s", Node: "e",
		}}).Stamp(now))
	}
	now = now.Add(isolator.TrialDelay)
	for entry, want := range []bool{true, false} {
		c := &applier.PartsChange{Claim: []uint64{7}, Node: fmt.Sprint("entry-", entry)}
		body, err := msgpack.Marshal(&messenger.Propose{Data: (&applier.Command{Verb: applier.VerbParts, Parts: c}).Encode()})
		if err != nil {
			t.Fatal(err)
		}
		r := p.propose(context.Background(), muxer.Message{Kind: messenger.KindPropose, Body: body})
		if r.err != nil {
			t.Fatal(r.err)
		}
		answer, err := applier.DecodeAnswer(r.body.(*messenger.Proposed).Data)
		last := lines.LastEntry()
		if err != nil || answer.Granted != want || last.Data["granted"] != want || last.Data["entry"] != c.Node {
			t.Errorf("entry %d: answer %v, %v, line %v, want granted %t", entry, answer, err, last.Data, want)
		}
	}
}
