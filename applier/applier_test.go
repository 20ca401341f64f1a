package applier_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/applier"
	"bramleyshunt/checker"
	"bramleyshunt/coder"
	"bramleyshunt/merger"
	"bramleyshunt/messenger"
)

func TestApplier(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "applier")
}

// log applies commands to an Applier at consecutive indexes.
type log struct {
	applier applier.Applier
	index   uint64
	now     time.Time
}

func newLog() *log { return &log{now: time.Unix(1000, 0)} }

func (l *log) apply(c *applier.Command) *applier.Answer {
	l.index++
	a, err := applier.DecodeAnswer(l.applier.Apply(l.index, c.Stamp(l.now)))
	if err != nil {
		panic(err)
	}
	return a
}

func limitsFolder(body int) []messenger.File {
	return []messenger.File{{Name: "limits.json", Data: fmt.Appendf(nil, `{"limits": {"body": %d}}`, body)}}
}

func changeCommand(id string, base, version uint64, files []messenger.File) *applier.Command {
	return &applier.Command{Verb: applier.VerbChange, Change: &applier.Change{
		ID: id, Base: base, Version: version, Digest: merger.Digest(files), Operator: "op-" + id, Rules: checker.Rules, Files: files,
	}}
}

func claimCommand(owner string, digest uint64, s messenger.State) *applier.Command {
	return &applier.Command{Verb: applier.VerbClaim, Claim: &messenger.Claim{
		Account: "a", Service: "s", Key: "k", Digest: digest, Owner: owner, State: s, Target: "t-" + owner, Answer: []byte("from " + owner),
	}}
}

func expectAnswer(a *applier.Answer, code coder.Code, version uint64) {
	GinkgoHelper()
	Expect(a.Code).To(Equal(code), a.Text)
	Expect(a.Version).To(Equal(version))
}

func expectClaim(a *applier.Answer, code coder.Code, s messenger.State, owner string) {
	GinkgoHelper()
	Expect(a.Claimed).NotTo(BeNil())
	Expect(a.Claimed.Code).To(Equal(code))
	Expect(a.Claimed.State).To(Equal(s))
	Expect(a.Claimed.Owner).To(Equal(owner))
}

var _ = Describe("changes", func() {
	It("are accepted from one of two concurrent operators and name the winner", func() {
		l := newLog()
		expectAnswer(l.apply(changeCommand("a", 0, 1, limitsFolder(1))), coder.OK, 1)
		lost := l.apply(changeCommand("b", 0, 1, limitsFolder(2)))
		expectAnswer(lost, coder.Conflict, 1)
		Expect(lost.Winner.Operator).To(Equal("op-a"))
		Expect(lost.Winner.Digest).To(Equal(merger.Digest(limitsFolder(1))))
		expectAnswer(l.apply(changeCommand("b", 0, 2, limitsFolder(2))), coder.Conflict, 1)
		Expect(l.applier.View().Config.Limits.Body).To(Equal(1))
	})

	It("repeat the first answer to a resend after hundreds of versions", func() {
		l := newLog()
		first := l.apply(changeCommand("c1", 0, 1, limitsFolder(1)))
		for v := uint64(2); v <= 700; v++ {
			expectAnswer(l.apply(changeCommand(fmt.Sprint("c", v), v-1, v, limitsFolder(int(v)))), coder.OK, v)
		}
		Expect(l.apply(changeCommand("c1", 0, 1, limitsFolder(1)))).To(Equal(first))
		Expect(l.apply(changeCommand("other id", 0, 1, limitsFolder(1)))).To(Equal(first))
		Expect(l.apply(changeCommand("c1", 700, 701, limitsFolder(1)))).To(Equal(first))
		Expect(l.apply(changeCommand("other id", 700, 701, limitsFolder(1)))).To(Equal(first))
		expectAnswer(l.apply(changeCommand("c1", 0, 1, limitsFolder(9))), coder.Conflict, 700)
		Expect(l.applier.View().Version).To(BeEquivalentTo(700))
	})

	It("leave the state unchanged if the folder is invalid", func() {
		l := newLog()
		l.apply(changeCommand("a", 0, 1, limitsFolder(1)))
		for i, files := range [][]messenger.File{
			limitsFolder(-1),
			{{Name: "x.json", Data: []byte("{")}},
			{{Name: "../x.json", Data: []byte("{}")}},
		} {
			expectAnswer(l.apply(changeCommand(fmt.Sprint("bad", i), 1, 2, files)), coder.Invalid, 1)
		}
		wrong := changeCommand("digest", 1, 2, limitsFolder(3))
		wrong.Change.Digest = merger.Digest(limitsFolder(4))
		Expect(l.apply(wrong).Code).To(Equal(coder.Invalid))
		Expect(l.apply(changeCommand("far", 1, 1<<40, limitsFolder(3))).Code).To(Equal(coder.Invalid))
		expectAnswer(l.apply(changeCommand("good", 1, 2, limitsFolder(2))), coder.OK, 2)
	})

	It("are listed by file since a given version", func() {
		l := newLog()
		file := func(name string, n int) messenger.File {
			return messenger.File{Name: name, Data: fmt.Appendf(nil, `{"limits": {"crashes": %d}}`, n)}
		}
		l.apply(changeCommand("1", 0, 1, []messenger.File{file("a.json", 1), file("b.json", 1)}))
		l.apply(changeCommand("2", 1, 2, []messenger.File{file("a.json", 2), file("b.json", 1), file("c.json", 1)}))
		l.apply(changeCommand("5", 2, 5, []messenger.File{file("a.json", 2), file("c.json", 1)}))
		v := l.applier.View()
		delta, known := v.Delta(1)
		Expect(known).To(BeTrue())
		Expect(delta).To(Equal([]messenger.File{file("a.json", 2), {Name: "b.json"}, file("c.json", 1)}))
		delta, _ = v.Delta(2)
		Expect(delta).To(Equal([]messenger.File{{Name: "b.json"}}))
		for _, unknown := range []uint64{0, 6} {
			_, known = v.Delta(unknown)
			Expect(known).To(BeFalse())
		}
	})

	It("are accepted without validation if proposed under a different version of the rules", func() {
		l := newLog()
		c := changeCommand("a", 0, 1, []messenger.File{{Name: "x.json", Data: []byte(`{"later": 1}`)}})
		c.Change.Rules++
		expectAnswer(l.apply(c), coder.OK, 1)
		Expect(l.applier.View().Merger).To(BeNil())
	})
})

