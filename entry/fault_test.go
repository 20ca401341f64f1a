package entry_test

import (
	"context"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/entry"
	"bramleyshunt/messenger"
	"bramleyshunt/muxer"
)

var _ = Describe("an entry when targets fail", func() {
	var b *testBed
	BeforeEach(func() { b = newTestBed() })

	stream := `{"model":"m","prompt":"x","stream":true}`

	// addEngine adds another engine to the view.
	addEngine := func() *fakeAgent {
		f := newFakeAgent("e3", "draft", "m")
		v := *b.view.Load()
		v.Version++
		v.Targets = append([]messenger.Target{f.target}, v.Targets...)
		b.view.Store(&v)
		return f
	}

	It("ends a stream that can't be completed with an error event", func() {
		b.engine.run = func(_ context.Context, s *muxer.Stream, run messenger.Run) {
			sendChunk(s, run, 1, "hel")
			_ = s.Fail(run.Attempt, coder.Errorf(coder.EngineFailed, ""))
		}
		resp, text := b.call("POST", "/v1/completions", stream)
		Expect(resp.StatusCode).To(Equal(200))
		Expect(text).To(ContainSubstring("event: error\ndata: {\"error\":{\"code\":3003"))
		Expect(text).NotTo(ContainSubstring("[DONE]"))
	})

	It("aborts the connection of a plain answer that can't be completed", func() {
		b.plain.run = b.engine.run
		b.plain.run = func(_ context.Context, s *muxer.Stream, run messenger.Run) {
			sendChunk(s, run, 1, "hel")
			_ = s.Fail(run.Attempt, coder.Errorf(coder.TargetLost, ""))
		}
		_, text := b.call("GET", "/service/portal/x", "")
		Expect(text).To(HavePrefix("hel!"))
	})

	It("answers from another target when one is lost before the response has started", func() {
		lose := func(_ context.Context, s *muxer.Stream, run messenger.Run) {
			sendChunk(s, run, 1, "wrong ")
			_ = s.Fail(run.Attempt, coder.Errorf(coder.TargetLost, ""))
		}
		b.engine.run = lose
		other := addEngine()
		for range 8 {
			resp, text := b.call("POST", "/v1/completions", prompt)
			Expect(resp.StatusCode).To(Equal(200), text)
			Expect(text).To(ContainSubstring(`"text":"hello world"`))
		}
		Expect(other.runs()).To(HaveLen(8))
	})

	It("reports a request that was running when its target was lost, and refuses it once quarantined", func() {
		b.engine.run = func(_ context.Context, s *muxer.Stream, run messenger.Run) {
			_ = s.Fail(run.Attempt, coder.Errorf(coder.TargetLost, ""))
		}
		resp, text := b.call("POST", "/v1/completions", prompt)
		expectCode(resp, text, coder.TargetLost)
		Eventually(b.keeper.reportedSuspects).Should(HaveLen(1))
		got := b.keeper.reportedSuspects()[0]
		Expect(got.Target).To(Equal("e1"))
		v := *b.view.Load()
		v.Blocked = map[uint64]bool{got.Fingerprint: true}
		b.view.Store(&v)
		resp, text = b.call("POST", "/v1/completions", `{"prompt":"Say hello",  "model":"m"}`)
		expectCode(resp, text, coder.Quarantined)
	})

	It("never reports not-run for a request that may have run at an earlier target", func() {
		b.engine.run = func(_ context.Context, s *muxer.Stream, run messenger.Run) {
			_ = s.Fail(run.Attempt, coder.Errorf(coder.TargetLost, ""))
		}
		resp, text := b.call("POST", "/v1/completions", prompt, "Request-Timeout: 0.2")
		expectCode(resp, text, coder.TargetLost)
		Expect(resp.Header.Get("Bramleyshunt-Run")).To(Equal("unknown"))
	})

	It("runs a request that is not idempotent once, and replays its answer", func() {
		body := `{"model":"once","prompt":"x"}`
		for range 3 {
			resp, text := b.call("POST", "/v1/completions", body, "Idempotency-Key: k")
			Expect(resp.StatusCode).To(Equal(200), text)
			Expect(text).To(ContainSubstring(`"text":"hello world"`))
			Expect(b.keeper.claimState("k")()).To(Equal(messenger.ClaimDone))
		}
		Expect(b.engine.runs()).To(HaveLen(1))
	})

	It("replays a plain answer with its status", func() {
		for range 2 {
			resp, text := b.call("POST", "/service/portal/ping", "p", "Idempotency-Key: k")
			Expect(resp.StatusCode).To(Equal(201))
			Expect(text).To(Equal("hello world"))
			Expect(b.keeper.claimState("k")()).To(Equal(messenger.ClaimDone))
		}
		Expect(b.plain.runs()).To(HaveLen(1))
	})

	It("never repeats a request that is not idempotent and may have run", func() {
		b.engine.run = func(_ context.Context, s *muxer.Stream, run messenger.Run) {
			_ = s.Fail(run.Attempt, coder.Errorf(coder.TargetLost, ""))
		}
		for _, want := range []coder.Code{coder.TargetLost, coder.ClaimHeld} {
			resp, text := b.call("POST", "/v1/completions", `{"model":"once","prompt":"x"}`, "Idempotency-Key: k")
			expectCode(resp, text, want)
		}
		Expect(b.engine.runs()).To(HaveLen(1))
	})

	It("refuses claims without a keeper quorum, and serves requests that need no claim", func() {
		b.keeper.down = true
		resp, text := b.call("POST", "/v1/completions", `{"model":"once","prompt":"x"}`, "Idempotency-Key: k")
		expectCode(resp, text, coder.NoQuorum)
		resp, _ = b.call("POST", "/v1/completions", prompt)
		Expect(resp.StatusCode).To(Equal(200))
		Expect(b.engine.runs()).To(HaveLen(1))
	})

	It("cancels all requests of a batch, and none of another account", func() {
		b.engine.run = func(_ context.Context, s *muxer.Stream, run messenger.Run) { sendChunk(s, run, 1, "x") }
		var wg sync.WaitGroup
		texts := make([]string, 3)
		for i := range texts {
			wg.Go(func() {
				defer GinkgoRecover()
				_, texts[i] = b.call("POST", "/v1/completions", prompt, "Batch: b")
			})
		}
		Eventually(func() int { return b.entry.Status().Active }).Should(Equal(3))
		Eventually(func() int { return len(b.engine.runs()) }).Should(Equal(3))
		_, text := b.call("POST", "/v1/cancel", "", "Batch: b", "Authorization: Bearer g")
		Expect(text).To(ContainSubstring(`"cancelled":0`))
		_, text = b.call("POST", "/v1/cancel", "", "Batch: b")
		Expect(text).To(ContainSubstring(`"cancelled":3`))
		wg.Wait()
		Expect(strings.Join(texts, "")).To(ContainSubstring("Cancelled"))
		Eventually(b.engine.count(messenger.KindCancel)).Should(Equal(3))
		Expect(b.entry.Status().Active).To(Equal(0))
	})

	It("ends a request at its deadline if the target never completes the answer", func() {
		b.engine.run = func(_ context.Context, s *muxer.Stream, run messenger.Run) { sendChunk(s, run, 1, "x") }
		resp, text := b.call("POST", "/v1/completions", prompt, "Request-Timeout: 0.2")
		expectCode(resp, text, coder.DeadlineExceeded)
		Expect(resp.Header.Get("Bramleyshunt-Run")).To(Equal("ran"))
		Eventually(b.engine.count(messenger.KindCancel)).Should(Equal(1))
	})

	It("refuses new requests and completes running ones while it drains", func() {
		resume := make(chan struct{})
		b.engine.run = func(_ context.Context, s *muxer.Stream, run messenger.Run) {
			sendChunk(s, run, 1, "a")
			<-resume
			sendChunk(s, run, 2, "b")
			_ = s.Send(messenger.KindEnd, &messenger.End{Attempt: run.Attempt, Count: 2})
		}
		var wg sync.WaitGroup
		var text string
		wg.Go(func() {
			defer GinkgoRecover()
			_, text = b.call("POST", "/v1/completions", stream)
		})
		Eventually(func() int { return len(b.engine.runs()) }).Should(Equal(1))
		drained := make(chan error)
		go func() { drained <- b.entry.Drain(context.Background()) }()
		Eventually(func() entry.Status { return b.entry.Status() }).Should(HaveField("Leaving", true))
		resp, refused := b.call("POST", "/v1/completions", prompt)
		expectCode(resp, refused, coder.NotReady)
		Consistently(drained, "50ms").ShouldNot(Receive())
		close(resume)
		wg.Wait()
		Expect(text).To(HaveSuffix("data: [DONE]\n\n"))
		Eventually(drained).Should(Receive(BeNil()))
	})
})
