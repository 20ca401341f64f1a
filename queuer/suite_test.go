package queuer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestQueuer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "queuer")
}