var _ = Describe("claims", func() {
	It("go from held to run to done, and return the stored answer", func() {
		l := newLog()
		expectClaim(l.apply(claimCommand("x", 7, messenger.ClaimHeld)), coder.OK, messenger.ClaimHeld, "x")
		expectClaim(l.apply(claimCommand("y", 7, messenger.ClaimHeld)), coder.ClaimHeld, messenger.ClaimHeld, "x")
		expectClaim(l.apply(claimCommand("y", 8, messenger.ClaimHeld)), coder.KeyReused, messenger.ClaimHeld, "x")
		expectClaim(l.apply(claimCommand("y", 7, messenger.ClaimRun)), coder.ClaimHeld, messenger.ClaimHeld, "x")
		expectClaim(l.apply(claimCommand("x", 7, messenger.ClaimDone)), coder.ClaimHeld, messenger.ClaimHeld, "x")
		expectClaim(l.apply(claimCommand("x", 7, messenger.ClaimRun)), coder.OK, messenger.ClaimRun, "x")
		expectClaim(l.apply(claimCommand("x", 7, messenger.ClaimHeld)), coder.ClaimHeld, messenger.ClaimRun, "x")
		attach := l.apply(claimCommand("y", 7, messenger.ClaimHeld))
		expectClaim(attach, coder.ClaimHeld, messenger.ClaimRun, "x")
		Expect(attach.Claimed.Target).To(Equal("t-x"))
		for range 2 {
			expectClaim(l.apply(claimCommand("x", 7, messenger.ClaimDone)), coder.OK, messenger.ClaimDone, "x")
		}
		expectClaim(l.apply(claimCommand("x", 7, messenger.ClaimVoid)), coder.ClaimHeld, messenger.ClaimDone, "x")
		replay := l.apply(claimCommand("y", 7, messenger.ClaimHeld))
		expectClaim(replay, coder.AlreadyRan, messenger.ClaimDone, "x")
		Expect(replay.Claimed.Answer).To(BeEquivalentTo("from x"))
	})

	It("can be taken by another owner once voided", func() {
		l := newLog()
		l.apply(claimCommand("x", 7, messenger.ClaimHeld))
		l.apply(claimCommand("x", 7, messenger.ClaimRun))
		expectClaim(l.apply(claimCommand("x", 7, messenger.ClaimVoid)), coder.OK, messenger.ClaimVoid, "x")
		expectClaim(l.apply(claimCommand("x", 7, messenger.ClaimHeld)), coder.Voided, messenger.ClaimVoid, "x")
		expectClaim(l.apply(claimCommand("x", 7, messenger.ClaimRun)), coder.Voided, messenger.ClaimVoid, "x")
		expectClaim(l.apply(claimCommand("y", 8, messenger.ClaimHeld)), coder.OK, messenger.ClaimHeld, "y")
	})

	It("move a run that did not start to another target", func() {
		l := newLog()
		l.apply(claimCommand("x", 7, messenger.ClaimHeld))
		l.apply(claimCommand("x", 7, messenger.ClaimRun))
		other := claimCommand("x", 7, messenger.ClaimRun)
		other.Claim.Target = "other"
		expectClaim(l.apply(other), coder.OK, messenger.ClaimRun, "x")
		Expect(l.apply(claimCommand("y", 7, messenger.ClaimHeld)).Claimed.Target).To(Equal("other"))
	})

	It("are not granted to an owner that voided them before", func() {
		l := newLog()
		expectClaim(l.apply(claimCommand("x", 7, messenger.ClaimVoid)), coder.OK, messenger.ClaimVoid, "x")
		expectClaim(l.apply(claimCommand("x", 7, messenger.ClaimHeld)), coder.Voided, messenger.ClaimVoid, "x")
		expectClaim(l.apply(claimCommand("y", 7, messenger.ClaimHeld)), coder.OK, messenger.ClaimHeld, "y")
	})

	It("expire by the time in the commands", func() {
		l := newLog()
		l.apply(claimCommand("x", 7, messenger.ClaimHeld))
		l.now = l.now.Add(applier.HoldTimeout)
		expectClaim(l.apply(claimCommand("y", 7, messenger.ClaimHeld)), coder.OK, messenger.ClaimHeld, "y")
		expectClaim(l.apply(claimCommand("x", 7, messenger.ClaimRun)), coder.ClaimHeld, messenger.ClaimHeld, "y")
		l.apply(claimCommand("y", 7, messenger.ClaimRun))
		l.now = l.now.Add(applier.DefaultMaxRunTime)
		expectClaim(l.apply(claimCommand("z", 7, messenger.ClaimHeld)), coder.ClaimHeld, messenger.ClaimRun, "y")
		l.now = l.now.Add(applier.DefaultRetention)
		expectClaim(l.apply(claimCommand("z", 7, messenger.ClaimRun)), coder.Voided, messenger.ClaimNone, "")
		Expect(l.applier.Claims()).To(BeZero())
	})

	It("store the newest answers within the size limit", func() {
		l := newLog()
		const n = applier.MaxTotalAnswerBytes/applier.MaxAnswerBytes + 3
		send := func(key int, s messenger.State) *messenger.Claimed {
			c := claimCommand("x", 7, s)
			c.Claim.Key, c.Claim.Answer = fmt.Sprint(key), make([]byte, applier.MaxAnswerBytes)
			return l.apply(c).Claimed
		}
		for i := range n {
			send(i, messenger.ClaimHeld)
			send(i, messenger.ClaimRun)
			send(i, messenger.ClaimDone)
		}
		kept := 0
		for i := range n {
			if len(send(i, messenger.ClaimHeld).Answer) > 0 {
				kept++
			}
		}
		Expect(kept).To(Equal(applier.MaxTotalAnswerBytes / applier.MaxAnswerBytes))
		Expect(send(0, messenger.ClaimHeld).Code).To(Equal(coder.AlreadyRan))
	})
})

