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

// longAnswers returns a load of n requests whose answers take long enough that faults
// hit them in mid-stream.
func longAnswers(n int) loader.Plan {
	return loader.Plan{Requests: n, Timeout: 20 * time.Second, Output: 300}
}

// loadDuring sends a load through the given entries, calls act once busy returns more
// than zero, and returns the report of the load.
func (f *fleet) loadDuring(plan loader.Plan, busy func() int, act func(), entries ...int) *loader.Report {
	GinkgoHelper()
	var wg sync.WaitGroup
	var r *loader.Report
	wg.Go(func() { r = f.load(plan, entries...) })
	Eventually(busy).WithPolling(10 * time.Millisecond).Should(BeNumerically(">", 0))
	act()
	wg.Wait()
	return r
}

var _ = Describe("An admitted request", func() {
	It("is answered completely or ends with a code in time if its engine is killed", func() {
		f := newFleet(GinkgoTB())
		first := f.engine(1)
		f.engine(2)
		f.waitReached(0, 1, 2)
		expectSettled(f.loadDuring(longAnswers(8), f.usedMemory(1), f.engines[first].kill, 0, 1))
	})

	It("is answered completely or ends with a code in time if its agent is killed, and its engine memory is released", func() {
		f := newFleet(GinkgoTB())
		first := f.engine(1)
		f.engine(2)
		f.waitReached(0, 1, 2)
		expectSettled(f.loadDuring(longAnswers(8), f.usedMemory(1), f.agents[first].kill, 0, 1))
		f.agents[first].start()
		Eventually(f.usedMemory(1)).Should(BeZero())
	})

	It("holds no engine memory after its entry is killed", func() {
		f := newFleet(GinkgoTB())
		f.engine(1)
		f.waitServed(0, "letters")
		f.waitServed(1, "letters")
		f.loadDuring(longAnswers(4), f.usedMemory(1), f.entries[0].kill, 0)
		Eventually(f.usedMemory(1)).Should(BeZero())
		expectComplete(f.load(loader.Plan{Requests: 3}, 1))
	})

	It("is not interrupted by a graceful shutdown of its entry or agent", func() {
		f := newFleet(GinkgoTB())
		first := f.engine(1)
		f.engine(2)
		f.waitReached(0, 1, 2)
		expectComplete(f.loadDuring(longAnswers(6), f.usedMemory(1), func() {
			f.agents[first].signal(syscall.SIGTERM)
			f.entries[0].signal(syscall.SIGTERM)
		}, 0))
		Eventually(f.entries[0].session).Should(HaveField("ExitCode()", 0))
		Eventually(f.agents[first].session).Should(HaveField("ExitCode()", 0))
	})

	// Guards against SIGHUP that ends a process with the requests that it runs.
	It("is not interrupted by SIGHUP of a process of any role, before and after SIGTERM", func() {
		f := newFleet(GinkgoTB())
		first := f.engine(1)
		f.engine(2)
		f.waitReached(0, 1, 2)
		stopped := []*process{f.agents[first], f.entries[0], f.keepers[0]}
		expectComplete(f.loadDuring(longAnswers(6), f.usedMemory(1), func() {
			for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP} {
				for _, p := range stopped {
					p.session.Signal(s) // no error if the process has ended: a keeper stops at once
				}
				time.Sleep(50 * time.Millisecond) // lets each signal take effect before the next one
			}
		}, 0))
		for _, p := range stopped {
			Eventually(p.session).Should(HaveField("ExitCode()", 0), p.name)
		}
	})
})

var _ = Describe("A call that must not be repeated", func() {
	It("is executed at most once if its entry, the agent or the leading keeper is killed", func() {
		f := newFleet(GinkgoTB())
		portal := f.plain(1)
		f.waitServed(0, "portal")
		f.waitServed(1, "portal")
		for i, kill := range []func(){f.entries[0].kill, f.agents[portal].kill, f.keepers[f.leader()].kill} {
			f.expectOneExecution(fmt.Sprint(i), kill)
			if i == 1 {
				f.agents[portal].start()
				f.waitServed(1, "portal")
			}
		}
		Expect(f.entries[1].session.ExitCode()).To(Equal(-1), "entry 1 must still be running")
	})
})

// expectOneExecution sends a slow ping, calls kill while it is executed, and resends
// the ping through entry 1. It fails the test unless the ping was executed exactly once
// and no reply reports it as not executed.
func (f *fleet) expectOneExecution(key string, kill func()) {
	GinkgoHelper()
	const path = "/service/portal/ping"
	body := "ping " + key
	entry := 0
	if f.entries[0].session.ExitCode() >= 0 {
		entry = 1
	}
	firstReply := make(chan reply, 1)
	go func() { firstReply <- f.call(entry, http.MethodPost, path+"?slow=0.7", key, body) }()
	Eventually(func() int { return occurrences(f.posts(1, "/ping"), body) }).Should(Equal(1))
	kill()
	replies := []reply{<-firstReply}
	for range 3 {
		replies = append(replies, f.call(1, http.MethodPost, path+"?slow=0.7", key, body))
	}
	Expect(occurrences(f.posts(1, "/ping"), body)).To(Equal(1))
	for _, r := range replies {
		Expect(r.run).NotTo(Equal("not-run"), "reply %v for a ping that was executed", r)
	}
}

var _ = Describe("A target that is drained", func() {
	It("receives no new requests, and those that run on it are answered completely", func() {
		f := newFleet(GinkgoTB())
		first := f.engine(1)
		f.engine(2)
		f.waitReached(0, 1, 2)
		r := f.loadDuring(longAnswers(6), f.usedMemory(1), func() {
			Expect(f.admin.Drain(GinkgoT().Context(), first)).To(Succeed())
		}, 0)
		expectComplete(r)
		Eventually(f.usedMemory(1)).Should(BeZero())
		wg := sync.WaitGroup{}
		wg.Go(func() { r = f.load(longAnswers(6), 0, 1) })
		Consistently(f.usedMemory(1), "1s", "20ms").Should(BeZero())
		wg.Wait()
		expectComplete(r)
	})
})
