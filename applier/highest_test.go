package applier_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/applier"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

func highest(version uint64, files []messenger.File) *applier.Command {
	c := change(fmt.Sprintf("v%d", version), 0, version, files)
	c.Change.Highest = true
	return c
}

// These answer operators who race, resend, and whose older changes arrive again.
var _ = Describe("changes of which the highest version wins", func() {
	var l *log
	BeforeEach(func() {
		l = newLog()
		expectAnswer(l.apply(highest(7, folder(7))), coder.OK, 7)
	})

	expectBody := func(n int) {
		GinkgoHelper()
		Expect(l.applier.View().Config.Limits.Body).To(Equal(n))
	}

	It("take a higher one in uneven steps", func() {
		expectAnswer(l.apply(highest(2_000_000_000, folder(8))), coder.OK, 2_000_000_000)
		expectBody(8)
	})

	It("acknowledge an older one and a resend without a change", func() {
		expectAnswer(l.apply(highest(3, folder(3))), coder.OK, 7)
		expectAnswer(l.apply(highest(7, folder(7))), coder.OK, 7)
		expectBody(7)
	})

	It("don't take other content under the version in force", func() {
		expectAnswer(l.apply(highest(7, folder(9))), coder.OK, 7)
		expectBody(7)
	})

	It("refuse what is invalid, whatever its version", func() {
		bad := []messenger.File{{Name: "limits.json", Data: []byte(`{"limits": {"body": -1}}`)}}
		for _, v := range []uint64{3, 7, 9} {
			expectAnswer(l.apply(highest(v, bad)), coder.Invalid, 7)
		}
		expectBody(7)
	})

	It("survive a snapshot", func() {
		b := newLog()
		Expect(b.applier.Restore(l.applier.Snapshot())).To(Succeed())
		expectAnswer(b.apply(highest(7, folder(9))), coder.OK, 7)
		Expect(b.applier.View().Config.Limits.Body).To(Equal(7))
	})
})
