package chainer_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/chainer"
)

var _ = Describe("a chain", func() {
	It("passes requests through its filters in order", func() {
		var path string
		step := func(name string) chainer.Filter {
			return func(next chainer.Handler) chainer.Handler {
				return func(ctx context.Context, r *chainer.Request) error {
					path += name
					return next(ctx, r)
				}
			}
		}
		c := chainer.Chainer{Filters: []chainer.Filter{step("a"), step("b")}}
		h := c.Then(func(context.Context, *chainer.Request) error {
			path += "!"
			return nil
		})
		Expect(h(context.Background(), &chainer.Request{})).To(Succeed())
		Expect(path).To(Equal("ab!"))
	})
})
