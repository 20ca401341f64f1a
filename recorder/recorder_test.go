package recorder_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
	"bramleyshunt/recorder"
	"bramleyshunt/replicator"
)

func TestRecorder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "recorder")
}

func config(d *disk) recorder.Config {
	return recorder.Config{Folder: "folder", Node: "a", Disk: 7, SegmentBytes: 300, Files: d.files()}
}

func open(d *disk) *recorder.Recorder {
	GinkgoHelper()
	r, _, err := recorder.New(config(d))
	Expect(err).NotTo(HaveOccurred())
	return r
}

func entries(first, last, term uint64) []messenger.Entry {
	var all []messenger.Entry
	for i := first; i <= last; i++ {
		all = append(all, messenger.Entry{Index: i, Term: term, Data: []byte(fmt.Sprint("entry ", i))})
	}
	return all
}

// openFilled returns a recorder with entries 1 to 20, synced in batches of two.
func openFilled(d *disk) *recorder.Recorder {
	GinkgoHelper()
	r := open(d)
	for i := uint64(1); i < 20; i += 2 {
		Expect(r.Append(entries(i, i+1, 1))).To(Succeed())
		Expect(r.Sync()).To(Succeed())
	}
	return r
}

// compact saves a snapshot without replacing the log.
func compact(r *recorder.Recorder, s replicator.Snapshot, keep uint64) error {
	if err := r.StageSnapshot(s); err != nil {
		return err
	}
	return r.CommitSnapshot(s.Index, keep)
}

func expectLog(d *disk, want []messenger.Entry) {
	GinkgoHelper()
	Expect(open(d).Saved().Entries).To(Equal(want))
}

func expectRefused(d *disk) {
	GinkgoHelper()
	_, _, err := recorder.New(config(d))
	Expect(err).To(HaveOccurred())
	Expect(coder.Of(err).Code).To(Equal(coder.Damaged), "%v", err)
}

// firstFile returns the first file with a suffix in order of names, nil if there is none.
func (d *disk) firstFile(suffix string) *inode {
	names, _ := d.files().ListFolder("")
	for _, n := range names {
		if strings.HasSuffix(n, suffix) {
			return d.names[n]
		}
	}
	return nil
}

