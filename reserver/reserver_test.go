package reserver_test

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/reserver"
)

func TestReserver(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "reserver")
}

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func reserve(id string, prompt int) *messenger.Reserve {
	return &messenger.Reserve{Attempt: id, Incarnation: 1, Prompt: prompt, Remaining: time.Minute}
}

func run(id string) *messenger.Run {
	return &messenger.Run{Attempt: id, Incarnation: 1, Remaining: time.Minute}
}

func void(id string, incarnation uint64) *messenger.Void {
	return &messenger.Void{Attempt: id, Incarnation: incarnation}
}

func expectGranted(r *reserver.Reserver, now time.Time, m *messenger.Reserve) {
	GinkgoHelper()
	_, err := r.Reserve(now, m)
	Expect(err).NotTo(HaveOccurred())
}

func expectRefused(err error, c coder.Code, known coder.Run) {
	GinkgoHelper()
	Expect(coder.Of(err)).To(HaveField("Code", c), "%v", err)
	Expect(coder.Of(err).Run).To(Equal(known), "%v", err)
}

func expectReserveRefused(r *reserver.Reserver, now time.Time, m *messenger.Reserve, c coder.Code) {
	GinkgoHelper()
	_, err := r.Reserve(now, m)
	expectRefused(err, c, coder.NotRun)
}

func expectStarted(r *reserver.Reserver, now time.Time, id string) {
	GinkgoHelper()
	started, err := r.Run(now, run(id))
	Expect(err).NotTo(HaveOccurred())
	Expect(started).To(BeTrue())
}

