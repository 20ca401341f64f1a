package chainer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestChainer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "chainer")
}