var _ = Describe("a data folder", func() {
	var d *disk
	BeforeEach(func() { d = newDisk() })

	It("keeps synced data and discards unsynced data in a crash", func() {
		r := openFilled(d)
		Expect(r.SaveState(replicator.HardState{Group: 1, Term: 2, Vote: 3})).To(Succeed())
		Expect(r.Append(entries(21, 22, 1))).To(Succeed())
		d.crash()
		expectLog(d, entries(1, 20, 1))
		Expect(open(d).Saved().State).To(Equal(replicator.HardState{Group: 1, Term: 2, Vote: 3}))
	})

	It("truncates a torn write of any length and appends after it", func() {
		for torn := range 120 {
			d = newDisk()
			r := openFilled(d)
			Expect(r.Append(entries(21, 22, 1))).To(Succeed())
			d.tornBytes = torn
			d.crash()
			r = open(d)
			last := uint64(len(r.Saved().Entries))
			Expect(r.Saved().Entries).To(Equal(entries(1, last, 1)))
			Expect(last).To(BeNumerically(">=", 20))
			Expect(r.Append(entries(last+1, last+1, 2))).To(Succeed())
			Expect(r.Sync()).To(Succeed())
			d.crash()
			Expect(open(d).Saved().Entries).To(HaveLen(int(last) + 1))
		}
	})

	It("replaces conflicting entries across log files", func() {
		r := openFilled(d)
		Expect(r.Append(entries(6, 7, 2))).To(Succeed())
		Expect(r.Sync()).To(Succeed())
		d.crash()
		expectLog(d, append(entries(1, 5, 1), entries(6, 7, 2)...))
	})

	It("removes the log files before a snapshot and loads the entries after it", func() {
		r := openFilled(d)
		before := len(d.names)
		Expect(compact(r, replicator.Snapshot{Index: 15, Term: 1, Data: []byte("s")}, 12)).To(Succeed())
		Expect(len(d.names)).To(BeNumerically("<", before))
		d.crash()
		Expect(open(d).Saved().Snapshot.Data).To(Equal([]byte("s")))
		expectLog(d, entries(16, 20, 1))
	})

	It("discards a staged snapshot that is older than an installed one", func() {
		r := openFilled(d)
		Expect(r.StageSnapshot(replicator.Snapshot{Index: 15, Term: 1})).To(Succeed())
		Expect(r.Append(entries(21, 22, 1))).To(Succeed())
		Expect(r.InstallSnapshot(replicator.Snapshot{Index: 50, Term: 3})).To(Succeed())
		Expect(r.CommitSnapshot(15, 10)).To(Succeed())
		d.crash()
		Expect(open(d).Saved().Snapshot.Index).To(BeEquivalentTo(50))
		Expect(d.firstFile(".temp")).To(BeNil())
	})

	It("replaces the log by an installed snapshot", func() {
		r := openFilled(d)
		Expect(r.InstallSnapshot(replicator.Snapshot{Index: 50, Term: 3})).To(Succeed())
		Expect(r.Append(entries(51, 52, 3))).To(Succeed())
		Expect(r.Sync()).To(Succeed())
		d.crash()
		expectLog(d, entries(51, 52, 3))
	})

	It("returns the same error for every call after a failed sync", func() {
		r := openFilled(d)
		Expect(r.Append(entries(21, 21, 1))).To(Succeed())
		d.failSync = true
		err := r.Sync()
		Expect(coder.Of(err).Code).To(Equal(coder.DiskFailed))
		d.failSync = false
		Expect(r.Sync()).To(MatchError(err))
		Expect(r.Append(entries(22, 22, 1))).To(MatchError(err))
	})

	It("is assigned an identity when it is empty and keeps it", func() {
		Expect(open(d).Disk()).To(BeEquivalentTo(7))
		cfg := config(d)
		cfg.Disk = 8
		r, _, err := recorder.New(cfg)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Disk()).To(BeEquivalentTo(7))
	})

	It("is refused if it belongs to another node", func() {
		open(d)
		cfg := config(d)
		cfg.Node = "b"
		_, _, err := recorder.New(cfg)
		Expect(coder.Of(err).Code).To(Equal(coder.Damaged))
	})
})

var _ = DescribeTable("a damaged folder is refused",
	func(damage func(*disk)) {
		d := newDisk()
		r := openFilled(d)
		Expect(r.SaveState(replicator.HardState{Term: 1})).To(Succeed())
		Expect(compact(r, replicator.Snapshot{Index: 4, Term: 1, Data: []byte("s")}, 1)).To(Succeed())
		damage(d)
		expectRefused(d)
	},
	Entry("in the identity", func(d *disk) { d.firstFile("identity").data[25] ^= 1 }),
	Entry("in the state", func(d *disk) { d.firstFile("state").data[25] ^= 1 }),
	Entry("in a snapshot", func(d *disk) { d.firstFile(".snap").data[25] ^= 1 }),
	Entry("in a log file before the last one", func(d *disk) { d.firstFile(".log").data[100] ^= 1 }),
	Entry("by a missing log file", func(d *disk) { delete(d.names, logNames(d)[1]) }),
	Entry("by a missing identity", func(d *disk) { delete(d.names, "identity") }),
	Entry("in the last log file, before a block that was written after a sync", func(d *disk) {
		all := logNames(d)
		d.names[all[len(all)-1]].data[60] ^= 1
	}),
	Entry("by a log file of another disk", func(d *disk) {
		other := newDisk()
		cfg := config(other)
		cfg.Disk = 99
		_, _, err := recorder.New(cfg)
		Expect(err).NotTo(HaveOccurred())
		d.names[logNames(d)[0]] = other.names[logNames(other)[0]]
	}),
)

func logNames(d *disk) []string {
	var all []string
	names, _ := d.files().ListFolder("")
	for _, n := range names {
		if strings.HasSuffix(n, ".log") {
			all = append(all, n)
		}
	}
	return all
}
