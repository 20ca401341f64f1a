package dispatcher_test

import (
	"context"
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/dispatcher"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
	"bramleyshunt/pooler"
)

var _ = Describe("an attempt", func() {
	var (
		f    *fake
		d    *dispatcher.Dispatcher
		j    dispatcher.Job
		text string
	)

	BeforeEach(func() {
		f = newFake()
		pool, closer := pooler.New(muxer.Config{Node: "entry"})
		DeferCleanup(closer)
		d = &dispatcher.Dispatcher{Pool: pool}
		DeferCleanup(d.Wait)
		text = ""
		j = dispatcher.Job{
			Address: f.addr,
			Reserve: messenger.Reserve{Attempt: "x"},
			Run:     messenger.Run{Attempt: "x"},
			Emit: func(c messenger.Chunk) error {
				text += string(c.Data)
				return nil
			},
		}
	})

	expect := func(err error, c coder.Code, run coder.Run) {
		GinkgoHelper()
		e := coder.Of(err)
		Expect(e).NotTo(BeNil())
		Expect(e.Code).To(Equal(c), "%v", err)
		Expect(e.Run).To(Equal(run), "%v", err)
	}
	run := func(ctx context.Context) error {
		_, err := d.Do(ctx, j)
		return err
	}
	ctx := context.Background()

	It("passes on each chunk once, in sequence, and none of another attempt", func() {
		f.on[messenger.KindRun] = func(s *muxer.Stream) {
			chunks(s, "x", 1, 2)
			chunks(s, "other", 3, 3)
			end(s, "other", 3)
			chunks(s, "x", 1, 3)
			end(s, "x", 3)
		}
		Expect(run(ctx)).To(Succeed())
		Expect(text).To(Equal("abc"))
	})

	It("resumes over a new connection after the last chunk", func() {
		f.on[messenger.KindRun] = func(s *muxer.Stream) {
			chunks(s, "x", 1, 2)
			f.drop()
		}
		f.on[messenger.KindResume] = func(s *muxer.Stream) {
			chunks(s, "x", 2, 4)
			end(s, "x", 4)
		}
		Expect(run(ctx)).To(Succeed())
		Expect(text).To(Equal("abcd"))
	})

	It("resumes after a gap and after an end that came too early", func() {
		f.on[messenger.KindRun] = func(s *muxer.Stream) {
			chunks(s, "x", 1, 1)
			chunks(s, "x", 3, 3)
		}
		resumed := 0
		f.on[messenger.KindResume] = func(s *muxer.Stream) {
			resumed++
			if resumed == 1 {
				end(s, "x", 3)
				return
			}
			chunks(s, "x", 2, 3)
			end(s, "x", 3)
		}
		Expect(run(ctx)).To(Succeed())
		Expect(text).To(Equal("abc"))
	})

	DescribeTable("withdraws a run whose answer never came", func(answer coder.Run, code coder.Code, want coder.Run) {
		f.on[messenger.KindRun] = func(*muxer.Stream) { f.drop() }
		f.on[messenger.KindVoid] = func(s *muxer.Stream) {
			reply(s, messenger.KindVoided, &messenger.Voided{Attempt: "x", Run: answer})
		}
		f.on[messenger.KindResume] = func(s *muxer.Stream) { end(s, "x", 0) }
		err := run(ctx)
		if code == coder.OK {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		expect(err, code, want)
	},
		Entry("never started", coder.NotRun, coder.Voided, coder.NotRun),
		Entry("started", coder.Ran, coder.OK, coder.Ran),
		Entry("unknown", coder.Unknown, coder.OutcomeUnknown, coder.Unknown),
	)

	It("claims nothing of a run that a restarted agent no longer knows", func() {
		f.on[messenger.KindRun] = func(*muxer.Stream) { f.drop() }
		f.on[messenger.KindVoid] = fail(coder.WrongIncarnation)
		expect(run(ctx), coder.TargetLost, coder.Unknown)
		f.on[messenger.KindRun] = fail(coder.UnknownAttempt)
		expect(run(ctx), coder.TargetLost, coder.Unknown)
	})

	It("says not run for a refusal, a dead agent and a silent one", func() {
		f.on[messenger.KindReserve] = fail(coder.Busy)
		expect(run(ctx), coder.Busy, coder.NotRun)
		f.on[messenger.KindReserve] = nil
		d.Silence = 20 * time.Millisecond
		expect(run(ctx), coder.Silent, coder.NotRun)
		j.Address = "127.0.0.1:1"
		expect(run(ctx), coder.TargetLost, coder.NotRun)
		Expect(f.kinds()).NotTo(ContainElement(messenger.KindRun))
	})

	It("gives the reservation back when the run must not start", func() {
		j.Before = func(context.Context) error { return coder.Errorf(coder.NoQuorum, "") }
		expect(run(ctx), coder.NoQuorum, coder.NotRun)
		Eventually(f.kinds).Should(ContainElement(messenger.KindRelease))
		Expect(f.kinds()).NotTo(ContainElement(messenger.KindRun))
	})

	It("cancels at the agent when its context ends or the caller takes no more", func() {
		f.on[messenger.KindRun] = func(s *muxer.Stream) { chunks(s, "x", 1, 1) }
		ended, stop := context.WithCancelCause(ctx)
		j.Emit = func(messenger.Chunk) error {
			stop(coder.Errorf(coder.Cancelled, "by the caller"))
			return nil
		}
		expect(run(ended), coder.Cancelled, coder.Ran)
		Eventually(f.kinds).Should(ContainElement(messenger.KindCancel))

		j.Emit = func(messenger.Chunk) error { return errors.New("gone") }
		expect(run(ctx), coder.Cancelled, coder.Ran)
	})
})
