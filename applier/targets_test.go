package applier_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/applier"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

var _ = Describe("remembered targets", func() {
	var l *log
	BeforeEach(func() { l = newLog() })

	remember := func(gone []string, known ...messenger.Target) {
		GinkgoHelper()
		a := l.apply(&applier.Command{Verb: applier.VerbTargets, Targets: &applier.Targets{Known: known, Gone: gone}})
		Expect(a.Code).To(Equal(coder.OK))
	}
	target := func(incarnation uint64, leaving bool) messenger.Target {
		return messenger.Target{ID: "t", Address: "a", Incarnation: incarnation, Leaving: leaving}
	}

	It("are the last known ones without what changes often", func() {
		t := target(1, false)
		t.Seq, t.Config, t.Load = 7, 3, messenger.Load{Seq: 9, Memory: 1000, Running: 4, Speed: 5}
		remember(nil, t)
		want := target(1, false)
		want.Load.Memory = 1000
		Expect(l.applier.Targets()).To(Equal([]messenger.Target{want}))
		remember([]string{"t"})
		Expect(l.applier.Targets()).To(BeEmpty())
	})

	It("stay leaving until the next incarnation", func() {
		remember(nil, target(1, false))
		remember(nil, messenger.Target{ID: "t", Incarnation: 1, Leaving: true})
		remember(nil, target(1, false))
		Expect(l.applier.Targets()).To(Equal([]messenger.Target{target(1, true)}))
		remember(nil, target(2, false), target(1, true))
		Expect(l.applier.Targets()).To(Equal([]messenger.Target{target(2, false)}))
	})

	It("return from standby", func() {
		standby := target(1, true)
		standby.Standby = true
		remember(nil, standby)
		remember(nil, target(1, false))
		Expect(l.applier.Targets()).To(Equal([]messenger.Target{target(1, false)}))
	})

	It("return within an incarnation if they may, also where an older build recorded that they left", func() {
		back := target(1, false)
		back.MayReturn = true
		left := back
		left.Leaving = true
		for _, recorded := range []messenger.Target{left, target(1, true)} {
			remember([]string{"t"}, recorded)
			remember(nil, back)
			Expect(l.applier.Targets()).To(Equal([]messenger.Target{back}))
			remember([]string{"t"})
		}
	})

	It("do not include an unknown target of which only the departure was reported", func() {
		remember(nil, messenger.Target{ID: "t", Incarnation: 1, Leaving: true})
		Expect(l.applier.Targets()).To(BeEmpty())
	})
})
