package entry_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// eventuallyTimeout is long enough for a busy machine. No test depends on its value.
const eventuallyTimeout = 15 * time.Second

func TestEntry(t *testing.T) {
	RegisterFailHandler(Fail)
	SetDefaultEventuallyTimeout(eventuallyTimeout)
	RunSpecs(t, "entry")
}
