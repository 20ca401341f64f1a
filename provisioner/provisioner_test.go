package provisioner_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"bramleyshunt/acceptor"
	"bramleyshunt/provisioner"
)

// entryMemory and entryFiles are the limits of the smallest node for an entry that the system
// runs on.
const (
	entryMemory = 184 << 20
	entryFiles  = 3900
)

// Guards against shares that together exceed what the process has.
func TestSharesAddUp(t *testing.T) {
	for _, p := range []provisioner.Provisioner{{}, {Memory: 64 << 20, Files: 800}, {Memory: entryMemory, Files: entryFiles}, {Memory: 16 << 30, Files: 1 << 20}} {
		g := NewWithT(t)
		memory, files := p.Memory, p.Files
		if memory == 0 {
			memory, files = provisioner.DefaultMemory, provisioner.DefaultFiles
		}
		held := p.Bodies() + p.Frames() + p.Callers()*(acceptor.MaxHeadBytes+acceptor.ReadBufferBytes)
		g.Expect(held).To(BeNumerically("<=", memory*3/4))
		g.Expect(3*p.Callers() + p.Peers() + 2*provisioner.Probes).To(BeNumerically("<=", files))
	}
}

// Guards against bounds that clients within the limits meet.
func TestSmallestNodeServesItsClients(t *testing.T) {
	p := provisioner.Provisioner{Memory: entryMemory, Files: entryFiles}
	g := NewWithT(t)
	g.Expect(p.Bodies()).To(BeNumerically(">=", 8*4<<20), "bodies of the largest size at the same time")
	g.Expect(p.Callers()).To(BeNumerically(">=", 400))
	g.Expect(p.Peers()).To(BeNumerically(">=", 1200))
}
