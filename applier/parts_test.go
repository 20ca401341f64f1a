package applier_test

import (
	"bytes"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/applier"
	"bramleyshunt/isolator"
	"bramleyshunt/messenger"
)

// partsLog is a log in which targets crash under parts of prompts.
type partsLog struct {
	*log
	crashes uint64
}

// crash reports a new incarnation that ended under a request of its own.
func (l *partsLog) crash(parts ...uint64) {
	l.crashes++
	l.now = l.now.Add(time.Second)
	l.apply(&applier.Command{Verb: applier.VerbSuspect, Suspect: &messenger.Suspect{
		Fingerprint: l.crashes, Target: "t", Incarnation: l.crashes, Parts: parts, Service: "s", Node: "e",
	}})
}

// isolate crashes targets under a part until it is isolated.
func (l *partsLog) isolate(part uint64) {
	for range isolator.DefaultLimit {
		l.crash(part)
	}
	l.expectIsolated(part)
}

func (l *partsLog) change(c applier.PartsChange) {
	l.apply(&applier.Command{Verb: applier.VerbParts, Parts: &c})
}

func (l *partsLog) expectIsolated(parts ...uint64) {
	GinkgoHelper()
	var got []uint64
	for _, g := range l.applier.Isolated(l.now).Groups {
		got = append(got, g.Parts...)
	}
	Expect(got).To(Equal(parts))
}

var _ = Describe("isolated parts of prompts", func() {
	var l *partsLog
	BeforeEach(func() { l = &partsLog{log: newLog()} })

	It("are those that crash targets, until an answer frees them", func() {
		notified := 0
		l.applier.Subscribe(func() { notified++ })
		l.isolate(7)
		Expect(notified).To(BeNumerically(">", 0))
		before := notified
		l.change(applier.PartsChange{Sound: []messenger.SoundPart{{Part: 7}}})
		Expect(notified).To(Equal(before + 1))
		l.expectIsolated()
	})

	It("survive a restart from a snapshot", func() {
		l.isolate(7)
		l.crash(9)
		data := l.applier.Snapshot()
		var restored applier.Applier
		Expect(restored.Restore(data)).To(Succeed())
		Expect(restored.Isolated(l.now)).To(Equal(l.applier.Isolated(l.now)))
		Expect(restored.PartCrashes([]uint64{7, 9, 1})).To(Equal([]int{isolator.DefaultLimit, 1, 0}))
		Expect(bytes.Equal(restored.Snapshot(), data)).To(BeTrue())
	})

	It("are tried by the one entry that claims it first, also after a restart from a snapshot", func() {
		l.isolate(7)
		claim := func() bool {
			answer := l.apply(&applier.Command{Verb: applier.VerbParts, Parts: &applier.PartsChange{Claim: []uint64{7}}})
			return answer.Granted
		}
		Expect(claim()).To(BeFalse())
		l.now = l.now.Add(isolator.TrialDelay)
		before := l.applier.Snapshot()
		notified := 0
		l.applier.Subscribe(func() { notified++ })
		Expect(claim()).To(BeTrue())
		Expect(notified).To(Equal(1))
		Expect(claim()).To(BeFalse())
		Expect(l.applier.Restore(l.applier.Snapshot())).To(Succeed())
		Expect(claim()).To(BeFalse())
		Expect(l.applier.Restore(before)).To(Succeed())
		Expect(claim()).To(BeTrue())
	})

	It("are not tried while their snapshot is of a build that does not record the trial", func() {
		l.isolate(7)
		l.now = l.now.Add(isolator.TrialDelay)
		var fields map[string]any
		Expect(msgpack.Unmarshal(l.applier.Snapshot(), &fields)).To(Succeed())
		for _, p := range fields["parts"].(map[string]any)["parts"].([]any) {
			delete(p.(map[string]any), "since")
		}
		old, err := msgpack.Marshal(fields)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.applier.Restore(old)).To(Succeed())
		l.expectIsolated(7)
		answer := l.apply(&applier.Command{Verb: applier.VerbParts, Parts: &applier.PartsChange{Claim: []uint64{7}}})
		Expect(answer.Granted).To(BeFalse())
	})

	It("are unknown to a snapshot of a build without them", func() {
		l.isolate(7)
		var fields map[string]any
		Expect(msgpack.Unmarshal(l.applier.Snapshot(), &fields)).To(Succeed())
		delete(fields, "parts")
		old, err := msgpack.Marshal(fields)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.applier.Restore(old)).To(Succeed())
		l.expectIsolated()
		l.crashes = 0
		l.isolate(7)
	})

	It("are not accused by a report of a build without them", func() {
		for n := range uint64(10) {
			l.apply(&applier.Command{Verb: applier.VerbSuspect, Suspect: &messenger.Suspect{Fingerprint: n, Target: "t", Incarnation: n}})
		}
		Expect(l.applier.Isolated(l.now)).To(Equal(&messenger.Isolated{}))
	})

	It("stay so while requests with them arrive, and are again after one more crash", func() {
		l.isolate(7)
		l.now = l.now.Add(applier.DefaultQuarantine - time.Second)
		l.change(applier.PartsChange{Seen: []uint64{7, 8}})
		l.now = l.now.Add(applier.DefaultQuarantine - time.Second)
		l.expectIsolated(7)
		l.now = l.now.Add(time.Second)
		l.expectIsolated()
		l.crash(7)
		l.expectIsolated(7)
	})

	It("that crash targets at the same moment are isolated when an empty change follows", func() {
		for n := range uint64(4) {
			l.now = l.now.Add(10 * time.Millisecond)
			l.apply(&applier.Command{Verb: applier.VerbSuspect, Suspect: &messenger.Suspect{
				Fingerprint: n, Target: "t", Incarnation: n, Parts: []uint64{7}, Service: "s",
			}})
		}
		l.expectIsolated()
		Expect(l.applier.PartsPending()).To(BeTrue())
		l.now = l.now.Add(isolator.MinWait)
		l.change(applier.PartsChange{})
		l.expectIsolated(7)
		Expect(l.applier.PartsPending()).To(BeFalse())
	})
})
