package agent_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/agent"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/reserver"
	"bramleyshunt/setter"
)

var _ = Describe("an agent", func() {
	var e *stub

	BeforeEach(func() { e = newStub() })

	It("streams a complete answer and frees the memory", func() {
		n := start(e, nil)
		m, _ := n.dial()
		expectChunksAndEnd(n.begin(m, "a", "100"), 1, 100)
		n.expectIdle()
		Expect(n.agent.Target()).To(And(HaveField("Model", "m"), HaveField("Version", "v1"), HaveField("ID", "n1")))
	})

	It("continues an answer when the connection is lost, and resumes it over another", func() {
		e.steps = make(chan struct{}, 10)
		n := start(e, nil)
		m, closeConn := n.dial()
		s := n.begin(m, "a", "5")
		e.steps <- struct{}{}
		e.steps <- struct{}{}
		expectChunk(s, 1)
		closeConn()
		again, _ := n.dial()
		s, err := again.Open(messenger.KindResume, &messenger.Resume{Attempt: "a", Incarnation: n.agent.Target().Incarnation, Seq: 1})
		Expect(err).NotTo(HaveOccurred())
		expectChunk(s, 2)
		close(e.steps)
		expectChunksAndEnd(s, 3, 5)
		Expect(e.started("a")).To(Equal(1))
		resumed, err := again.Open(messenger.KindResume, &messenger.Resume{Attempt: "a", Incarnation: n.agent.Target().Incarnation, Seq: 4})
		Expect(err).NotTo(HaveOccurred())
		expectChunksAndEnd(resumed, 5, 5)
	})

	It("cancels an answer that no reader resumes within the orphan timeout", func() {
		e.steps = make(chan struct{})
		n := start(e, func(cfg *agent.Config) { cfg.OrphanTimeout = 50 * time.Millisecond })
		m, closeConn := n.dial()
		n.begin(m, "a", "5")
		Eventually(func() int { return e.started("a") }).Should(Equal(1))
		closeConn()
		Eventually(func() int { return e.cancelled("a") }).Should(Equal(1))
		n.expectIdle()
	})

	It("starts a run that is sent twice only once", func() {
		e.steps = make(chan struct{})
		n := start(e, nil)
		m, _ := n.dial()
		s := n.begin(m, "a", "3")
		Expect(s.Send(messenger.KindRun, n.runMessage("a", "3"))).To(Succeed())
		close(e.steps)
		expectChunksAndEnd(s, 1, 3)
		other, _ := n.dial()
		repeated, err := other.Open(messenger.KindRun, n.runMessage("a", "3"))
		Expect(err).NotTo(HaveOccurred())
		expectChunksAndEnd(repeated, 1, 3)
		Expect(e.started("a")).To(Equal(1))
	})

	It("reports whether a voided attempt ran", func() {
		n := start(e, nil)
		m, _ := n.dial()
		s := n.grant(m, "a")
		other, _ := n.dial()
		n.expectVoided(other, "a", coder.NotRun)
		Expect(s.Send(messenger.KindRun, n.runMessage("a", "3"))).To(Succeed())
		expectFailed(s, coder.Voided, coder.NotRun)
		Expect(e.started("a")).To(BeZero())
		expectChunksAndEnd(n.begin(m, "b", "3"), 1, 3)
		n.expectVoided(other, "b", coder.Ran)
	})

	It("cancels over another connection and frees the engine", func() {
		e.steps = make(chan struct{})
		n := start(e, nil)
		m, _ := n.dial()
		s := n.begin(m, "a", "5")
		Eventually(func() int { return e.started("a") }).Should(Equal(1))
		other, _ := n.dial()
		Expect(request(other, messenger.KindCancel, &messenger.Cancel{Attempt: "a"}, &messenger.Cancelled{})).To(Succeed())
		expectFailed(s, coder.Cancelled, coder.Ran)
		Eventually(func() int { return e.cancelled("a") }).Should(Equal(1))
		n.expectIdle()
	})

	It("ends an attempt at its deadline", func() {
		e.steps = make(chan struct{})
		n := start(e, nil)
		m, _ := n.dial()
		s := n.grant(m, "a")
		run := n.runMessage("a", "5")
		run.Remaining = 50 * time.Millisecond
		Expect(s.Send(messenger.KindRun, run)).To(Succeed())
		expectFailed(s, coder.DeadlineExceeded, coder.Ran)
		n.expectIdle()
	})

	It("fails running attempts with a code when it is stopped", func() {
		e.steps = make(chan struct{})
		n := start(e, nil)
		m, _ := n.dial()
		s := n.begin(m, "a", "5")
		Eventually(func() int { return e.started("a") }).Should(Equal(1))
		n.stop()
		expectFailed(s, coder.EngineFailed, coder.Ran)
		Expect(e.cancelled("a")).To(Equal(1))
	})

	It("releases a reservation", func() {
		n := start(e, nil)
		m, _ := n.dial()
		n.grant(m, "a")
		Expect(n.agent.Target().Load.Used).To(Equal(15))
		Expect(request(m, messenger.KindRelease, &messenger.Release{Attempt: "a"}, &messenger.Cancelled{})).To(Succeed())
		n.expectIdle()
	})

	It("holds a gang member's KV cache until it is released or the entry's connection is lost", func() {
		clock := &clock{}
		n := start(e, func(cfg *agent.Config) { cfg.Now = clock.now })
		m, closeConn := n.dial()
		n.expectHeld(m, "a")
		Expect(request(m, messenger.KindRelease, &messenger.Release{Attempt: "a"}, &messenger.Cancelled{})).To(Succeed())
		n.expectIdle()
		Eventually(func() int { return e.cancelled("a") }).Should(Equal(1))
		n.expectHeld(m, "b")
		closeConn()
		Eventually(func() int {
			clock.advance(reserver.DefaultHold)
			return e.cancelled("b")
		}).Should(Equal(1))
		n.expectIdle()
	})

	It("refuses a run from an entry that was frozen past its lease", func() {
		clock := &clock{}
		n := start(e, func(cfg *agent.Config) { cfg.Now = clock.now })
		m, _ := n.dial()
		s := n.grant(m, "a")
		clock.advance(reserver.DefaultLease)
		n.expectIdle()
		Expect(s.Send(messenger.KindRun, n.runMessage("a", "3"))).To(Succeed())
		expectFailed(s, coder.LeaseExpired, coder.NotRun)
		Expect(e.started("a")).To(BeZero())
	})

	It("answers undecodable messages with a code and continues to serve", func() {
		n := start(e, nil)
		m, _ := n.dial()
		for kind := messenger.KindFailed; kind <= messenger.KindSuspect; kind++ {
			s, err := m.Open(kind, "garbage")
			Expect(err).NotTo(HaveOccurred())
			expectFailed(s, coder.BadFrame, coder.Unknown)
			s.Close()
		}
		expectChunksAndEnd(n.begin(m, "a", "2"), 1, 2)
	})

	It("forwards a call to a plain service", func() {
		n := start(e, func(cfg *agent.Config) { cfg.Settings.Target.Kind = "plain" })
		m, _ := n.dial()
		s := n.grant(m, "a")
		Expect(s.Send(messenger.KindRun, n.runMessage("a", "ping"))).To(Succeed())
		var c messenger.Chunk
		Expect(receive(s).Decode(&c)).To(Succeed())
		Expect(c).To(And(HaveField("Status", 200), HaveField("Data", []byte("ping"))))
	})

	It("refuses new work while it drains, and lets running attempts finish", func() {
		e.steps = make(chan struct{})
		n := start(e, nil)
		m, _ := n.dial()
		s := n.begin(m, "a", "2")
		Eventually(func() int { return e.started("a") }).Should(Equal(1))
		drained := make(chan error, 1)
		go func() { drained <- n.agent.Drain(context.Background()) }()
		Eventually(func() bool { return n.agent.Target().Leaving }).Should(BeTrue())
		refused, err := m.Open(messenger.KindReserve, n.reserve("b"))
		Expect(err).NotTo(HaveOccurred())
		expectFailed(refused, coder.Leaving, coder.NotRun)
		Expect(drained).NotTo(Receive())
		close(e.steps)
		expectChunksAndEnd(s, 1, 2)
		Eventually(drained).Should(Receive(BeNil()))
	})
})

