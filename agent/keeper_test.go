package agent_test

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/agent"
	"bramleyshunt/announcer"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/registrar"
	"bramleyshunt/setter"
)

// leases answers announcements like a keeper that records them in a registrar.
type leases struct {
	unresponsive atomic.Bool
	confirmed    atomic.Bool
	answered     atomic.Int64

	mu        sync.Mutex
	registrar registrar.Registrar
}

func (l *leases) answer(s *muxer.Stream, m messenger.Announce) {
	if l.unresponsive.Load() {
		return
	}
	l.mu.Lock()
	_, err := l.registrar.Announce(time.Now(), m)
	l.mu.Unlock()
	if err != nil {
		_ = s.Fail("", err)
		return
	}
	l.answered.Add(1)
	_ = s.Send(messenger.KindAnnounced, &messenger.Announced{Fence: 5, Confirmed: l.confirmed.Load()})
}

// incarnation returns the incarnation of the announced target.
func (l *leases) incarnation() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.registrar.Live()[0].Target.Incarnation
}

var _ = Describe("an agent with a keeper", func() {
	order := func(m *muxer.Muxer, fence uint64, verb string) error {
		return request(m, messenger.KindOrder, &messenger.Order{Fence: fence, Verb: verb}, &messenger.Ordered{})
	}
	expectOrder := func(m *muxer.Muxer, fence uint64, want coder.Code) {
		GinkgoHelper()
		Expect(coder.Of(order(m, fence, "load"))).To(HaveField("Code", want))
	}
	var e *stub
	var l *leases

	BeforeEach(func() {
		e, l = newStub(), &leases{}
		l.confirmed.Store(true)
	})

	It("executes orders whose fencing token is not below the confirmed one", func() {
		n := startWithKeeper(e, l, nil)
		m, _ := n.dial()
		Eventually(func() uint64 { return n.agent.Target().Fence }).Should(Equal(uint64(5)))
		expectOrder(m, 4, coder.Fenced)
		Expect(order(m, 7, "load")).To(Succeed())
		Expect(order(m, 7, "load")).To(Succeed())
		expectOrder(m, 6, coder.Fenced)
		Expect(e.executed()).To(Equal([]uint64{7}))
		Expect(order(m, 8, agent.VerbDrain)).To(Succeed())
		Expect(n.agent.Target().Leaving).To(BeTrue())
	})

	// Guards against an order that reaches the agent of another target, as when its target's
	// address has been given to a new one since the order's sender looked it up.
	It("executes no order for another target that had its address before", func() {
		n := startWithKeeper(e, l, nil)
		m, _ := n.dial()
		Eventually(func() uint64 { return n.agent.Target().Fence }).Should(Equal(uint64(5)))
		for _, verb := range []string{"load", agent.VerbDrain} {
			err := request(m, messenger.KindOrder, &messenger.Order{Fence: 9, Target: "former", Verb: verb}, &messenger.Ordered{})
			Expect(err).To(HaveOccurred(), verb)
			Expect(coder.Of(err).Code).To(Equal(coder.WrongIncarnation), verb)
		}
		Expect(e.executed()).To(BeEmpty())
		Expect(n.agent.Target().Leaving).To(BeFalse())
		Expect(request(m, messenger.KindOrder, &messenger.Order{Fence: 6, Target: "n1", Verb: "load"}, &messenger.Ordered{})).To(Succeed())
		Expect(e.executed()).To(Equal([]uint64{6}))
	})

	It("ends a standby, but not a drain, on activate", func() {
		n := startWithKeeper(e, l, nil)
		m, _ := n.dial()
		Eventually(func() uint64 { return n.agent.Target().Fence }).Should(Equal(uint64(5)))
		expect := func(fence uint64, verb string, leaving, standby bool) {
			GinkgoHelper()
			Expect(order(m, fence, verb)).To(Succeed())
			t := n.agent.Target()
			Expect([]bool{t.Leaving, t.Standby}).To(Equal([]bool{leaving, standby}))
		}
		expect(7, agent.VerbStandby, true, true)
		expect(8, agent.VerbActivate, false, false)
		expect(9, agent.VerbDrain, true, false)
		expect(10, agent.VerbActivate, true, false)
		expect(11, agent.VerbStandby, true, false)
		expect(12, agent.VerbStay, false, false)
		expect(13, agent.VerbStandby, true, true)
		expect(14, agent.VerbDrain, true, false)
	})

	It("announces an engine without a model as empty", func() {
		n := startWithKeeper(e, l, nil)
		Expect(n.agent.Target().Empty).To(BeFalse())
		e.mu.Lock()
		e.empty = true
		e.mu.Unlock()
		Eventually(func() bool { return n.agent.Target().Empty }).Should(BeTrue())
	})

	It("executes no order on an unconfirmed fencing token", func() {
		l.confirmed.Store(false)
		n := startWithKeeper(e, l, nil)
		m, _ := n.dial()
		expectOrder(m, 7, coder.NotReady)
		Expect(e.executed()).To(BeEmpty())
	})

	It("executes no order after its lease lapsed until a keeper confirms the fencing token again", func() {
		clock := &clock{}
		n := startWithKeeper(e, l, func(cfg *agent.Config) { cfg.Now = clock.now })
		m, _ := n.dial()
		Eventually(func() error { return order(m, 7, "load") }).Should(Succeed())
		l.unresponsive.Store(true)
		clock.advance(announcer.DefaultLease)
		expectOrder(m, 8, coder.NotReady)
		l.confirmed.Store(false)
		l.unresponsive.Store(false)
		answered := l.answered.Load()
		Eventually(l.answered.Load).Should(BeNumerically(">", answered))
		expectOrder(m, 8, coder.NotReady)
		l.confirmed.Store(true)
		Eventually(func() error { return order(m, 8, "load") }).Should(Succeed())
		Expect(e.executed()).To(Equal([]uint64{7, 8}))
	})

	// Guards against an agent that takes itself for replaced, for good, because a keeper
	// refused an announcement that its engine's restart had outdated on the way.
	It("keeps serving when a keeper refuses an announcement of its earlier incarnation", func() {
		var announced atomic.Int64
		arrived, held := make(chan struct{}), make(chan struct{})
		release := sync.OnceFunc(func() { close(held) })
		DeferCleanup(release)
		slow := listen(func(ctx context.Context, s *muxer.Stream) {
			var m messenger.Announce
			msg, err := s.Receive(ctx)
			if err != nil || msg.Decode(&m) != nil {
				return
			}
			if announced.Add(1) == 1 {
				close(arrived)
				<-held
			}
			l.answer(s, m)
		})
		n := startWithKeeper(e, l, func(cfg *agent.Config) {
			cfg.Settings.Keepers = append(cfg.Settings.Keepers, setter.Keeper{Node: "slow", Address: slow})
		})
		Eventually(arrived).Should(BeClosed())
		Eventually(l.answered.Load).Should(BeNumerically(">", 0))
		before := l.incarnation()
		e.restart()
		Eventually(l.incarnation).Should(Equal(before + 1))
		release()
		Eventually(announced.Load).Should(BeNumerically(">", 1))
		Expect(n.agent.Target().Leaving).To(BeFalse())
		m, _ := n.dial()
		expectChunksAndEnd(n.begin(m, "a", "1"), 1, 1)
	})

	It("leaves once another agent holds the target, and does not free its attempts", func() {
		old := startWithKeeper(e, l, nil)
		m, _ := old.dial()
		Eventually(func() uint64 { return old.agent.Target().Fence }).Should(Equal(uint64(5)))
		next := startWithKeeper(e, l, nil)
		Eventually(func() bool { return old.agent.Target().Leaving }).Should(BeTrue())
		e.steps = make(chan struct{})
		other, _ := next.dial()
		s := next.begin(other, "a", "1")
		Eventually(func() int { return e.started("a") }).Should(Equal(1))
		refused, err := m.Open(messenger.KindReserve, old.reserve("b"))
		Expect(err).NotTo(HaveOccurred())
		expectFailed(refused, coder.Leaving, coder.NotRun)
		expectOrder(m, 7, coder.NotReady)
		close(e.steps)
		expectChunksAndEnd(s, 1, 1)
		Expect(e.cancelled("a")).To(BeZero())
	})
})
