package registrar_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/registrar"
)

// at is a target of one replica that announces itself to one keeper at a time.
func at(id, address string, incarnation, seq uint64) messenger.Target {
	return messenger.Target{ID: id, Address: address, Incarnation: incarnation, Seq: seq}
}

func leaving(r *registrar.Registrar) []string {
	var out []string
	for _, e := range r.Live() {
		if e.Target.Leaving {
			out = append(out, e.Target.ID)
		}
	}
	return out
}

// These answer addresses that are used again and announcements that a cut delayed.
var _ = Describe("targets that share an address in turn", func() {
	var r *registrar.Registrar
	BeforeEach(func() { r = &registrar.Registrar{Exclusive: true} })

	It("end with the start of the next one", func() {
		Expect(announce(r, 0, at("a", "x:1", 10, 1))).To(Succeed())
		Expect(announce(r, 0, at("b", "x:1", 20, 1))).To(Succeed())
		expectLive(r, 20)
		Expect(r.Gone()).To(ConsistOf(HaveField("ID", "a")))
	})

	It("are not taken back by a late announcement", func() {
		Expect(announce(r, 0, at("b", "x:1", 20, 1))).To(Succeed())
		err := announce(r, 0, at("a", "x:1", 10, 9))
		Expect(coder.Of(err).Code).To(Equal(coder.WrongIncarnation))
		expectLive(r, 20)
	})

	It("may share one where their lives overlap by design", func() {
		r.Exclusive = false
		Expect(announce(r, 0, at("a", "x:1", 10, 1))).To(Succeed())
		Expect(announce(r, 0, at("b", "x:1", 20, 1))).To(Succeed())
		expectLive(r, 10, 20)
	})
})

var _ = Describe("announcements that overtake each other", func() {
	var r *registrar.Registrar
	BeforeEach(func() { r = &registrar.Registrar{} })

	It("count by their sequence", func() {
		late := at("a", "x:1", 10, 1)
		drain := at("a", "x:1", 10, 2)
		drain.Leaving = true
		Expect(announce(r, 0, drain)).To(Succeed())
		Expect(announce(r, 0, late)).To(Succeed())
		Expect(leaving(r)).To(Equal([]string{"a"}))
	})

	It("start anew with a restart under the same id", func() {
		Expect(announce(r, 0, at("a", "x:1", 10, 9))).To(Succeed())
		r.Leave(start, "a", 10)
		Expect(announce(r, 0, at("a", "x:1", 11, 1))).To(Succeed())
		Expect(leaving(r)).To(BeEmpty())
		expectLive(r, 11)
	})

	It("don't bring back a target that deregistered", func() {
		Expect(announce(r, 0, at("a", "x:1", 10, 1))).To(Succeed())
		r.Leave(start, "a", 0)
		Expect(announce(r, time.Second, at("a", "x:1", 10, 2))).To(Succeed())
		Expect(leaving(r)).To(Equal([]string{"a"}))
	})

	It("don't bring one back that deregistered before it was heard of", func() {
		r.Leave(start, "a", 10)
		Expect(announce(r, 0, at("a", "x:1", 10, 1))).To(Succeed())
		Expect(leaving(r)).To(Equal([]string{"a"}))
	})
})

// These answer targets that don't tell when they started.
var _ = Describe("targets without a time of start", func() {
	var r *registrar.Registrar
	BeforeEach(func() { r = &registrar.Registrar{Exclusive: true} })

	say := func(now time.Duration, id string, seq uint64) {
		GinkgoHelper()
		t := at(id, "x:1", 0, seq)
		t.Incarnation = r.Date(start.Add(now), t)
		Expect(announce(r, now, t)).To(Succeed())
	}
	expectID := func(id string) {
		GinkgoHelper()
		Expect(r.Live()).To(HaveLen(1))
		Expect(r.Live()[0].Target.ID).To(Equal(id))
	}

	It("keep their incarnation while they are live", func() {
		say(0, "a", 1)
		first := r.Live()[0].Target.Incarnation
		say(time.Second, "a", 2)
		Expect(r.Live()[0].Target.Incarnation).To(Equal(first))
	})

	It("win an address back from a late announcement, whatever the clock says", func() {
		say(time.Hour, "b", 1)
		say(0, "a", 9)
		expectID("a")
		say(time.Second, "b", 2)
		expectID("b")
	})

	It("stay gone once they deregistered", func() {
		say(0, "a", 1)
		r.Leave(start, "a", 0)
		pass(r, 0, 10*time.Second)
		expectLive(r)
		say(10*time.Second, "a", 2)
		Expect(leaving(r)).To(Equal([]string{"a"}))
	})
})
