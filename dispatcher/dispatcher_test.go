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
		f    *fakeAgent
		d    *dispatcher.Dispatcher
		j    dispatcher.Job
		text string
	)

	BeforeEach(func() {
		f = newFakeAgent()
		pool, closer := pooler.New(muxer.Config{Node: "entry"})
		DeferCleanup(closer)
		d = &dispatcher.Dispatcher{Pool: pool}
		DeferCleanup(d.Wait)
		text = ""
		j = dispatcher.Job{
			Address: f.addr,
			Reserve: messenger.Reserve{Attempt: "x"},
			Run:     messenger.Run{Attempt: "x"},
			OnChunk: func(c messenger.Chunk) error {
				text += string(c.Data)
				return nil
			},
		}
	})

	expectError := func(err error, c coder.Code, run coder.Run) {
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

	It("passes on each chunk once, in sequence, and ignores other attempts", func() {
		f.handlers[messenger.KindRun] = func(s *muxer.Stream) {
			sendChunks(s, "x", 1, 2)
			sendChunks(s, "other", 3, 3)
			sendEnd(s, "other", 3)
			sendChunks(s, "x", 1, 3)
			sendEnd(s, "x", 3)
		}
		Expect(run(ctx)).To(Succeed())
		Expect(text).To(Equal("abc"))
	})

	It("resumes over a new connection after the last chunk", func() {
		f.handlers[messenger.KindRun] = func(s *muxer.Stream) {
			sendChunks(s, "x", 1, 2)
			f.dropConnections()
		}
		f.handlers[messenger.KindResume] = func(s *muxer.Stream) {
			sendChunks(s, "x", 2, 4)
			sendEnd(s, "x", 4)
		}
		Expect(run(ctx)).To(Succeed())
		Expect(text).To(Equal("abcd"))
	})

	It("resumes after a gap and after an end whose count exceeds the chunks received", func() {
		f.handlers[messenger.KindRun] = func(s *muxer.Stream) {
			sendChunks(s, "x", 1, 1)
			sendChunks(s, "x", 3, 3)
		}
		resumed := 0
		f.handlers[messenger.KindResume] = func(s *muxer.Stream) {
			resumed++
			if resumed == 1 {
				sendEnd(s, "x", 3)
				return
			}
			sendChunks(s, "x", 2, 3)
			sendEnd(s, "x", 3)
		}
		Expect(run(ctx)).To(Succeed())
		Expect(text).To(Equal("abc"))
	})

	DescribeTable("withdraws a run that got no answer", func(answer coder.Run, code coder.Code, want coder.Run) {
		f.handlers[messenger.KindRun] = func(*muxer.Stream) { f.dropConnections() }
		f.handlers[messenger.KindVoid] = func(s *muxer.Stream) {
			reply(s, messenger.KindVoided, &messenger.Voided{Attempt: "x", Run: answer})
		}
		f.handlers[messenger.KindResume] = func(s *muxer.Stream) { sendEnd(s, "x", 0) }
		err := run(ctx)
		if code == coder.OK {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		expectError(err, code, want)
	},
		Entry("never started", coder.NotRun, coder.Voided, coder.NotRun),
		Entry("started", coder.Ran, coder.OK, coder.Ran),
		Entry("unknown", coder.Unknown, coder.OutcomeUnknown, coder.Unknown),
	)

	It("reports an unknown outcome if a restarted agent has no record of the run", func() {
		f.handlers[messenger.KindRun] = func(*muxer.Stream) { f.dropConnections() }
		f.handlers[messenger.KindVoid] = failWith(coder.WrongIncarnation)
		expectError(run(ctx), coder.TargetLost, coder.Unknown)
		f.handlers[messenger.KindRun] = failWith(coder.UnknownAttempt)
		expectError(run(ctx), coder.TargetLost, coder.Unknown)
	})

	It("reports not run for a refusal, an unresponsive agent and an unreachable one", func() {
		f.handlers[messenger.KindReserve] = failWith(coder.Busy)
		expectError(run(ctx), coder.Busy, coder.NotRun)
		f.handlers[messenger.KindReserve] = nil
		d.ReserveTimeout = 20 * time.Millisecond
		expectError(run(ctx), coder.Silent, coder.NotRun)
		j.Address = "127.0.0.1:1"
		expectError(run(ctx), coder.TargetLost, coder.NotRun)
		Expect(f.receivedKinds()).NotTo(ContainElement(messenger.KindRun))
	})

	It("releases the reservation when BeforeRun fails", func() {
		j.BeforeRun = func(context.Context) error { return coder.Errorf(coder.NoQuorum, "") }
		expectError(run(ctx), coder.NoQuorum, coder.NotRun)
		Eventually(f.receivedKinds).Should(ContainElement(messenger.KindRelease))
		Expect(f.receivedKinds()).NotTo(ContainElement(messenger.KindRun))
	})

	It("cancels at the agent when its context ends or OnChunk fails", func() {
		f.handlers[messenger.KindRun] = func(s *muxer.Stream) { sendChunks(s, "x", 1, 1) }
		ended, stop := context.WithCancelCause(ctx)
		j.OnChunk = func(messenger.Chunk) error {
			stop(coder.Errorf(coder.Cancelled, "by the caller"))
			return nil
		}
		expectError(run(ended), coder.Cancelled, coder.Ran)
		Eventually(f.receivedKinds).Should(ContainElement(messenger.KindCancel))

		j.OnChunk = func(messenger.Chunk) error { return errors.New("gone") }
		expectError(run(ctx), coder.Cancelled, coder.Ran)
	})
})
