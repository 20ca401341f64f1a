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

var _ = Describe("orders", func() {
	role := func(fence uint64) messenger.Order { return messenger.Order{Fence: fence, Verb: "role", Lane: "long"} }

	It("are fenced where the engine checks the number", func() {
		f, d := begin(faker.Config{Fences: true})
		fence, err := d.Order(ctx, role(7))
		Expect(err).NotTo(HaveOccurred())
		Expect(fence).To(Equal(uint64(7)))
		_, err = d.Order(ctx, role(6))
		expectCode(err, coder.Fenced)
		Expect(f.Report().Fence).To(Equal(uint64(7)))
	})

	It("are executed out of order where it does not", func() {
		f, d := begin(faker.Config{})
		for _, fence := range []uint64{7, 6} {
			_, err := d.Order(ctx, role(fence))
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(f.Report().Role).To(Equal("long"))
	})

	It("load from the store that engines share", func() {
		store := &storer.Storer{Rate: 1000}
		f, d := begin(faker.Config{Store: store, Weight: 100})
		_, err := d.Order(ctx, messenger.Order{Verb: "version", Version: "2"})
		Expect(err).NotTo(HaveOccurred())
		Expect(f.Report().Loading).NotTo(BeEmpty())
		Eventually(func() string { return f.Report().Version }).Should(Equal("2"))
		Expect(f.Report().Loading).To(BeEmpty())
	})
})

var _ = Describe("what an engine publishes", func() {
	// watch collects cache events until the spec ends.
	watch := func(d *driver.Driver, after uint64) <-chan driver.Event {
		c, cancel := context.WithCancel(ctx)
		DeferCleanup(cancel)
		out := make(chan driver.Event, 1000)
		go func() {
			_ = d.Events(c, after, func(e driver.Event) error { out <- e; return nil })
		}()
		return out
	}

	It("cache events in order, after the whole cache", func() {
		f, d := begin(faker.Config{})
		expectWhole(d, "a", strings.Repeat("a", 4096), 1)
		out := watch(d, 0)
		var e driver.Event
		Eventually(out).Should(Receive(&e))
		Expect(e.Full).To(BeTrue())
		Expect(e.Added).To(HaveLen(4))
		expectWhole(d, "b", strings.Repeat("b", 8192), 1)
		var next driver.Event
		Eventually(out).Should(Receive(&next))
		Expect(next.Seq).To(Equal(e.Seq + 1))
		Expect(next.Added).To(HaveLen(8))
		Expect(f.Report().Cached).To(Equal(12 * 256))
	})

	It("cache events late and with gaps", func() {
		_, d := begin(faker.Config{EventLag: 30 * time.Millisecond, EventLoss: 0.5, Seed: 1})
		out := watch(d, 0)
		Eventually(out).Should(Receive())
		for i := range 20 {
			expectWhole(d, fmt.Sprint(i), strings.Repeat(fmt.Sprintf("%4d", i), 256), 1)
		}
		var seqs []uint64
		for e := (driver.Event{}); e.Seq < 16; {
			Eventually(out).Should(Receive(&e))
			seqs = append(seqs, e.Seq)
		}
		Expect(slices.IsSorted(seqs)).To(BeTrue())
		Expect(len(seqs)).To(BeNumerically("<", 15))
	})

	It("load reports with a lag", func() {
		f, d := begin(faker.Config{ReportEvery: 10 * time.Millisecond, ReportLag: 100 * time.Millisecond})
		c, cancel := context.WithCancel(ctx)
		DeferCleanup(cancel)
		out := make(chan driver.Report, 1000)
		go func() { _ = d.Loads(c, func(r driver.Report) error { out <- r; return nil }) }()
		var r driver.Report
		Eventually(out).Should(Receive(&r))
		Expect(r.Running).To(BeZero())
		done := running(d, "a", "hello")
		Expect(f.Report().Running).To(Equal(1))
		Eventually(out).Should(Receive(HaveField("Running", 1)))
		Expect(d.Cancel(ctx, "a")).To(Succeed())
		expectOutcome(done, coder.Cancelled)
		eventuallyUsed(f, 0)
	})
})
