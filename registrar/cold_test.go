package registrar_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/messenger"
	"bramleyshunt/registrar"
)

var _ = Describe("the cold time of a target", func() {
	var r *registrar.Registrar
	beat := func(at time.Duration, seq uint64, cold time.Duration) uint64 {
		GinkgoHelper()
		t := messenger.Target{ID: "t", Incarnation: 1, Seq: seq, Cold: cold}
		Expect(announce(r, at, t)).To(Succeed())
		return r.Rev()
	}
	BeforeEach(func() { r = &registrar.Registrar{} })

	// Guards against an update of all watchers with each heartbeat of each cold target.
	It("is published once where it passes as announced", func() {
		first := beat(0, 1, 3*time.Second)
		Expect(beat(1200*time.Millisecond, 2, 1800*time.Millisecond)).To(Equal(first))
		Expect(beat(2700*time.Millisecond, 3, 600*time.Millisecond)).To(Equal(first), "a late heartbeat")
		Expect(beat(3900*time.Millisecond, 4, 0)).To(Equal(first))
		Expect(beat(5100*time.Millisecond, 5, 0)).To(Equal(first))
	})

	// Guards against watchers that connect later and take a warm target for a cold one.
	It("is that of the last heartbeat for new watchers", func() {
		beat(0, 1, 3*time.Second)
		beat(1200*time.Millisecond, 2, 1800*time.Millisecond)
		Expect(r.Live()).To(ConsistOf(HaveField("Target", And(HaveField("Cold", 1800*time.Millisecond), HaveField("Seq", uint64(2))))))
	})

	// Guards against watchers that do not hear of a target that is cold again without notice,
	// or is warm earlier than announced.
	It("is published if it is not what watchers expect", func() {
		first := beat(0, 1, 0)
		again := beat(1200*time.Millisecond, 2, 3*time.Second)
		Expect(again).To(BeNumerically(">", first))
		warm := beat(2400*time.Millisecond, 3, 0)
		Expect(warm).To(BeNumerically(">", again))
		Expect(beat(3600*time.Millisecond, 4, 3*time.Second)).To(BeNumerically(">", warm), "the same figure as before")
	})

	// Guards against a difference that grows with each heartbeat and is never published.
	It("is published if it drifts", func() {
		rev := beat(0, 1, 3*time.Second)
		for i := range uint64(5) {
			beat(time.Duration(i+1)*time.Second, i+2, 3*time.Second-time.Duration(i+1)*600*time.Millisecond)
		}
		Expect(r.Rev()).To(BeNumerically(">", rev))
	})
})