var _ = Describe("fences", func() {
	It("rise across all targets, and never fall for evicted ones", func() {
		l := newLog()
		issue := func(t string) uint64 {
			return l.apply(&applier.Command{Verb: applier.VerbFence, Target: t}).Fence
		}
		first := issue("first")
		Expect(l.applier.Fence("first")).To(Equal(first))
		Expect(l.applier.Fence("new")).To(BeZero())
		for i := range applier.MaxFences {
			issue(fmt.Sprint(i))
		}
		Expect(l.applier.Fence("first")).To(BeNumerically(">=", first))
		Expect(issue("first")).To(BeNumerically(">", l.applier.Fence("0")))
	})
})

var _ = Describe("quarantine", func() {
	It("begins with the second distinct incarnation and expires", func() {
		l := newLog()
		report := func(target string, inc uint64) {
			l.apply(&applier.Command{Verb: applier.VerbSuspect, Suspect: &messenger.Suspect{Fingerprint: 5, Target: target, Incarnation: inc}})
		}
		notified := 0
		l.applier.Subscribe(func() { notified++ })
		report("t", 1)
		report("t", 1)
		Expect(l.applier.Blocked(l.now)).To(BeEmpty())
		report("t", 2)
		Expect(notified).To(Equal(1))
		Expect(l.applier.Blocked(l.now)).To(Equal([]uint64{5}))
		Expect(l.applier.Blocked(l.now.Add(applier.DefaultQuarantine))).To(BeEmpty())
	})
})

var _ = Describe("malformed data", func() {
	It("is refused", func() {
		var a applier.Applier
		for i, data := range []string{"", "\xc1", "\x80", "\x81\xa4verb\x01"} {
			answer, err := applier.DecodeAnswer(a.Apply(uint64(i+1), []byte(data)))
			Expect(err).NotTo(HaveOccurred())
			Expect(answer.Code).To(Equal(coder.BadFrame))
		}
		Expect(coder.Of(a.Restore([]byte("\xc1"))).Code).To(Equal(coder.BadFrame))
		Expect(coder.Of(a.Restore([]byte("\x80"))).Code).To(Equal(coder.BadVersion))
	})
})