var _ = DescribeTable("an agent refuses settings", func(t setter.Target, k []setter.Keeper, want coder.Code) {
	_, _, err := agent.New(agent.Config{Settings: &setter.Setter{Target: t, Keepers: k}})
	Expect(coder.Of(err)).To(HaveField("Code", want))
},
	Entry("without a kind", setter.Target{URL: "http://h"}, nil, coder.Invalid),
	Entry("without a URL", setter.Target{Kind: "plain"}, nil, coder.Invalid),
	Entry("with keepers but no pool", setter.Target{Kind: "plain", URL: "http://h"}, []setter.Keeper{{}}, coder.Internal),
)

var _ = Describe("an agent whose engine crashes", func() {
	It("fails running attempts, reports them as suspects and accepts work after the restart", func() {
		e := newStub()
		e.steps = make(chan struct{})
		n := start(e, nil)
		m, _ := n.dial()
		before := n.agent.Target().Incarnation
		s := n.begin(m, "a", "5")
		Eventually(func() int { return e.started("a") }).Should(Equal(1))
		e.kill()
		expectFailed(s, coder.TargetLost, coder.Unknown)
		Eventually(n.reported).Should(HaveExactElements(messenger.Suspect{Fingerprint: 77, Target: "n1", Incarnation: before}))
		Eventually(func() bool { return n.agent.Target().Leaving }).Should(BeTrue())
		refused, err := m.Open(messenger.KindReserve, n.reserve("b"))
		Expect(err).NotTo(HaveOccurred())
		expectFailed(refused, coder.NotReady, coder.NotRun)
		e.restart()
		Eventually(func() bool { return n.agent.Target().Leaving }).Should(BeFalse())
		Expect(n.agent.Target().Incarnation).To(BeNumerically(">", before))
		n.expectIdle()
		close(e.steps)
		expectChunksAndEnd(n.begin(m, "c", "5"), 1, 5)
	})

	It("frees attempts that an earlier agent left in the engine", func() {
		e := newStub()
		e.addLive("left")
		start(e, nil)
		Eventually(func() int { return e.cancelled("left") }).Should(BeNumerically(">=", 1))
	})
})
