package entry_test

import (
	"context"
	"fmt"
	"slices"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
)

var _ = Describe("a request whose target was lost", func() {
	var b *testBed
	BeforeEach(func() { b = newTestBed() })

	// addEngines adds engines to the view until there are n, and returns all.
	addEngines := func(n int) []*fakeAgent {
		all := []*fakeAgent{b.engine}
		v := *b.view.Load()
		for i := 2; i <= n; i++ {
			f := newFakeAgent(fmt.Sprintf("more%d", i), "draft", "m")
			all = append(all, f)
			v.Targets = append(slices.Clone(v.Targets), f.target)
		}
		v.ByService = map[string][]messenger.Target{"draft": v.Targets}
		b.view.Store(&v)
		return all
	}

	It("fails once the number of lost targets reaches the quarantine limit", func() {
		all := addEngines(4)
		for _, f := range all {
			f.run = func(_ context.Context, s *muxer.Stream, run messenger.Run) {
				_ = s.Fail(run.Attempt, coder.Errorf(coder.TargetLost, ""))
			}
		}
		resp, _ := b.call("POST", "/v1/completions", prompt)
		Expect(resp.Header.Get("Bramleyshunt-Code")).To(Equal(fmt.Sprint(int(coder.Quarantined))))
		Expect(resp.Header.Get("Bramleyshunt-Run")).To(Equal("unknown"))
		runs := 0
		for _, f := range all {
			runs += len(f.runs())
		}
		Expect(runs).To(Equal(2))
	})

	// All requests lose their first target at the same time. The retries then wait for each
	// other, so that two of them on one target would be counted together.
	It("is retried on a target that runs no other such request", func() {
		const count = 4
		all := addEngines(count + 1)
		allStarted := make(chan struct{})
		var firstRuns, retries sync.WaitGroup
		firstRuns.Add(count)
		retries.Add(count)
		var mu sync.Mutex
		runsAt, maxRuns := map[string]int{}, 0
		for _, f := range all {
			f.run = func(_ context.Context, s *muxer.Stream, run messenger.Run) {
				mu.Lock()
				first := runsAt["initial"] < count
				if first {
					runsAt["initial"]++
				} else {
					runsAt[f.target.ID]++
					maxRuns = max(maxRuns, runsAt[f.target.ID])
				}
				mu.Unlock()
				if first {
					firstRuns.Done()
					<-allStarted
					_ = s.Fail(run.Attempt, coder.Errorf(coder.TargetLost, ""))
					return
				}
				retries.Done()
				retries.Wait()
				sendAnswer(s, run, "hello")
			}
		}
		var wg sync.WaitGroup
		for i := range count {
			wg.Go(func() {
				defer GinkgoRecover()
				resp, text := b.call("POST", "/v1/completions", fmt.Sprintf(`{"prompt":"%d", "model":"m"}`, i))
				Expect(resp.StatusCode).To(Equal(200), text)
			})
		}
		firstRuns.Wait()
		close(allStarted)
		wg.Wait()
		Expect(maxRuns).To(Equal(1))
	})
})
