package applier_test

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/applier"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

func evacuationCommand(zone string, end bool) *applier.Command {
	return &applier.Command{Verb: applier.VerbEvacuate, Evacuation: &applier.EvacuationOrder{Zone: zone, Operator: "office", End: end}}
}

func (l *log) start(zone string) *applier.Answer { return l.apply(evacuationCommand(zone, false)) }
func (l *log) end(zone string) *applier.Answer   { return l.apply(evacuationCommand(zone, true)) }

// expectEvacuated expects that exactly these zones are evacuated.
func (l *log) expectEvacuated(zones ...string) {
	GinkgoHelper()
	var got []string
	for _, z := range l.applier.Evacuated().Zones {
		got = append(got, z.Zone)
	}
	Expect(got).To(Equal(zones))
}

var _ = Describe("evacuated zones", func() {
	var l *log
	BeforeEach(func() { l = newLog() })

	// Guards against an order that is lost, or that watchers are not told of.
	It("are those of the last order in the log, with who ordered it and when", func() {
		notified := 0
		l.applier.Subscribe(func() { notified++ })
		Expect(l.start("b")).To(HaveField("Evacuation.Repeated", false))
		l.start("a")
		l.expectEvacuated("a", "b")
		Expect(l.applier.Evacuated().Find("b")).To(Equal(&messenger.Evacuation{Zone: "b", Operator: "office", Since: l.now.UnixNano()}))
		a := l.end("b")
		Expect(a.Code).To(Equal(coder.OK))
		Expect(a.Evacuation).To(HaveField("Evacuation.Zone", "b"))
		l.expectEvacuated("a")
		Expect(notified).To(Equal(3))
		Expect(l.applier.Evacuated().Index).To(BeEquivalentTo(3))
	})

	// Guards against a repetition that is refused, or that hides when the evacuation began.
	It("stay as they are when orders are repeated, and each repetition is accepted", func() {
		l.start("a")
		since := l.applier.Evacuated().Find("a").Since
		l.now = l.now.Add(time.Hour)
		for range 3 {
			a := l.start("a")
			Expect(a.Code).To(Equal(coder.OK))
			Expect(a.Evacuation.Repeated).To(BeTrue())
			Expect(a.Evacuation.Evacuation.Since).To(Equal(since))
		}
		l.expectEvacuated("a")
		Expect(l.end("a")).To(HaveField("Evacuation.Repeated", false))
		Expect(l.end("a")).To(HaveField("Evacuation.Repeated", true))
		l.expectEvacuated()
	})

	// Guards against a new evacuation that is dropped as a repetition: a late repetition of the first start can't be told from it.
	It("are again evacuated by a start after the end", func() {
		l.start("a")
		l.end("a")
		l.start("a")
		l.expectEvacuated("a")
	})

	// Guards against state without bound, and against a full list that refuses repetitions and ends.
	It("are at most MaxEvacuated", func() {
		for n := range applier.MaxEvacuated {
			l.start(fmt.Sprintf("z%02d", n))
		}
		index := l.applier.Evacuated().Index
		Expect(l.start("more")).To(HaveField("Code", coder.Conflict))
		Expect(l.applier.Evacuated().Zones).To(HaveLen(applier.MaxEvacuated))
		Expect(l.applier.Evacuated().Index).To(Equal(index))
		Expect(l.start("z00")).To(HaveField("Code", coder.OK))
		Expect(l.end("z00")).To(HaveField("Code", coder.OK))
		Expect(l.start("more")).To(HaveField("Code", coder.OK))
	})

	// Guards against forged orders in the log.
	It("are not changed by orders with invalid names", func() {
		for _, zone := range []string{"", " ", "a b", "../a", "\x00", "ü", "-a", strings.Repeat("a", 64)} {
			Expect(l.start(zone)).To(HaveField("Code", coder.Malformed), "%q", zone)
			Expect(l.end(zone)).To(HaveField("Code", coder.Malformed), "%q", zone)
		}
		c := evacuationCommand("a", false)
		c.Evacuation.Operator = strings.Repeat("o", 129)
		Expect(l.apply(c)).To(HaveField("Code", coder.Malformed))
		l.expectEvacuated()
		Expect(l.start(strings.Repeat("a", 63))).To(HaveField("Code", coder.OK))
	})

	// Guards against a start that is taken for accepted although its content was dropped by a leader of an older build.
	It("are not changed by an order without content", func() {
		Expect(l.apply(&applier.Command{Verb: applier.VerbEvacuate})).To(HaveField("Code", coder.BadFrame))
		l.expectEvacuated()
	})

	// Guards against zones that return because a keeper restarts.
	It("survive a restart from a snapshot", func() {
		l.start("b")
		l.start("a")
		l.end("b")
		data := l.applier.Snapshot()
		var restored applier.Applier
		Expect(restored.Restore(data)).To(Succeed())
		Expect(restored.Evacuated()).To(Equal(l.applier.Evacuated()))
		Expect(bytes.Equal(restored.Snapshot(), data)).To(BeTrue())
		Expect(restored.Restore((&applier.Applier{}).Snapshot())).To(Succeed())
		Expect(restored.Evacuated()).To(Equal(&messenger.Evacuated{}))
	})

	// Guards against a restore that fails after an upgrade.
	It("are none in a snapshot of a build without them", func() {
		l.start("a")
		var fields map[string]any
		Expect(msgpack.Unmarshal(l.applier.Snapshot(), &fields)).To(Succeed())
		delete(fields, "evacuated")
		old, err := msgpack.Marshal(fields)
		Expect(err).NotTo(HaveOccurred())
		Expect(l.applier.Restore(old)).To(Succeed())
		l.expectEvacuated()
		l.start("b")
		l.expectEvacuated("b")
	})

	// Guards against configurations in quick succession that end an evacuation, or the other way round.
	It("and configurations do not affect each other", func() {
		l.start("a")
		for n := range uint64(20) {
			Expect(l.apply(changeCommand(fmt.Sprint(n), n, n+1, limitsFolder(int(n))))).To(HaveField("Code", coder.OK))
			l.start("b")
			l.end("b")
		}
		l.expectEvacuated("a")
		Expect(l.applier.View().Version).To(BeEquivalentTo(20))
	})
})
