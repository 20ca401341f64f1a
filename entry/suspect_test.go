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
	var b *bench
	BeforeEach(func() { b = newBench() })

	// engines adds engines until there are n.
	engines := func(n int) []*fake {
		all := []*fake{b.engine}
		v := *b.view.Load()
		for i := 2; i <= n; i++ {
			f := newFake(fmt.Sprintf("more%d", i), "draft", "m")
			all = append(all, f)
			v.Targets = append(slices.Clone(v.Targets), f.target)
		}
		v.ByService = map[string][]messenger.Target{"draft": v.Targets}
		b.view.Store(&v)
		return all
	}

	It("is given up after as many losses as put it in quarantine", func() {
		all := engines(4)
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

	It("is tried again apart from other such requests", func() {
		const count = 4
		all := engines(count + 1)
		struck := make(chan struct{})
		var lost, again sync.WaitGroup
		lost.Add(count)
		again.Add(count)
		var mu sync.Mutex
		seen, worst := map[string]int{}, 0
		for _, f := range all {
			f.run = func(_ context.Context, s *muxer.Stream, run messenger.Run) {
				mu.Lock()
				first := seen["struck"] < count
				if first {
					seen["struck"]++
				} else {
					seen[f.target.ID]++
					worst = max(worst, seen[f.target.ID])
				}
				mu.Unlock()
				if first {
					lost.Done()
					<-struck
					_ = s.Fail(run.Attempt, coder.Errorf(coder.TargetLost, ""))
					return
				}
				again.Done()
				again.Wait()
				answer(s, run, "hello")
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
		lost.Wait()
		close(struck)
		wg.Wait()
		Expect(worst).To(Equal(1))
	})
})