var _ = Describe("a reserver", func() {
	var r *reserver.Reserver

	BeforeEach(func() {
		r = &reserver.Reserver{Incarnation: 1, Memory: 400000, Slots: 3}
		r.Reconcile(start, &reserver.Report{Asked: start, Incarnation: 7, Speed: 1000})
	})

	It("starts an attempt once", func() {
		expectGranted(r, at(0), reserve("a", 10))
		expectGranted(r, at(0), reserve("a", 10))
		expectStarted(r, at(1), "a")
		again, err := r.Run(at(1), run("a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(BeFalse())
		_, err = r.Reserve(at(1), reserve("a", 10))
		expectRefused(err, coder.AlreadyRan, coder.Ran)
	})

	It("gives memory back when a lease ends, and refuses the late run as not run", func() {
		expectGranted(r, at(0), reserve("a", 10))
		Expect(r.Load(at(1)).Used).To(Equal(10))
		Expect(r.Load(at(2)).Used).To(BeZero())
		_, err := r.Run(at(2), run("a"))
		expectRefused(err, coder.LeaseExpired, coder.NotRun)
	})

	It("answers a void with what it knows", func() {
		expectGranted(r, at(0), reserve("a", 10))
		Expect(r.Void(at(0), void("a", 1)).Run).To(Equal(coder.NotRun))
		_, err := r.Run(at(0), run("a"))
		expectRefused(err, coder.Voided, coder.NotRun)
		expectGranted(r, at(0), reserve("b", 10))
		expectStarted(r, at(0), "b")
		Expect(r.Void(at(0), void("b", 1)).Run).To(Equal(coder.Ran))
		Expect(r.Void(at(0), void("c", 1)).Run).To(Equal(coder.NotRun))
		expectReserveRefused(r, at(0), reserve("c", 10), coder.Voided)
		Expect(r.Void(at(0), void("d", 0)).Run).To(Equal(coder.Unknown))
	})

	It("claims nothing for a cancelled attempt that it has never seen", func() {
		r.Cancel(at(0), "a")
		_, err := r.Run(at(0), run("a"))
		expectRefused(err, coder.Cancelled, coder.Unknown)
		Expect(r.Void(at(0), void("a", 1)).Run).To(Equal(coder.Unknown))
	})

	It("claims nothing for an attempt without record once a run has been forgotten", func() {
		expectGranted(r, at(0), reserve("a", 10))
		expectStarted(r, at(0), "a")
		r.End(at(0), "a", reserver.Outcome{})
		for s := range 200 {
			r.Tick(at(float64(s)))
		}
		Expect(r.Phase("a")).To(Equal(reserver.Unseen))
		Expect(r.Void(at(200), void("a", 1)).Run).To(Equal(coder.Unknown))
		Expect(r.Void(at(200), void("a", 1)).Run).To(Equal(coder.Unknown))
	})

	It("keeps tombstones through a freeze", func() {
		Expect(r.Void(at(0), void("a", 1)).Run).To(Equal(coder.NotRun))
		expectReserveRefused(r, at(3600), reserve("a", 10), coder.Voided)
	})

	DescribeTable("refuses what it can't serve", func(change func(*messenger.Reserve), want coder.Code) {
		m := reserve("a", 10)
		change(m)
		expectReserveRefused(r, at(0), m, want)
	},
		Entry("an old incarnation", func(m *messenger.Reserve) { m.Incarnation = 0 }, coder.WrongIncarnation),
		Entry("no time", func(m *messenger.Reserve) { m.Remaining = 0 }, coder.DeadlineExceeded),
		Entry("more than the memory", func(m *messenger.Reserve) { m.Output = 400000 }, coder.MemoryFull),
		Entry("a prompt that can't be prefilled in time", func(m *messenger.Reserve) { m.Prompt = 130000 }, coder.Overloaded),
		Entry("a negative prompt", func(m *messenger.Reserve) { m.Prompt = -1 }, coder.Malformed),
	)

	It("refuses beyond its slots and says when to come back", func() {
		for i := range 3 {
			expectGranted(r, at(0), reserve(fmt.Sprint(i), 1000))
		}
		_, err := r.Reserve(at(0), reserve("x", 10))
		expectRefused(err, coder.Busy, coder.NotRun)
		Expect(coder.Of(err).Retry).To(Equal(3 * time.Second))
	})

	It("bounds long prompts that wait, but always takes one", func() {
		r.Reconcile(at(0), &reserver.Report{Incarnation: 7, Speed: 100000})
		expectGranted(r, at(0), reserve("a", 130000))
		expectReserveRefused(r, at(0), reserve("b", 130000), coder.Busy)
		expectGranted(r, at(0), reserve("c", 4000))
		expectStarted(r, at(0), "a")
		r.First(at(1), "a")
		expectGranted(r, at(1), reserve("d", 130000))
	})

	It("refuses new work while leaving and is idle once the rest has ended", func() {
		expectGranted(r, at(0), reserve("a", 10))
		r.Leave()
		expectReserveRefused(r, at(0), reserve("b", 10), coder.Leaving)
		expectStarted(r, at(0), "a")
		Expect(r.Idle(at(0))).To(BeFalse())
		r.End(at(1), "a", reserver.Outcome{})
		Expect(r.Idle(at(1))).To(BeTrue())
	})

	It("renews a gang member's reservation when asked again, up to its time", func() {
		gang := reserve("a", 10)
		gang.Gang, gang.Remaining = true, 4*time.Second
		expectGranted(r, at(0), gang)
		expectGranted(r, at(0.5), reserve("b", 10))
		expectGranted(r, at(1.5), gang)
		expectGranted(r, at(1.5), reserve("b", 10))
		Expect(r.Load(at(2.5)).Used).To(Equal(10), "only a is renewed")
		expectGranted(r, at(3.4), gang)
		Expect(r.Load(at(3.9)).Used).To(Equal(10))
		expectReserveRefused(r, at(4), gang, coder.LeaseExpired)
		Expect(r.Load(at(4)).Used).To(BeZero())
	})

	It("holds a gang member's cache under a lease", func() {
		expectGranted(r, at(0), reserve("a", 10))
		expectStarted(r, at(0), "a")
		r.End(at(0), "a", reserver.Outcome{Hold: true})
		r.Renew(at(9), "a")
		Expect(r.Tick(at(18))).To(BeEmpty())
		Expect(r.Load(at(18)).Used).To(Equal(10))
		Expect(r.Tick(at(19))).To(Equal([]string{"a"}))
		Expect(r.Load(at(19)).Used).To(BeZero())
	})

	It("finds what an engine restart has lost", func() {
		expectGranted(r, at(0), reserve("a", 10))
		expectGranted(r, at(0), reserve("b", 10))
		expectGranted(r, at(0), reserve("c", 10))
		expectStarted(r, at(0), "a")
		expectStarted(r, at(0), "b")
		r.End(at(1), "b", reserver.Outcome{Lost: true})
		out := r.Reconcile(at(1), &reserver.Report{Asked: at(1), Incarnation: 8})
		Expect(out.Restarted).To(BeTrue())
		Expect(out.Lost).To(HaveExactElements(HaveField("Attempt", "b"), HaveField("Attempt", "a")))
		Expect(r.Incarnation).To(Equal(uint64(2)))
		_, err := r.Run(at(1), run("c"))
		expectRefused(err, coder.WrongIncarnation, coder.NotRun)
	})

	It("suspects what broke before a target refused connections, once", func() {
		expectGranted(r, at(0), reserve("a", 10))
		expectGranted(r, at(0), reserve("b", 10))
		expectStarted(r, at(0), "a")
		r.End(at(1), "a", reserver.Outcome{Lost: true})
		Expect(r.Reconcile(at(2), &reserver.Report{Asked: at(0), Incarnation: 7}).Lost).To(BeEmpty())
		Expect(r.Dead(at(2))).To(HaveExactElements(HaveField("Attempt", "a")))
		Expect(r.Dead(at(3))).To(BeEmpty())
		Expect(r.Phase("b")).To(Equal(reserver.Withdrawn))
		Expect(r.Reconcile(at(4), &reserver.Report{Asked: at(4), Incarnation: 8}).Lost).To(BeEmpty())
		Expect(r.Incarnation).To(Equal(uint64(2)))
	})

	It("suspects nothing if the target lives on", func() {
		expectGranted(r, at(0), reserve("a", 10))
		expectStarted(r, at(0), "a")
		r.End(at(1), "a", reserver.Outcome{Lost: true})
		r.Reconcile(at(2), &reserver.Report{Asked: at(2), Incarnation: 7})
		Expect(r.Dead(at(3))).To(BeEmpty())
	})

	It("frees what the engine holds without a live record", func() {
		expectGranted(r, at(0), reserve("a", 10))
		expectStarted(r, at(0), "a")
		out := r.Reconcile(at(1), &reserver.Report{Asked: at(1), Incarnation: 7, Live: []string{"a", "left"}})
		Expect(out.Free).To(Equal([]string{"left"}))
		Expect(out.Lost).To(BeEmpty())
	})

	It("counts what the engine uses beyond the reservations", func() {
		expectGranted(r, at(0), reserve("a", 10))
		expectStarted(r, at(0), "a")
		r.Reconcile(at(1), &reserver.Report{Asked: at(1), Incarnation: 7, Used: 399960})
		Expect(r.Load(at(1)).Used).To(Equal(399960))
		expectReserveRefused(r, at(1), reserve("b", 41), coder.MemoryFull)
		expectGranted(r, at(1), reserve("b", 40))
		r.Reconcile(at(2), &reserver.Report{Asked: at(2), Incarnation: 7, Used: 10})
		expectGranted(r, at(2), reserve("c", 41))
	})

	It("measures speed and pace", func() {
		r = &reserver.Reserver{}
		m := reserve("a", 1000)
		m.Incarnation = 0
		expectGranted(r, at(0), m)
		started, err := r.Run(at(0), &messenger.Run{Attempt: "a", Remaining: time.Minute})
		Expect(started).To(BeTrue(), "%v", err)
		r.First(at(0.5), "a")
		r.End(at(1.5), "a", reserver.Outcome{Usage: messenger.Usage{Prompt: 1200, Cached: 200, Output: 21}})
		Expect(r.Load(at(2))).To(And(HaveField("Speed", 2000), HaveField("Pace", 20)))
	})
})

// attempts returns a function that takes one attempt from Reserve to End beside
// others that run, with a thousand records kept.
func attempts(running int) func() error {
	r := &reserver.Reserver{Incarnation: 1, Memory: 1 << 20, Kept: time.Second}
	for i := range running {
		_, _ = r.Reserve(start, reserve(fmt.Sprint("running ", i), 1))
		_, _ = r.Run(start, run(fmt.Sprint("running ", i)))
	}
	now, i := start, 0
	res, start := reserve("", 1000), run("")
	res.Remaining = time.Second
	return func() error {
		now, i = now.Add(time.Millisecond), i+1
		res.Attempt = strconv.Itoa(i)
		start.Attempt = res.Attempt
		if _, err := r.Reserve(now, res); err != nil {
			return err
		}
		if _, err := r.Run(now, start); err != nil {
			return err
		}
		r.First(now, res.Attempt)
		r.End(now, res.Attempt, reserver.Outcome{})
		return nil
	}
}

// TestAttemptAllocations bounds what one attempt allocates: its identity and its record.
func TestAttemptAllocations(t *testing.T) {
	g := NewWithT(t)
	attempt := attempts(32)
	for range 2000 {
		g.Expect(attempt()).To(Succeed())
	}
	g.Expect(testing.AllocsPerRun(1000, func() { _ = attempt() })).To(BeNumerically("<=", 3))
}

func BenchmarkAttempt(b *testing.B) {
	for _, running := range []int{0, 32} {
		b.Run(fmt.Sprint("running=", running), func(b *testing.B) {
			attempt := attempts(running)
			b.ReportAllocs()
			for b.Loop() {
				if err := attempt(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkRecords reports the heap that a full set of tombstones takes.
func BenchmarkRecords(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := &reserver.Reserver{Incarnation: 1}
		for i := range reserver.MaxRecords {
			r.Void(start, void(strconv.Itoa(i), 1))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "MB")
		runtime.KeepAlive(r)
	}
}
