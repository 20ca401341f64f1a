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
		r.Reconcile(start, &reserver.Report{Requested: start, Incarnation: 7, Speed: 1000})
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

	// Guards against an agent that runs out of memory: bodies arrive with the run message, when
	// they can't be refused without having been received.
	It("refuses an attempt whose body exceeds what the bodies may have together, until one ends", func() {
		r.MaxBodies = 1000
		withBody := func(id string, bytes int) *messenger.Reserve {
			m := reserve(id, 10)
			m.Bytes = bytes
			return m
		}
		expectGranted(r, at(0), withBody("larger than all", 5000))
		expectReserveRefused(r, at(0), withBody("b", 1), coder.Busy)
		r.Release(at(0), "larger than all")
		expectGranted(r, at(1), withBody("c", 600))
		expectGranted(r, at(1), withBody("d", 400))
		expectReserveRefused(r, at(1), withBody("e", 1), coder.Busy)
		expectGranted(r, at(4), withBody("f", 400)) // the leases of c and d have expired
	})

	It("frees memory when a lease expires and refuses the delayed run as not run", func() {
		expectGranted(r, at(0), reserve("a", 10))
		Expect(r.Load(at(1)).Used).To(Equal(10))
		Expect(r.Load(at(2)).Used).To(BeZero())
		_, err := r.Run(at(2), run("a"))
		expectRefused(err, coder.LeaseExpired, coder.NotRun)
	})

	It("answers a void according to the record of the attempt", func() {
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

	It("reports an unknown outcome for a cancelled attempt without a record", func() {
		r.Cancel(at(0), "a")
		_, err := r.Run(at(0), run("a"))
		expectRefused(err, coder.Cancelled, coder.Unknown)
		Expect(r.Void(at(0), void("a", 1)).Run).To(Equal(coder.Unknown))
	})

	It("reports an unknown outcome for an attempt without a record once the record of a run has been dropped", func() {
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

	It("keeps tombstones while the process is frozen", func() {
		Expect(r.Void(at(0), void("a", 1)).Run).To(Equal(coder.NotRun))
		expectReserveRefused(r, at(3600), reserve("a", 10), coder.Voided)
	})

	DescribeTable("refuses reservations that it cannot serve", func(change func(*messenger.Reserve), want coder.Code) {
		m := reserve("a", 10)
		change(m)
		expectReserveRefused(r, at(0), m, want)
	},
		Entry("an old incarnation", func(m *messenger.Reserve) { m.Incarnation = 0 }, coder.WrongIncarnation),
		Entry("no time left", func(m *messenger.Reserve) { m.Remaining = 0 }, coder.DeadlineExceeded),
		Entry("more tokens than the memory holds", func(m *messenger.Reserve) { m.Output = 400000 }, coder.MemoryFull),
		Entry("a prompt that cannot be prefilled before its deadline", func(m *messenger.Reserve) { m.Prompt = 130000 }, coder.Overloaded),
		Entry("a negative prompt", func(m *messenger.Reserve) { m.Prompt = -1 }, coder.Malformed),
	)

	It("refuses attempts beyond its slots and says when to retry", func() {
		for i := range 3 {
			expectGranted(r, at(0), reserve(fmt.Sprint(i), 1000))
		}
		_, err := r.Reserve(at(0), reserve("x", 10))
		expectRefused(err, coder.Busy, coder.NotRun)
		Expect(coder.Of(err).Retry).To(Equal(3 * time.Second))
	})

	It("bounds the long prompts awaiting prefill, but always accepts one", func() {
		r.Reconcile(at(0), &reserver.Report{Incarnation: 7, Speed: 100000})
		expectGranted(r, at(0), reserve("a", 130000))
		expectReserveRefused(r, at(0), reserve("b", 130000), coder.Busy)
		expectGranted(r, at(0), reserve("c", 4000))
		expectStarted(r, at(0), "a")
		r.FirstToken(at(1), "a")
		expectGranted(r, at(1), reserve("d", 130000))
	})

	It("refuses new work while leaving and is idle once the granted attempts have ended", func() {
		expectGranted(r, at(0), reserve("a", 10))
		r.Leave()
		expectReserveRefused(r, at(0), reserve("b", 10), coder.Leaving)
		expectStarted(r, at(0), "a")
		Expect(r.Idle(at(0))).To(BeFalse())
		r.End(at(1), "a", reserver.Outcome{})
		Expect(r.Idle(at(1))).To(BeTrue())
	})

	It("renews a gang member's reservation on a repeated message, up to its deadline", func() {
		gang := reserve("a", 10)
		gang.Gang, gang.Remaining = true, 4*time.Second
		expectGranted(r, at(0), gang)
		expectGranted(r, at(0.5), reserve("b", 10))
		expectGranted(r, at(1.5), gang)
		expectGranted(r, at(1.5), reserve("b", 10))
		Expect(r.Load(at(2.5)).Used).To(Equal(10), "only the reservation of a is renewed")
		expectGranted(r, at(3.4), gang)
		Expect(r.Load(at(3.9)).Used).To(Equal(10))
		expectReserveRefused(r, at(4), gang, coder.LeaseExpired)
		Expect(r.Load(at(4)).Used).To(BeZero())
	})

	It("holds a gang member's KV cache until the hold expires", func() {
		expectGranted(r, at(0), reserve("a", 10))
		expectStarted(r, at(0), "a")
		r.End(at(0), "a", reserver.Outcome{Hold: true})
		r.Renew(at(9), "a")
		Expect(r.Tick(at(18))).To(BeEmpty())
		Expect(r.Load(at(18)).Used).To(Equal(10))
		Expect(r.Tick(at(19))).To(Equal([]string{"a"}))
		Expect(r.Load(at(19)).Used).To(BeZero())
	})

	It("returns the attempts lost in an engine restart", func() {
		expectGranted(r, at(0), reserve("a", 10))
		expectGranted(r, at(0), reserve("b", 10))
		expectGranted(r, at(0), reserve("c", 10))
		expectStarted(r, at(0), "a")
		expectStarted(r, at(0), "b")
		r.End(at(1), "b", reserver.Outcome{Lost: true})
		out := r.Reconcile(at(1), &reserver.Report{Requested: at(1), Incarnation: 8})
		Expect(out.Restarted).To(BeTrue())
		Expect(out.Lost).To(HaveExactElements(HaveField("Attempt", "b"), HaveField("Attempt", "a")))
		Expect(r.Incarnation).To(Equal(uint64(2)))
		_, err := r.Run(at(1), run("c"))
		expectRefused(err, coder.WrongIncarnation, coder.NotRun)
	})

	It("suspects a run that lost its connection before the target went down, once", func() {
		expectGranted(r, at(0), reserve("a", 10))
		expectGranted(r, at(0), reserve("b", 10))
		expectStarted(r, at(0), "a")
		r.End(at(1), "a", reserver.Outcome{Lost: true})
		Expect(r.Reconcile(at(2), &reserver.Report{Requested: at(0), Incarnation: 7}).Lost).To(BeEmpty())
		Expect(r.MarkDown(at(2))).To(HaveExactElements(HaveField("Attempt", "a")))
		Expect(r.MarkDown(at(3))).To(BeEmpty())
		Expect(r.Phase("b")).To(Equal(reserver.Withdrawn))
		Expect(r.Reconcile(at(4), &reserver.Report{Requested: at(4), Incarnation: 8}).Lost).To(BeEmpty())
		Expect(r.Incarnation).To(Equal(uint64(2)))
	})

	It("suspects no run if the target is still alive", func() {
		expectGranted(r, at(0), reserve("a", 10))
		expectStarted(r, at(0), "a")
		r.End(at(1), "a", reserver.Outcome{Lost: true})
		r.Reconcile(at(2), &reserver.Report{Requested: at(2), Incarnation: 7})
		Expect(r.MarkDown(at(3))).To(BeEmpty())
	})

	It("frees attempts that the engine holds without a live record", func() {
		expectGranted(r, at(0), reserve("a", 10))
		expectStarted(r, at(0), "a")
		out := r.Reconcile(at(1), &reserver.Report{Requested: at(1), Incarnation: 7, Live: []string{"a", "stale"}})
		Expect(out.Free).To(Equal([]string{"stale"}))
		Expect(out.Lost).To(BeEmpty())
	})

	It("counts memory that the engine uses beyond the reservations", func() {
		expectGranted(r, at(0), reserve("a", 10))
		expectStarted(r, at(0), "a")
		r.Reconcile(at(1), &reserver.Report{Requested: at(1), Incarnation: 7, Used: 399960})
		Expect(r.Load(at(1)).Used).To(Equal(399960))
		expectReserveRefused(r, at(1), reserve("b", 41), coder.MemoryFull)
		expectGranted(r, at(1), reserve("b", 40))
		r.Reconcile(at(2), &reserver.Report{Requested: at(2), Incarnation: 7, Used: 10})
		expectGranted(r, at(2), reserve("c", 41))
	})

	It("measures prefill and decode rates", func() {
		r = &reserver.Reserver{}
		m := reserve("a", 1000)
		m.Incarnation = 0
		expectGranted(r, at(0), m)
		started, err := r.Run(at(0), &messenger.Run{Attempt: "a", Remaining: time.Minute})
		Expect(started).To(BeTrue(), "%v", err)
		r.FirstToken(at(0.5), "a")
		r.End(at(1.5), "a", reserver.Outcome{Usage: messenger.Usage{Prompt: 1200, Cached: 200, Output: 21}})
		Expect(r.Load(at(2))).To(And(HaveField("Speed", 2000), HaveField("Pace", 20)))
	})
})

// attempts returns a function that runs one attempt from Reserve to End while other
// attempts run, with a thousand records retained.
func attempts(running int) func() error {
	r := &reserver.Reserver{Incarnation: 1, Memory: 1 << 20, Retention: time.Second}
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
		r.FirstToken(now, res.Attempt)
		r.End(now, res.Attempt, reserver.Outcome{})
		return nil
	}
}

// TestAttemptAllocations bounds the allocations of one attempt: its id and its record.
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

// BenchmarkRecords reports the heap used by MaxRecords tombstones.
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
