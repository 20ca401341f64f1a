package applier_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/applier"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

func highestWinsCommand(version uint64, files []messenger.File) *applier.Command {
	c := changeCommand(fmt.Sprintf("v%d", version), 0, version, files)
	c.Change.HighestWins = true
	return c
}

// Guards against an older change replacing a newer one when operators act at the same
// time, resend a change, or have a delayed change delivered again.
var _ = Describe("changes with HighestWins", func() {
	var l *log
	BeforeEach(func() {
		l = newLog()
		expectAnswer(l.apply(highestWinsCommand(7, limitsFolder(7))), coder.OK, 7)
	})

	expectBody := func(n int) {
		GinkgoHelper()
		Expect(l.applier.View().Config.Limits.Body).To(Equal(n))
	}

	It("accept a higher version at any distance", func() {
		expectAnswer(l.apply(highestWinsCommand(2_000_000_000, limitsFolder(8))), coder.OK, 2_000_000_000)
		expectBody(8)
	})

	It("acknowledge an older version and a resend without any effect", func() {
		expectAnswer(l.apply(highestWinsCommand(3, limitsFolder(3))), coder.OK, 7)
		expectAnswer(l.apply(highestWinsCommand(7, limitsFolder(7))), coder.OK, 7)
		expectBody(7)
	})

	It("don't accept different content under the version in force", func() {
		expectAnswer(l.apply(highestWinsCommand(7, limitsFolder(9))), coder.OK, 7)
		expectBody(7)
	})

	It("refuse an invalid folder under any version", func() {
		bad := []messenger.File{{Name: "limits.json", Data: []byte(`{"limits": {"body": -1}}`)}}
		for _, v := range []uint64{3, 7, 9} {
			expectAnswer(l.apply(highestWinsCommand(v, bad)), coder.Invalid, 7)
		}
		expectBody(7)
	})

	It("keep the version in force across a snapshot", func() {
		b := newLog()
		Expect(b.applier.Restore(l.applier.Snapshot())).To(Succeed())
		expectAnswer(b.apply(highestWinsCommand(7, limitsFolder(9))), coder.OK, 7)
		Expect(b.applier.View().Config.Limits.Body).To(Equal(7))
	})
})
