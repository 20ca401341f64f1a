package registrar_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/registrar"
)

func TestRegistrar(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "registrar")
}

var start = time.Unix(1000, 0)

func announce(r *registrar.Registrar, at time.Duration, t messenger.Target) error {
	_, err := r.Announce(start.Add(at), messenger.Announce{Target: t, Lease: 3 * time.Second})
	return err
}

// expireEverySecond calls Expire once a second, as a process that is not frozen does.
func expireEverySecond(r *registrar.Registrar, from, to time.Duration) {
	for at := from; at <= to; at += time.Second {
		r.Expire(start.Add(at))
	}
}

func targetWith(inc uint64) messenger.Target {
	return messenger.Target{ID: "t", Incarnation: inc, Load: messenger.Load{Waiting: 1000, Memory: 1 << 20}}
}

func expectLive(r *registrar.Registrar, incs ...uint64) {
	GinkgoHelper()
	live := []uint64{}
	for _, l := range r.Live() {
		live = append(live, l.Target.Incarnation)
	}
	Expect(live).To(Equal(append([]uint64{}, incs...)))
}

var _ = Describe("leases", func() {
	var r *registrar.Registrar
	BeforeEach(func() { r = &registrar.Registrar{} })

	It("end unless they are renewed", func() {
		Expect(announce(r, 0, targetWith(1))).To(Succeed())
		Expect(announce(r, 2*time.Second, targetWith(1))).To(Succeed())
		Expect(r.Expire(start.Add(4 * time.Second))).To(BeEmpty())
		Expect(r.Expire(start.Add(5 * time.Second))).To(Equal([]string{"t"}))
		expectLive(r)
	})

	It("are extended by a freeze of the process that keeps them", func() {
		Expect(announce(r, 0, targetWith(1))).To(Succeed())
		Expect(r.Expire(start)).To(BeEmpty())
		Expect(r.Expire(start.Add(time.Minute))).To(BeEmpty())
		Expect(r.Expire(start.Add(time.Minute + 2*time.Second))).To(BeEmpty())
		Expect(r.Expire(start.Add(time.Minute + 3*time.Second))).To(Equal([]string{"t"}))
	})

	It("pass permanently to the higher incarnation", func() {
		Expect(announce(r, 0, targetWith(5))).To(Succeed())
		Expect(announce(r, 0, targetWith(7))).To(Succeed())
		Expect(coder.Of(announce(r, 0, targetWith(5))).Code).To(Equal(coder.WrongIncarnation))
		expectLive(r, 7)
		expireEverySecond(r, 0, time.Minute)
		expectLive(r)
		Expect(coder.Of(announce(r, time.Minute, targetWith(6))).Code).To(Equal(coder.WrongIncarnation))
		Expect(announce(r, time.Minute, targetWith(7))).To(Succeed())
		expectLive(r, 7)
		expireEverySecond(r, time.Minute, registrar.IncarnationRetention+2*time.Minute)
		Expect(announce(r, 2*registrar.IncarnationRetention, targetWith(1))).To(Succeed())
	})

	It("are refused for a target without id or incarnation", func() {
		Expect(coder.Of(announce(r, 0, messenger.Target{Incarnation: 1})).Code).To(Equal(coder.Malformed))
		Expect(coder.Of(announce(r, 0, messenger.Target{ID: "t"})).Code).To(Equal(coder.Malformed))
	})

	DescribeTable("raise the target and load revisions as expected after", func(edit func(*messenger.Target), target, load bool) {
		Expect(announce(r, 0, targetWith(1))).To(Succeed())
		before := r.Rev()
		t := targetWith(1)
		edit(&t)
		Expect(announce(r, 0, t)).To(Succeed())
		l := r.Live()[0]
		Expect(l.Rev > before).To(Equal(target))
		Expect(l.LoadRev > before).To(Equal(load))
	},
		Entry("no change", func(*messenger.Target) {}, false, false),
		Entry("a load within the same step", func(t *messenger.Target) { t.Load.Waiting, t.Load.Seq = 1020, 9 }, false, false),
		Entry("a load in another step", func(t *messenger.Target) { t.Load.Waiting = 1200 }, false, true),
		Entry("the first request", func(t *messenger.Target) { t.Load.Running = 1 }, false, true),
		Entry("a different memory size", func(t *messenger.Target) { t.Load.Memory = 1 }, true, true),
		Entry("a target that leaves", func(t *messenger.Target) { t.Leaving = true }, true, true),
		Entry("a different version", func(t *messenger.Target) { t.Version = "2" }, true, true),
		Entry("an added adapter", func(t *messenger.Target) { t.Adapters = []string{"a"} }, true, true),
	)

	It("are restored for targets that have not been announced since", func() {
		Expect(announce(r, 0, targetWith(2))).To(Succeed())
		Expect(r.Restore(start, targetWith(1))).To(Succeed())
		expectLive(r, 2)
		other := messenger.Target{ID: "u", Incarnation: 7}
		Expect(r.Restore(start, other)).To(Succeed())
		expectLive(r, 2, 7)
		Expect(r.Expire(start.Add(registrar.DefaultLease))).To(ContainElement("u"))
	})

	It("are not restored where another target has the address", func() {
		r.Exclusive = true
		a, b := targetWith(3), messenger.Target{ID: "u", Incarnation: 7, Address: "x:1"}
		a.Address = "x:1"
		Expect(announce(r, 0, a)).To(Succeed())
		Expect(r.Restore(start, b)).To(Succeed())
		expectLive(r, 3)
	})

	It("are restored as leaving until they are announced otherwise, if they may return", func() {
		left := targetWith(1)
		left.Leaving = true
		Expect(r.Restore(start, left)).To(Succeed())
		Expect(r.Live()[0].Target.Leaving).To(BeTrue())
		back := targetWith(1)
		back.MayReturn = true
		Expect(announce(r, time.Second, back)).To(Succeed())
		Expect(r.Live()[0].Target.Leaving).To(BeFalse())
	})

	It("are restored as leaving until the next incarnation", func() {
		t := targetWith(1)
		t.Leaving = true
		Expect(r.Restore(start, t)).To(Succeed())
		Expect(announce(r, time.Second, targetWith(1))).To(Succeed())
		Expect(r.Live()[0].Target.Leaving).To(BeTrue())
		Expect(announce(r, time.Second, targetWith(2))).To(Succeed())
		Expect(r.Live()[0].Target.Leaving).To(BeFalse())
	})
})
