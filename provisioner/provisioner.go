// Package provisioner divides the memory and the descriptors of a process among what its
// connections may hold.
package provisioner

import "bramleyshunt/acceptor"

const (
	// DefaultMemory is the memory of a process, in bytes, if Provisioner.Memory is zero: what
	// the system may use on each node.
	DefaultMemory = 256 << 20
	// DefaultFiles is the number of descriptors if Provisioner.Files is zero.
	DefaultFiles = 4096
	// Probes is the number of connections of a listener that answers only probes or scrapers.
	Probes = 16

	// heapShare is the fraction of the memory that is set as the garbage collector's soft limit.
	// The remainder is for memory that the Go runtime does not count.
	heapShare = 0.6
	// bodyShare is the fraction of the memory for the bodies of requests. The heap may grow to
	// twice what is in use before it is collected.
	bodyShare = 1.0 / 4
	// frameShare is the fraction for long messages between processes of the system.
	frameShare = 1.0 / 8
	// callerShare is the fraction of the memory for what connections of callers, operators and
	// targets hold besides bodies, at callerBytes for each of them.
	callerShare = 1.0 / 3
	// callerBytes is the largest head of a request and what the kernel holds of the next one.
	callerBytes = acceptor.MaxHeadBytes + acceptor.ReadBufferBytes
	// peerShare and peerBytes are the same for connections between processes of the system,
	// whose messages are read by one goroutine each into small buffers.
	peerShare = 1.0 / 4
	peerBytes = 32 << 10
	// callerFiles is the fraction of the descriptors for one listener of callers, operators or
	// targets. Requests of callers need as many connections to targets again, and as many of
	// those are kept idle.
	callerFiles = 1.0 / 5
	// peerFiles is the fraction for connections from other processes of the system.
	peerFiles = 1.0 / 3
)

// Provisioner holds the limits of a process.
type Provisioner struct {
	Memory int64 // bytes; DefaultMemory if zero
	Files  int   // descriptors; DefaultFiles if zero
}

func (p Provisioner) memory() float64 {
	if p.Memory > 0 {
		return float64(p.Memory)
	}
	return DefaultMemory
}

func (p Provisioner) files() float64 {
	if p.Files > 0 {
		return float64(p.Files)
	}
	return DefaultFiles
}

// Heap returns the soft limit on the heap, in bytes.
func (p Provisioner) Heap() int64 { return int64(heapShare * p.memory()) }

// Bodies returns the bytes that the bodies of all requests may have together.
func (p Provisioner) Bodies() int { return int(bodyShare * p.memory()) }

// Frames returns the bytes that long messages from other processes of the system may have
// together while they arrive.
func (p Provisioner) Frames() int { return int(frameShare * p.memory()) }

// Callers returns the number of connections of one listener of callers, operators or targets.
func (p Provisioner) Callers() int {
	return int(max(1, min(callerFiles*p.files(), callerShare*p.memory()/callerBytes)))
}

// Peers returns the number of connections from other processes of the system.
func (p Provisioner) Peers() int {
	return int(max(1, min(peerFiles*p.files(), peerShare*p.memory()/peerBytes)))
}
