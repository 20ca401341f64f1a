package faker_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/driver"
	"bramleyshunt/faker"
	"bramleyshunt/messenger"
	"bramleyshunt/storer"
)

var _ = Describe("Orders", func() {
	role := func(fence uint64) messenger.Order { return messenger.Order{Fence: fence, Verb: "role", Lane: "long"} }

	It("are refused with an outdated fencing token if the engine checks tokens", func() {
		f, d := startTarget(faker.Config{CheckFences: true})
		fence, err := d.Order(ctx, role(7))
		Expect(err).NotTo(HaveOccurred())
		Expect(fence).To(Equal(uint64(7)))
		_, err = d.Order(ctx, role(6))
		expectCode(err, coder.Fenced)
		Expect(f.Report().Fence).To(Equal(uint64(7)))
	})

	It("are executed with an outdated fencing token if the engine does not check tokens", func() {
		f, d := startTarget(faker.Config{})
		for _, fence := range []uint64{7, 6} {
			_, err := d.Order(ctx, role(fence))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(f.Report().Role).To(Equal("long"))
	})

	It("load weights from the store that the engines share", func() {
		store := &storer.Storer{Rate: 1000}
		f, d := startTarget(faker.Config{Store: store, ModelBytes: 100})
		_, err := d.Order(ctx, messenger.Order{Verb: "version", Version: "2"})
		Expect(err).NotTo(HaveOccurred())
		Expect(f.Report().Loading).NotTo(BeEmpty())
		Eventually(func() string { return f.Report().Version }).Should(Equal("2"))
		Expect(f.Report().Loading).To(BeEmpty())
	})
})

var _ = Describe("An engine", func() {
	// watch subscribes to cache events until the spec ends.
	watch := func(d *driver.Driver, after uint64) <-chan driver.Event {
		c, cancel := context.WithCancel(ctx)
		DeferCleanup(cancel)
		events := make(chan driver.Event, 1000)
		go func() {
			_ = d.Events(c, after, func(e driver.Event) error { events <- e; return nil })
		}()
		return events
	}

	It("publishes the contents of the cache, then cache events in order", func() {
		f, d := startTarget(faker.Config{})
		expectComplete(d, "a", strings.Repeat("a", 4096), 1)
		events := watch(d, 0)
		var e driver.Event
		Eventually(events).Should(Receive(&e))
		Expect(e.Full).To(BeTrue())
		Expect(e.Added).To(HaveLen(4))
		expectComplete(d, "b", strings.Repeat("b", 8192), 1)
		var next driver.Event
		Eventually(events).Should(Receive(&next))
		Expect(next.Seq).To(Equal(e.Seq + 1))
		Expect(next.Added).To(HaveLen(8))
		Expect(f.Report().Cached).To(Equal(12 * 256))
	})

	It("publishes cache events with a delay and drops some if configured so", func() {
		_, d := startTarget(faker.Config{EventLag: 30 * time.Millisecond, EventLoss: 0.5, Seed: 1})
		events := watch(d, 0)
		Eventually(events).Should(Receive())
		for i := range 20 {
			expectComplete(d, fmt.Sprint(i), strings.Repeat(fmt.Sprintf("%4d", i), 256), 1)
		}
		var seqs []uint64
		for e := (driver.Event{}); e.Seq < 16; {
			Eventually(events).Should(Receive(&e))
			seqs = append(seqs, e.Seq)
		}
		Expect(slices.IsSorted(seqs)).To(BeTrue())
		Expect(len(seqs)).To(BeNumerically("<", 15))
	})

	It("publishes load reports with a delay if configured so", func() {
		f, d := startTarget(faker.Config{ReportInterval: 10 * time.Millisecond, ReportLag: 100 * time.Millisecond})
		c, cancel := context.WithCancel(ctx)
		DeferCleanup(cancel)
		reports := make(chan driver.Report, 1000)
		go func() { _ = d.Loads(c, func(r driver.Report) error { reports <- r; return nil }) }()
		var r driver.Report
		Eventually(reports).Should(Receive(&r))
		Expect(r.Running).To(BeZero())
		outcome := startLongRun(d, "a", "hello")
		Expect(f.Report().Running).To(Equal(1))
		Eventually(reports).Should(Receive(HaveField("Running", 1)))
		Expect(d.Cancel(ctx, "a")).To(Succeed())
		expectRunError(outcome, coder.Cancelled)
		eventuallyUsed(f, 0)
	})
})
