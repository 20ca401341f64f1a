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
	It("are refused without an address of the keeper itself", func() {
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

	It("found one group and all read accepted commands", func() {
		c.propose("x")
		for i := range c.hosts {
			c.expectData(i, "x")
		}
		group := c.hosts[0].keeper.Load().Status().Group
		for _, h := range c.hosts {
			Expect(h.keeper.Load().Status().Group).To(Equal(group))
		}
	})

	It("refuse a proposal to a follower as NotLeader", func() {
		l := c.leader()
		_, _, err := c.hosts[(l+1)%3].keeper.Load().Propose(context.Background(), []byte("x"))
		expectCode(err, coder.NotLeader)
	})

	It("accept commands up to 1 MiB", func() {
		k := c.hosts[c.leader()].keeper.Load()
		_, _, err := k.Propose(context.Background(), make([]byte, 1<<20+1))
		expectCode(err, coder.TooLarge)
		c.propose(string(make([]byte, 1<<20)))
		c.expectData(0, string(c.hosts[c.leader()].register.snapshot()))
	})

	It("continue when the leader is killed, and bring it up to date when it restarts", func() {
		c.propose("x")
		l := c.leader()
		c.hosts[l].kill()
		c.propose("y")
		c.start(l)
		c.expectData(l, "xy")
	})

	It("transfer the leadership before a stop", func() {
		c.propose("x")
		c.expectRepaired()
		l := c.leader()
		k := c.hosts[l].keeper.Load()
		Expect(k.TransferLeadership(context.Background())).To(Succeed())
		Expect(k.Status().Role).NotTo(Equal(replicator.Leader))
		c.hosts[l].kill()
		c.propose("y")
		Expect(k.TransferLeadership(context.Background())).NotTo(Succeed(), "the keeper has stopped")
	})

	It("lose no command when a second disk is emptied after the first was repaired", func() {
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

	It("found no second group when a majority of the disks is emptied", func() {
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
		emptied, kept := c.hosts[0].keeper.Load().Status(), c.hosts[2].keeper.Load().Status()
		// A kept leader takes an emptied keeper in as a learner until it notices that it has no quorum.
		Expect(emptied.Group).To(SatisfyAny(BeZero(), Equal(group)), "group of the keepers was %d; emptied %+v, kept %+v", group, emptied, kept)
		Expect(emptied.Voters).NotTo(ContainElement(HaveField("Disk", emptied.Disk)), "an emptied disk must not vote")
		Expect(kept.Group).To(Equal(group))
	})

	It("keep the term when an isolated leader returns", func() {
		c.propose("x")
		l := c.leader()
		isolated := c.hosts[l]
		isolated.dropInbound.Store(true)
		isolated.dropOutbound.Store(true)
		Eventually(func() replicator.Role { return isolated.keeper.Load().Status().Role }, eventTimeout).ShouldNot(Equal(replicator.Leader))
		_, _, err := isolated.keeper.Load().Propose(context.Background(), []byte("lost"))
		expectCode(err, coder.NotLeader)
		c.propose("y")
		term := c.hosts[c.leader()].keeper.Load().Status().Term
		isolated.dropInbound.Store(false)
		isolated.dropOutbound.Store(false)
		c.expectData(l, "xy")
		Expect(c.hosts[c.leader()].keeper.Load().Status().Term).To(Equal(term))
	})

	It("stop a keeper whose sync fails, and continue without it", func() {
		c.propose("x")
		l := c.leader()
		h := c.hosts[l]
		h.failSync.Store(true)
		_, _, err := h.keeper.Load().Propose(context.Background(), []byte("y"))
		expectCode(err, coder.Unconfirmed)
		Expect(coder.Of(err).Run).To(Equal(coder.Unknown))
		Eventually(h.fatal.Load, eventTimeout).ShouldNot(BeNil())
		expectCode(*h.fatal.Load(), coder.DiskFailed)
		h.kill()
		c.propose("z")
		h.failSync.Store(false)
		c.start(l)
		c.expectData(l, string(c.hosts[c.leader()].register.snapshot()))
	})

	It("bring a follower up to date that missed hundreds of entries", func() {
		c.propose("x")
		lagging := (c.leader() + 1) % 3
		c.hosts[lagging].kill()
		for range 300 {
			c.propose("x")
		}
		c.start(lagging)
		c.expectData(lagging, string(c.hosts[c.leader()].register.snapshot()))
	})

	It("remove a node, and add it again first as a learner and then as a voter", func() {
		l := c.leader()
		removed := c.hosts[(l+1)%3].node
		Eventually(func() error {
			return c.hosts[c.leader()].keeper.Load().ChangeMembers(context.Background(), replicator.Remove, removed)
		}, eventTimeout).Should(Succeed())
		Expect(c.hosts[c.leader()].keeper.Load().Status().Voters).To(HaveLen(2))
		Eventually(func() error {
			return c.hosts[c.leader()].keeper.Load().ChangeMembers(context.Background(), replicator.Add, removed)
		}, eventTimeout).Should(Succeed())
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
