package keeper_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/keeper"
	"bramleyshunt/replicator"
)

func TestKeeper(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "keeper")
}

var _ = Describe("settings", func() {
	It("must name the keeper itself", func() {
		_, _, err := keeper.New(keeper.Config{Node: "x", Folder: GinkgoT().TempDir()})
		expectCode(err, coder.Invalid)
	})
})

var _ = Describe("three keepers", func() {
	var c *cluster
	BeforeEach(func() {
		c = newCluster(GinkgoTB(), "a", "b", "c")
		c.startAll()
	})

	It("found one group, and all read what was accepted", func() {
		c.propose("x")
		for i := range c.hosts {
			c.expectData(i, "x")
		}
		group := c.hosts[0].keeper.Load().Status().Group
		for _, h := range c.hosts {
			Expect(h.keeper.Load().Status().Group).To(Equal(group))
		}
	})

	It("refuse a proposal at a follower with the leader's name", func() {
		l := c.leader()
		_, _, err := c.hosts[(l+1)%3].keeper.Load().Propose(context.Background(), []byte("x"))
		expectCode(err, coder.NotLeader)
	})

	It("take commands up to the size that a frame carries", func() {
		k := c.hosts[c.leader()].keeper.Load()
		_, _, err := k.Propose(context.Background(), make([]byte, 1<<20+1))
		expectCode(err, coder.TooLarge)
		c.propose(string(make([]byte, 1<<20)))
		c.expectData(0, string(c.hosts[c.leader()].register.snapshot()))
	})

	It("go on when the leader is killed, which then catches up", func() {
		c.propose("x")
		l := c.leader()
		c.hosts[l].kill()
		c.propose("y")
		c.start(l)
		c.expectData(l, "xy")
	})

	It("hand the leadership over before a stop", func() {
		c.propose("x")
		c.expectRepaired()
		l := c.leader()
		k := c.hosts[l].keeper.Load()
		Expect(k.Retire(context.Background())).To(Succeed())
		Expect(k.Status().Role).NotTo(Equal(replicator.Leader))
		c.hosts[l].kill()
		c.propose("y")
		Expect(k.Retire(context.Background())).NotTo(Succeed(), "it has stopped")
	})

	It("repair an emptied disk and then lose a second one without a loss", func() {
		c.propose("x")
		c.expectRepaired()
		l := c.leader()
		lost, second := (l+1)%3, (l+2)%3
		old := c.hosts[lost].keeper.Load().Status().Disk
		c.hosts[lost].kill()
		c.hosts[lost].wipe()
		c.propose("y")
		c.start(lost)
		Expect(c.hosts[lost].keeper.Load().Status().Disk).NotTo(Equal(old))
		c.expectRepaired()
		c.hosts[second].kill()
		c.hosts[second].wipe()
		c.propose("z")
		c.expectData(lost, "xyz")
	})

	It("never found again beside a formed majority", func() {
		c.propose("x")
		group := c.hosts[2].keeper.Load().Status().Group
		for _, h := range c.hosts[:2] {
			h.kill()
			h.wipe()
		}
		c.start(0)
		c.start(1)
		_, err := c.hosts[0].keeper.Load().Confirm(context.Background())
		expectCode(err, coder.NoQuorum)
		Expect(c.hosts[0].keeper.Load().Status().Group).To(BeZero())
		Expect(c.hosts[2].keeper.Load().Status().Group).To(Equal(group))
	})

	It("leave the term alone when a cut-off leader returns", func() {
		c.propose("x")
		l := c.leader()
		cut := c.hosts[l]
		cut.deaf.Store(true)
		cut.mute.Store(true)
		Eventually(func() replicator.Role { return cut.keeper.Load().Status().Role }, patience).ShouldNot(Equal(replicator.Leader))
		_, _, err := cut.keeper.Load().Propose(context.Background(), []byte("lost"))
		expectCode(err, coder.NotLeader)
		c.propose("y")
		term := c.hosts[c.leader()].keeper.Load().Status().Term
		cut.deaf.Store(false)
		cut.mute.Store(false)
		c.expectData(l, "xy")
		Expect(c.hosts[c.leader()].keeper.Load().Status().Term).To(Equal(term))
	})

	It("end a keeper whose sync fails, and go on without it", func() {
		c.propose("x")
		l := c.leader()
		h := c.hosts[l]
		h.failSync.Store(true)
		_, _, err := h.keeper.Load().Propose(context.Background(), []byte("y"))
		expectCode(err, coder.Unconfirmed)
		Expect(coder.Of(err).Run).To(Equal(coder.Unknown))
		Eventually(h.fatal.Load, patience).ShouldNot(BeNil())
		expectCode(*h.fatal.Load(), coder.DiskFailed)
		h.kill()
		c.propose("z")
		h.failSync.Store(false)
		c.start(l)
		c.expectData(l, string(c.hosts[c.leader()].register.snapshot()))
	})

	It("bring a follower up to date that missed hundreds of entries", func() {
		c.propose("x")
		late := (c.leader() + 1) % 3
		c.hosts[late].kill()
		for range 300 {
			c.propose("x")
		}
		c.start(late)
		c.expectData(late, string(c.hosts[c.leader()].register.snapshot()))
	})

	It("take a new node in as learner, then voter, and let one go", func() {
		l := c.leader()
		out := c.hosts[(l+1)%3].node
		Eventually(func() error {
			return c.hosts[c.leader()].keeper.Load().Change(context.Background(), replicator.Remove, out)
		}, patience).Should(Succeed())
		Expect(c.hosts[c.leader()].keeper.Load().Status().Voters).To(HaveLen(2))
		Eventually(func() error {
			return c.hosts[c.leader()].keeper.Load().Change(context.Background(), replicator.Add, out)
		}, patience).Should(Succeed())
		c.expectRepaired()
	})

	It("restart from snapshots after hundreds of entries", func() {
		for range 300 {
			c.propose("x")
		}
		want := string(c.hosts[c.leader()].register.snapshot())
		for _, h := range c.hosts {
			h.kill()
		}
		c.startAll()
		for i := range c.hosts {
			c.expectData(i, want)
			Expect(c.hosts[i].keeper.Load().Status().Snapshot).To(BeNumerically(">", 200))
		}
	})
})
