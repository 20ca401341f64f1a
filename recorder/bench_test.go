package recorder_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"bramleyshunt/messenger"
	"bramleyshunt/recorder"
	"bramleyshunt/replicator"
)

const entryBytes = 1024

// BenchmarkOpen measures how long a folder on the real disk takes to open with a
// given number of entries in its log, or with a 64 KiB snapshot that replaces most of them.
func BenchmarkOpen(b *testing.B) {
	for _, count := range []uint64{500, 5000} {
		for _, snapshot := range []bool{false, true} {
			b.Run(fmt.Sprintf("entries=%d/snapshot=%v", count, snapshot), func(b *testing.B) {
				RegisterTestingT(b)
				cfg := recorder.Config{Folder: b.TempDir(), Node: "a", Disk: 7, SegmentBytes: 1 << 20}
				fill(cfg, count, snapshot)
				for b.Loop() {
					_, closer, err := recorder.New(cfg)
					Expect(err).NotTo(HaveOccurred())
					closer()
				}
			})
		}
	}
}

func fill(cfg recorder.Config, count uint64, snapshot bool) {
	r, closer, err := recorder.New(cfg)
	Expect(err).NotTo(HaveOccurred())
	defer closer()
	all := make([]messenger.Entry, 0, count)
	for i := uint64(1); i <= count; i++ {
		all = append(all, messenger.Entry{Index: i, Term: 1, Data: make([]byte, entryBytes)})
	}
	Expect(r.Append(all)).To(Succeed())
	Expect(r.Sync()).To(Succeed())
	if snapshot {
		Expect(compact(r, replicator.Snapshot{Index: count, Term: 1, Data: make([]byte, 64<<10)}, count-256)).To(Succeed())
	}
}
