package claimer_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestClaimer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "claimer")
}
