package claimer_test

import (
	"context"
	"errors"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/claimer"
	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// answering returns a Claimer whose keeper always returns the given answer.
func answering(got messenger.Claimed, err error) claimer.Claimer {
	return claimer.Claimer{Call: func(_ context.Context, _ messenger.Kind, _, out any) error {
		*out.(*messenger.Claimed) = got
		return err
	}}
}

var _ = Describe("claimer", func() {
	ctx := context.Background()
	mine := messenger.Claim{Owner: "me"}

	DescribeTable("maps the keeper's answer to a hold", func(got messenger.Claimed, err error, want coder.Code) {
		c := answering(got, err)
		answer, err := c.Hold(ctx, mine)
		Expect(answer).To(BeNil())
		if want == coder.OK {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(coder.Of(err).Code).To(Equal(want))
	},
		Entry("granted", messenger.Claimed{State: messenger.ClaimHeld, Owner: "me"}, nil, coder.OK),
		Entry("held by another owner", messenger.Claimed{State: messenger.ClaimHeld, Owner: "you"}, nil, coder.ClaimHeld),
		Entry("key reused with a different body", messenger.Claimed{Code: coder.KeyReused, State: messenger.ClaimDone, Answer: []byte("x")}, nil, coder.KeyReused),
		Entry("already ran, answer too large to store", messenger.Claimed{Code: coder.AlreadyRan, State: messenger.ClaimDone}, nil, coder.AlreadyRan),
		Entry("no quorum", messenger.Claimed{}, errors.New("connection lost"), coder.NoQuorum),
	)

	It("returns the stored answer of a request that already ran", func() {
		c := answering(messenger.Claimed{Code: coder.AlreadyRan, State: messenger.ClaimDone, Owner: "you", Answer: []byte("x")}, nil)
		Expect(c.Hold(ctx, mine)).To(Equal([]byte("x")))
	})

	It("allows a run only after the claim was recorded", func() {
		c := answering(messenger.Claimed{State: messenger.ClaimHeld, Owner: "me"}, nil)
		Expect(c.Run(ctx, mine, "t")).NotTo(Succeed())
		c = answering(messenger.Claimed{State: messenger.ClaimRun, Owner: "me"}, nil)
		Expect(c.Run(ctx, mine, "t")).To(Succeed())
		c = claimer.Claimer{}
		Expect(coder.Of(c.Run(ctx, mine, "t")).Run).To(Equal(coder.NotRun))
	})

	It("does not store an answer above the size limit", func() {
		var sent *messenger.Claim
		c := claimer.Claimer{Call: func(_ context.Context, _ messenger.Kind, v, out any) error {
			sent = v.(*messenger.Claim)
			*out.(*messenger.Claimed) = messenger.Claimed{State: sent.State, Owner: sent.Owner}
			return nil
		}}
		Expect(c.Done(ctx, mine, make([]byte, claimer.MaxAnswerBytes+1))).To(Succeed())
		Expect(sent.Answer).To(BeNil())
	})
})
