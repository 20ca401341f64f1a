package publisher_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/watcher"
)

// BenchmarkEvacuation measures the longest time from the acknowledgement of an order until all of
// 103 entries have it, of 20 orders.
//
//	go test ./publisher -run - -bench Evacuation -benchtime 1x
func BenchmarkEvacuation(b *testing.B) {
	const entries, orders = 103, 20
	RegisterFailHandler(func(message string, _ ...int) { b.Fatal(message) })
	f := newFleet(b)
	Expect(apply(f.proposer("op"), "1", 0, 1, folder(1)).Code).To(Equal(coder.OK))
	var watchers []*watcher.Watcher
	for i := range entries {
		watchers = append(watchers, f.watch(fmt.Sprintf("node-%d", i), false))
	}
	expectVersion(1, watchers...)
	e := f.evacuators()[0]
	for b.Loop() {
		var slowest time.Duration
		for n := range orders {
			end := n%2 == 1
			order(e, "a", end)
			accepted := time.Now()
			for _, w := range watchers {
				Eventually(func() bool { return w.View().Evacuated.Find("a") == nil }).WithTimeout(eventTimeout).WithPolling(2 * time.Millisecond).Should(Equal(end))
			}
			slowest = max(slowest, time.Since(accepted))
		}
		b.ReportMetric(float64(slowest.Milliseconds()), "ms/slowest-order")
	}
}
