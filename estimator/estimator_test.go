package estimator_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/configurer"
	"bramleyshunt/estimator"
	"bramleyshunt/messenger"
)

var _ = Describe("size prediction", func() {
	It("uses the configuration before any usage is reported", func() {
		var e estimator.Estimator
		s := e.Predict("a", configurer.Model{Bytes: 5, Output: 30}, 1001, 0)
		Expect(s).To(Equal(estimator.Size{Prompt: 201, Output: 30}))
	})

	It("averages bytes per token and answer lengths of each model over reported usage", func() {
		var e estimator.Estimator
		for range 200 {
			e.RecordUsage("a", 3000, messenger.Usage{Prompt: 1000, Output: 50})
		}
		Expect(e.Predict("a", configurer.Model{}, 30000, 0)).To(Equal(estimator.Size{Prompt: 10000, Output: 50}))
		Expect(e.Predict("b", configurer.Model{}, 4000, 0).Prompt).To(Equal(1000))
	})

	It("never predicts more than the caller's bound, which is not a prediction itself", func() {
		var e estimator.Estimator
		e.RecordUsage("a", 3000, messenger.Usage{Prompt: 1000, Output: 50})
		Expect(e.Predict("a", configurer.Model{}, 4, 10).Output).To(Equal(10))
		Expect(e.Predict("a", configurer.Model{}, 4, 100000).Output).To(Equal(50))
	})
})
