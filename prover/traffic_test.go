package prover_test

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/loader"
)

// streams is a load whose answers are still going on when faults are injected.
func streams(n int) loader.Plan {
	return loader.Plan{Requests: n, Timeout: 20 * time.Second, Output: 300}
}

// during runs act once the load is under way and returns how the load ended.
func (f *fleet) during(plan loader.Plan, busy func() int, act func(), entries ...int) *loader.Report {
	GinkgoHelper()
	var wg sync.WaitGroup
	var r *loader.Report
	wg.Go(func() { r = f.load(plan, entries...) })
	Eventually(busy).WithPolling(10 * time.Millisecond).Should(BeNumerically(">", 0))
	act()
	wg.Wait()
	return r
}

var _ = Describe("an admitted request", func() {
	It("ends whole or with a code in time though its engine is killed", func() {
		f := newFleet(GinkgoTB())
		one := f.engine(1)
		f.engine(2)
		f.reached(0, 1, 2)
		expectSettled(f.during(streams(8), f.used(1), f.engines[one].kill, 0, 1))
	})

	It("ends whole or with a code in time though its agent is killed, and frees the engine", func() {
		f := newFleet(GinkgoTB())
		one := f.engine(1)
		f.engine(2)
		f.reached(0, 1, 2)
		expectSettled(f.during(streams(8), f.used(1), f.agents[one].kill, 0, 1))
		f.agents[one].start()
		Eventually(f.used(1)).Should(BeZero())
	})

	It("leaves no engine memory behind when its entry is killed", func() {
		f := newFleet(GinkgoTB())
		f.engine(1)
		f.served(0, "letters")
		f.served(1, "letters")
		f.during(streams(4), f.used(1), f.entries[0].kill, 0)
		Eventually(f.used(1)).Should(BeZero())
		expectWhole(f.load(loader.Plan{Requests: 3}, 1))
	})

	It("is not cut off by a graceful shutdown of its entry or agent", func() {
		f := newFleet(GinkgoTB())
		one := f.engine(1)
		f.engine(2)
		f.reached(0, 1, 2)
		expectWhole(f.during(streams(6), f.used(1), func() {
			f.agents[one].signal(syscall.SIGTERM)
			f.entries[0].signal(syscall.SIGTERM)
		}, 0))
		Eventually(f.entries[0].session).Should(HaveField("ExitCode()", 0))
		Eventually(f.agents[one].session).Should(HaveField("ExitCode()", 0))
	})
})

var _ = Describe("a call that may not be repeated", func() {
	It("runs at most once though its entry, the agent or the leader is killed", func() {
		f := newFleet(GinkgoTB())
		portal := f.plain(1)
		f.served(0, "portal")
		f.served(1, "portal")
		for i, kill := range []func(){f.entries[0].kill, f.agents[portal].kill, f.keepers[f.leader()].kill} {
			f.pinged(fmt.Sprint(i), kill)
			if i == 1 {
				f.agents[portal].start()
				f.served(1, "portal")
			}
		}
		Expect(f.entries[1].session.ExitCode()).To(Equal(-1), "entry 1 serves on")
	})
})

// pinged sends a slow ping, kills something meanwhile, resends the ping at the
// other entry, and compares what was told with what ran.
func (f *fleet) pinged(key string, kill func()) {
	GinkgoHelper()
	const path = "/service/portal/ping"
	body := "ping " + key
	via := 0
	if f.entries[0].session.ExitCode() >= 0 {
		via = 1
	}
	first := make(chan reply, 1)
	go func() { first <- f.call(via, http.MethodPost, path+"?slow=0.7", key, body) }()
	Eventually(func() int { return times(f.posts(1, "/ping"), body) }).Should(Equal(1))
	kill()
	got := []reply{<-first}
	for range 3 {
		got = append(got, f.call(1, http.MethodPost, path+"?slow=0.7", key, body))
	}
	Expect(times(f.posts(1, "/ping"), body)).To(Equal(1))
	for _, r := range got {
		Expect(r.run).NotTo(Equal("not-run"), "told %v of a ping that ran", r)
	}
}

var _ = Describe("a target that leaves", func() {
	It("gets no new work, and what runs on it ends whole", func() {
		f := newFleet(GinkgoTB())
		one := f.engine(1)
		f.engine(2)
		f.reached(0, 1, 2)
		r := f.during(streams(6), f.used(1), func() {
			Expect(f.admin.Drain(GinkgoT().Context(), one)).To(Succeed())
		}, 0)
		expectWhole(r)
		Eventually(f.used(1)).Should(BeZero())
		wg := sync.WaitGroup{}
		wg.Go(func() { r = f.load(streams(6), 0, 1) })
		Consistently(f.used(1), "1s", "20ms").Should(BeZero())
		wg.Wait()
		expectWhole(r)
	})
})
