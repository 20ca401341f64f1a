package prover_test

import (
	"os"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// expectVersion waits until configuration version n is in force.
func (f *fleet) expectVersion(n uint64) {
	GinkgoHelper()
	Eventually(f.version).Should(Equal(n))
}

var _ = Describe("An accepted configuration", func() {
	It("survives a crash of the leader and a crash of every keeper", func() {
		f := newFleet(GinkgoTB())
		leader := f.leader()
		f.keepers[leader].kill()
		Expect(f.apply(2)).To(BeEquivalentTo(2))
		f.keepers[leader].start()
		for _, k := range f.keepers {
			k.kill()
		}
		for _, k := range f.keepers {
			k.start()
		}
		f.expectVersion(2)
		Expect(f.apply(3)).To(BeEquivalentTo(3))
	})

	It("is not reverted by a former leader that was suspended and resumes", func() {
		f := newFleet(GinkgoTB())
		leader := f.leader()
		f.keepers[leader].suspend()
		Expect(f.apply(2)).To(BeEquivalentTo(2))
		f.keepers[leader].signal(syscall.SIGCONT)
		f.expectVersion(2)
		Eventually(func() string {
			st := f.status(leader)
			if st == nil {
				return ""
			}
			return st.Role.String()
		}).Should(Equal("Follower"))
		Consistently(f.version, "1s", "200ms").Should(BeEquivalentTo(2))
	})

	It("survives the loss of a disk and, once that is repaired, of a second one", func() {
		f := newFleet(GinkgoTB())
		for _, lost := range []int{0, 1} {
			before := f.status(lost)
			f.keepers[lost].kill()
			Expect(os.RemoveAll(f.path(keeperNode(lost)))).To(Succeed())
			f.keepers[lost].start()
			Eventually(func() bool { return f.repaired(lost, before.Disk) }).Should(BeTrue())
		}
		f.expectVersion(1)
		f.keepers[2].kill()
		f.expectVersion(1)
		Expect(f.apply(2)).To(BeEquivalentTo(2))
	})
})

// repaired reports whether a leader has replaced the disk of keeper lost by a new one
// among the voters.
func (f *fleet) repaired(lost int, disk uint64) bool {
	for i := range f.keepers {
		st := f.status(i)
		if st == nil || st.Role.String() != "Leader" || !st.Repaired || len(st.Voters) != keeperCount {
			continue
		}
		for _, v := range st.Voters {
			if v.Node == keeperNode(lost) {
				return v.Disk != disk
			}
		}
	}
	return false
}
