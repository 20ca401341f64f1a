package registrar_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/registrar"
)

// targetAt returns a target with the given address, incarnation and sequence number.
func targetAt(id, address string, incarnation, seq uint64) messenger.Target {
	return messenger.Target{ID: id, Address: address, Incarnation: incarnation, Seq: seq}
}

func leavingIDs(r *registrar.Registrar) []string {
	var out []string
	for _, l := range r.Live() {
		if l.Target.Leaving {
			out = append(out, l.Target.ID)
		}
	}
	return out
}

// Guards against a reused address that keeps or returns to its former target, as
// when a network partition delays an announcement of that target.
var _ = Describe("targets that use the same address in turn", func() {
	var r *registrar.Registrar
	BeforeEach(func() { r = &registrar.Registrar{Exclusive: true} })

	It("end when the next one starts", func() {
		Expect(announce(r, 0, targetAt("a", "x:1", 10, 1))).To(Succeed())
		Expect(announce(r, 0, targetAt("b", "x:1", 20, 1))).To(Succeed())
		expectLive(r, 20)
		Expect(r.Ended()).To(ConsistOf(HaveField("ID", "a")))
	})

	It("are not brought back by a delayed announcement", func() {
		Expect(announce(r, 0, targetAt("b", "x:1", 20, 1))).To(Succeed())
		err := announce(r, 0, targetAt("a", "x:1", 10, 9))
		Expect(coder.Of(err).Code).To(Equal(coder.WrongIncarnation))
		expectLive(r, 20)
	})

	It("may share it if addresses are not exclusive", func() {
		r.Exclusive = false
		Expect(announce(r, 0, targetAt("a", "x:1", 10, 1))).To(Succeed())
		Expect(announce(r, 0, targetAt("b", "x:1", 20, 1))).To(Succeed())
		expectLive(r, 10, 20)
	})
})

var _ = Describe("announcements received out of order", func() {
	var r *registrar.Registrar
	BeforeEach(func() { r = &registrar.Registrar{} })

	It("are ordered by their sequence number", func() {
		delayed := targetAt("a", "x:1", 10, 1)
		drain := targetAt("a", "x:1", 10, 2)
		drain.Leaving = true
		Expect(announce(r, 0, drain)).To(Succeed())
		Expect(announce(r, 0, delayed)).To(Succeed())
		Expect(leavingIDs(r)).To(Equal([]string{"a"}))
	})

	It("start a new sequence after a restart under the same id", func() {
		Expect(announce(r, 0, targetAt("a", "x:1", 10, 9))).To(Succeed())
		r.Leave(start, "a", 10)
		Expect(announce(r, 0, targetAt("a", "x:1", 11, 1))).To(Succeed())
		Expect(leavingIDs(r)).To(BeEmpty())
		expectLive(r, 11)
	})

	It("don't bring back a target that deregistered", func() {
		Expect(announce(r, 0, targetAt("a", "x:1", 10, 1))).To(Succeed())
		r.Leave(start, "a", 0)
		Expect(announce(r, time.Second, targetAt("a", "x:1", 10, 2))).To(Succeed())
		Expect(leavingIDs(r)).To(Equal([]string{"a"}))
	})

	It("don't bring back a target that deregistered before its first announcement was received", func() {
		r.Leave(start, "a", 10)
		Expect(announce(r, 0, targetAt("a", "x:1", 10, 1))).To(Succeed())
		Expect(leavingIDs(r)).To(Equal([]string{"a"}))
	})
})

// Guards against a target that doesn't report its start time losing its address to a
// delayed announcement of the target that had it before.
var _ = Describe("targets without a start time", func() {
	var r *registrar.Registrar
	BeforeEach(func() { r = &registrar.Registrar{Exclusive: true} })

	announceUndated := func(now time.Duration, id string, seq uint64) {
		GinkgoHelper()
		t := targetAt(id, "x:1", 0, seq)
		t.Incarnation = r.AssignIncarnation(start.Add(now), t)
		Expect(announce(r, now, t)).To(Succeed())
	}
	expectID := func(id string) {
		GinkgoHelper()
		Expect(r.Live()).To(HaveLen(1))
		Expect(r.Live()[0].Target.ID).To(Equal(id))
	}

	It("keep their incarnation while they are live", func() {
		announceUndated(0, "a", 1)
		first := r.Live()[0].Target.Incarnation
		announceUndated(time.Second, "a", 2)
		Expect(r.Live()[0].Target.Incarnation).To(Equal(first))
	})

	It("regain an address after a delayed announcement, even if the clock ran backwards", func() {
		announceUndated(time.Hour, "b", 1)
		announceUndated(0, "a", 9)
		expectID("a")
		announceUndated(time.Second, "b", 2)
		expectID("b")
	})

	// Guards against an announcement that was received late, as its sequence number shows,
	// and yet took the address from the target that had started there since.
	It("keep an address that a delayed announcement of their predecessor claims", func() {
		announceUndated(0, "a", 9)
		announceUndated(time.Second, "b", 1)
		expectID("b")
		late := targetAt("a", "x:1", 0, 8)
		late.Incarnation = r.AssignIncarnation(start.Add(2*time.Second), late)
		err := announce(r, 2*time.Second, late)
		expectID("b")
		Expect(coder.Of(err)).To(HaveField("Code", coder.WrongIncarnation))
	})

	// Guards against a delayed announcement that brings back a target whose lease has ended.
	It("end for good before an announcement that they sent earlier", func() {
		announceUndated(0, "a", 9)
		expireEverySecond(r, 0, 10*time.Second)
		late := targetAt("a", "x:1", 0, 8)
		late.Incarnation = r.AssignIncarnation(start.Add(10*time.Second), late)
		err := announce(r, 10*time.Second, late)
		expectLive(r)
		Expect(coder.Of(err)).To(HaveField("Code", coder.WrongIncarnation))
		announceUndated(11*time.Second, "a", 10)
		expectID("a")
	})

	It("get a higher incarnation when another registrar refused theirs, unless they deregistered", func() {
		announceUndated(0, "a", 1)
		first := r.Live()[0].Target.Incarnation
		r.Reassign(start, "a", first-1)
		Expect(r.Live()[0].Target.Incarnation).To(Equal(first))
		r.Reassign(start, "a", first)
		Expect(r.Live()[0].Target.Incarnation).To(Equal(first + 1))
		announceUndated(time.Second, "a", 2)
		Expect(r.Live()[0].Target.Incarnation).To(Equal(first + 1))
		r.Leave(start, "a", 0)
		r.Reassign(start, "a", first+1)
		announceUndated(2*time.Second, "a", 3)
		Expect(leavingIDs(r)).To(Equal([]string{"a"}))
	})

	It("stay marked as leaving after they deregistered", func() {
		announceUndated(0, "a", 1)
		r.Leave(start, "a", 0)
		expireEverySecond(r, 0, 10*time.Second)
		expectLive(r)
		announceUndated(10*time.Second, "a", 2)
		Expect(leavingIDs(r)).To(Equal([]string{"a"}))
	})
})
