package crowder

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// sampleInterval is the interval between counts of descriptors.
	sampleInterval = 5 * time.Millisecond
	// settledSamples is the number of equal counts in a row after which a process has accepted
	// all connections that it will accept.
	settledSamples = 60
	// maxSamples bounds the wait for them.
	maxSamples = 2000
)

// Usage is what a process has used at most.
type Usage struct {
	Bytes       int // resident memory since its start
	Descriptors int // open at the same time since Measure was called
}

// Measure samples the process with the given id. The returned function ends that and returns
// its usage, or an error if the process has ended.
func Measure(pid int) func() (Usage, error) {
	var u Usage
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			u.Descriptors = max(u.Descriptors, descriptors(pid))
			select {
			case <-done:
				return
			case <-time.After(sampleInterval):
			}
		}
	})
	return func() (Usage, error) {
		close(done)
		wg.Wait()
		var err error
		u.Bytes, err = peakMemory(pid)
		return u, err
	}
}

// Settle waits until the process no longer accepts or closes connections. Connections wait in
// a queue of the kernel before they are accepted.
func Settle(pid int) {
	last, same := -1, 0
	for range maxSamples {
		n := descriptors(pid)
		if n != last {
			last, same = n, 0
		}
		if same++; same == settledSamples {
			return
		}
		<-time.After(sampleInterval)
	}
}

// descriptors returns the number of open descriptors of a process, zero if it has ended.
func descriptors(pid int) int {
	all, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(all)
}

// peakMemory returns the largest resident memory of a process since its start, in bytes.
func peakMemory(pid int) (int, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("read status: %w", err)
	}
	for line := range strings.Lines(string(status)) {
		text, found := strings.CutPrefix(line, "VmHWM:")
		if !found {
			continue
		}
		kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
		if err != nil {
			return 0, fmt.Errorf("parse %q: %w", line, err)
		}
		return kb << 10, nil
	}
	return 0, fmt.Errorf("process %d has ended", pid)
}
