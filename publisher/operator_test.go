package publisher_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/administrator"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/operator"
	"bramleyshunt/packer"
	"bramleyshunt/watcher"
)

var key = []byte("fleet")

// startAdministrators starts an administration server for each host and returns an
// operator that uses all of them.
func (f *fleet) startAdministrators() *operator.Operator {
	o := &operator.Operator{Token: operator.FleetToken(key)}
	for _, h := range f.hosts {
		p := h.running.Load()
		srv := httptest.NewServer(administrator.New(administrator.Config{
			Key: key, Applier: &p.applier, Confirm: p.keeper.Confirm, Call: f.proposer(h.node).Call,
			Keepers: f.nodes, Pool: f.pool(h.node), Targets: p.publisher.Targets,
		}))
		f.tb.Cleanup(srv.Close)
		o.Bases = append(o.Bases, srv.URL)
	}
	return o
}

func write(dir string, body int) string {
	GinkgoHelper()
	Expect(os.WriteFile(filepath.Join(dir, "a.json"), fmt.Appendf(nil, `{"limits": {"body": %d}}`, body), 0o600)).To(Succeed())
	return dir
}

// agent acknowledges orders and makes them available to the test.
type agent struct{ orders chan messenger.Order }

func (a *agent) handle(ctx context.Context, s *muxer.Stream) {
	m, err := s.Receive(ctx)
	if err != nil {
		return
	}
	var o messenger.Order
	if m.Decode(&o) == nil {
		a.orders <- o
		_ = s.Send(messenger.KindOrdered, &messenger.Ordered{Fence: o.Fence})
	}
}

var _ = Describe("an operator of three keepers", func() {
	ctx := context.Background()

	It("applies a folder although the leader is killed, and sees the nodes where it is in force", func() {
		f := newFleet(GinkgoTB())
		o := f.startAdministrators()
		dir := write(GinkgoT().TempDir(), 1)
		_, err := o.Apply(ctx, dir, operator.Options{})
		Expect(err).NotTo(HaveOccurred())
		watchers := []*watcher.Watcher{f.watch("n1", false), f.watch("n2", true)}
		expectVersion(1, watchers...)
		f.leader().kill()
		got, err := o.Apply(ctx, write(dir, 2), operator.Options{Change: "second"})
		Expect(err).NotTo(HaveOccurred())
		Expect(got.Version).To(BeEquivalentTo(2))
		expectVersion(2, watchers...)
		Eventually(func() []administrator.Node {
			nodes, err := o.Nodes(ctx)
			Expect(err).NotTo(HaveOccurred())
			Expect(nodes.Version).To(BeEquivalentTo(2), "confirmed: %t", nodes.Confirmed)
			for i := range nodes.Nodes {
				nodes.Nodes[i].Seen = 0
			}
			return nodes.Nodes
		}).WithTimeout(eventTimeout).Should(Equal([]administrator.Node{{Node: "n1", Version: 2}, {Node: "n2", Version: 2}}))
	})

	It("compresses a folder only for watchers that accept it", func() {
		f := newFleet(GinkgoTB())
		o := f.startAdministrators()
		dir := write(GinkgoT().TempDir(), 1)
		comment := "// " + strings.Repeat("a long comment ", 1000) + "\n{}\n"
		Expect(os.WriteFile(filepath.Join(dir, "zz.json"), []byte(comment), 0o600)).To(Succeed())
		_, err := o.Apply(ctx, dir, operator.Options{})
		Expect(err).NotTo(HaveOccurred())
		for _, packs := range []bool{false, true} {
			conn, err := f.pool(fmt.Sprint("watcher-", packs)).Get(ctx, f.nodes[0].Address)
			Expect(err).NotTo(HaveOccurred())
			s, err := conn.Open(messenger.KindWatch, &messenger.Watch{Node: fmt.Sprint("watcher-", packs), Packs: packs})
			Expect(err).NotTo(HaveOccurred())
			var u messenger.Update
			for len(u.Files) == 0 {
				m, err := s.Receive(ctx)
				Expect(err).NotTo(HaveOccurred())
				Expect(m.Decode(&u)).To(Succeed())
			}
			s.Close()
			i := slices.IndexFunc(u.Files, func(f messenger.File) bool { return f.Name == "zz.json" })
			Expect(i).To(BeNumerically(">=", 0))
			Expect(len(u.Files[i].Packed) > 0).To(Equal(packs))
			files, err := packer.Unpack(u.Files)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(files[i].Data)).To(Equal(comment))
		}
	})

	It("sees that a node is lagging", func() {
		f := newFleet(GinkgoTB())
		o := f.startAdministrators()
		_, err := o.Apply(ctx, write(GinkgoT().TempDir(), 1), operator.Options{})
		Expect(err).NotTo(HaveOccurred())
		conn, err := f.pool("old").Get(ctx, f.nodes[0].Address)
		Expect(err).NotTo(HaveOccurred())
		s, err := conn.Open(messenger.KindWatch, &messenger.Watch{Node: "old"})
		Expect(err).NotTo(HaveOccurred())
		defer s.Close()
		Eventually(func() []administrator.Node {
			nodes, err := o.Nodes(ctx)
			Expect(err).NotTo(HaveOccurred())
			for i := range nodes.Nodes {
				nodes.Nodes[i].Seen = 0
			}
			return nodes.Nodes
		}).WithTimeout(eventTimeout).Should(Equal([]administrator.Node{{Node: "old", Lagging: true}}))
	})

	It("drains a target by orders with increasing fencing tokens", func() {
		f := newFleet(GinkgoTB())
		a := &agent{orders: make(chan messenger.Order, 2)}
		addr := f.listen(nil, muxer.Config{Node: "t1"}, a.handle)
		conn, err := f.pool("t1").Get(ctx, f.nodes[0].Address)
		Expect(err).NotTo(HaveOccurred())
		m := &messenger.Announce{Target: messenger.Target{ID: "t1", Address: addr, Incarnation: 1}}
		Expect(conn.Call(ctx, messenger.KindAnnounce, m, &messenger.Announced{})).To(Succeed())
		o := f.startAdministrators()
		o.Bases = o.Bases[:1]
		var orders [2]messenger.Order
		for i := range orders {
			Eventually(func() error { return o.Drain(ctx, "t1") }).WithTimeout(eventTimeout).Should(Succeed())
			orders[i] = <-a.orders
			Expect(orders[i].Verb).To(Equal("drain"))
		}
		Expect(orders[1].Fence).To(BeNumerically(">", orders[0].Fence))
		var announced messenger.Announced
		Expect(conn.Call(ctx, messenger.KindAnnounce, m, &announced)).To(Succeed())
		Expect(announced.Fence).To(Equal(orders[1].Fence))
		Expect(announced.Confirmed).To(BeTrue())
		Expect(coder.Of(o.Drain(ctx, "t2")).Code).To(Equal(coder.NoTarget))
	})
})
