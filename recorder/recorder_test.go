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
	return recorder.Config{Folder: "folder", Node: "a", Disk: 7, Segment: 300, Files: d.files()}
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

// filled has entries 1 to 20 synced in batches of two.
func filled(d *disk) *recorder.Recorder {
	GinkgoHelper()
	r := open(d)
	for i := uint64(1); i < 20; i += 2 {
		Expect(r.Append(entries(i, i+1, 1))).To(Succeed())
		Expect(r.Sync()).To(Succeed())
	}
	return r
}

// compact saves a snapshot while the log goes on.
func compact(r *recorder.Recorder, s replicator.Snapshot, keep uint64) error {
	if err := r.Draft(s); err != nil {
		return err
	}
	return r.Adopt(s.Index, keep)
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

// file returns the first file with a suffix, in order of names.
func (d *disk) file(suffix string) *inode {
	names, _ := d.files().List("")
	for _, n := range names {
		if strings.HasSuffix(n, suffix) {
			return d.names[n]
		}
	}
	return nil
}

var _ = Describe("a folder", func() {
	var d *disk
	BeforeEach(func() { d = newDisk() })

	It("keeps what was synced and drops the rest at a kill", func() {
		r := filled(d)
		Expect(r.SaveState(replicator.HardState{Group: 1, Term: 2, Vote: 3})).To(Succeed())
		Expect(r.Append(entries(21, 22, 1))).To(Succeed())
		d.kill()
		expectLog(d, entries(1, 20, 1))
		Expect(open(d).Saved().State).To(Equal(replicator.HardState{Group: 1, Term: 2, Vote: 3}))
	})

	It("cuts a torn end at every length and goes on after it", func() {
		for tear := range 120 {
			d = newDisk()
			r := filled(d)
			Expect(r.Append(entries(21, 22, 1))).To(Succeed())
			d.tear = tear
			d.kill()
			r = open(d)
			last := uint64(len(r.Saved().Entries))
			Expect(r.Saved().Entries).To(Equal(entries(1, last, 1)))
			Expect(last).To(BeNumerically(">=", 20))
			Expect(r.Append(entries(last+1, last+1, 2))).To(Succeed())
			Expect(r.Sync()).To(Succeed())
			d.kill()
			Expect(open(d).Saved().Entries).To(HaveLen(int(last) + 1))
		}
	})

	It("replaces entries that disagree, over the files they are in", func() {
		r := filled(d)
		Expect(r.Append(entries(6, 7, 2))).To(Succeed())
		Expect(r.Sync()).To(Succeed())
		d.kill()
		expectLog(d, append(entries(1, 5, 1), entries(6, 7, 2)...))
	})

	It("starts after a snapshot and drops the log before it", func() {
		r := filled(d)
		before := len(d.names)
		Expect(compact(r, replicator.Snapshot{Index: 15, Term: 1, Data: []byte("s")}, 12)).To(Succeed())
		Expect(len(d.names)).To(BeNumerically("<", before))
		d.kill()
		Expect(open(d).Saved().Snapshot.Data).To(Equal([]byte("s")))
		expectLog(d, entries(16, 20, 1))
	})

	It("drops a draft that an installed snapshot overtook", func() {
		r := filled(d)
		Expect(r.Draft(replicator.Snapshot{Index: 15, Term: 1})).To(Succeed())
		Expect(r.Append(entries(21, 22, 1))).To(Succeed())
		Expect(r.Install(replicator.Snapshot{Index: 50, Term: 3})).To(Succeed())
		Expect(r.Adopt(15, 10)).To(Succeed())
		d.kill()
		Expect(open(d).Saved().Snapshot.Index).To(BeEquivalentTo(50))
		Expect(d.file(".temp")).To(BeNil())
	})

	It("puts an installed snapshot in the place of the log", func() {
		r := filled(d)
		Expect(r.Install(replicator.Snapshot{Index: 50, Term: 3})).To(Succeed())
		Expect(r.Append(entries(51, 52, 3))).To(Succeed())
		Expect(r.Sync()).To(Succeed())
		d.kill()
		expectLog(d, entries(51, 52, 3))
	})

	It("fails for good after a failed sync", func() {
		r := filled(d)
		Expect(r.Append(entries(21, 21, 1))).To(Succeed())
		d.failSync = true
		err := r.Sync()
		Expect(coder.Of(err).Code).To(Equal(coder.DiskFailed))
		d.failSync = false
		Expect(r.Sync()).To(MatchError(err))
		Expect(r.Append(entries(22, 22, 1))).To(MatchError(err))
	})

	It("gets an identity when it is empty and keeps it", func() {
		Expect(open(d).Disk()).To(BeEquivalentTo(7))
		cfg := config(d)
		cfg.Disk = 8
		r, _, err := recorder.New(cfg)
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Disk()).To(BeEquivalentTo(7))
	})

	It("is refused for another node", func() {
		open(d)
		cfg := config(d)
		cfg.Node = "b"
		_, _, err := recorder.New(cfg)
		Expect(coder.Of(err).Code).To(Equal(coder.Damaged))
	})
})

var _ = DescribeTable("damage is refused",
	func(harm func(*disk)) {
		d := newDisk()
		r := filled(d)
		Expect(r.SaveState(replicator.HardState{Term: 1})).To(Succeed())
		Expect(compact(r, replicator.Snapshot{Index: 4, Term: 1, Data: []byte("s")}, 1)).To(Succeed())
		harm(d)
		expectRefused(d)
	},
	Entry("in the identity", func(d *disk) { d.file("identity").data[25] ^= 1 }),
	Entry("in the state", func(d *disk) { d.file("state").data[25] ^= 1 }),
	Entry("in a snapshot", func(d *disk) { d.file(".snap").data[25] ^= 1 }),
	Entry("in an ended log file", func(d *disk) { d.file(".log").data[100] ^= 1 }),
	Entry("by a lost log file", func(d *disk) { delete(d.names, logs(d)[1]) }),
	Entry("by a lost identity", func(d *disk) { delete(d.names, "identity") }),
	Entry("in the last log file before a synced block", func(d *disk) {
		all := logs(d)
		d.names[all[len(all)-1]].data[60] ^= 1
	}),
	Entry("by a log file of another disk", func(d *disk) {
		other := newDisk()
		cfg := config(other)
		cfg.Disk = 99
		_, _, err := recorder.New(cfg)
		Expect(err).NotTo(HaveOccurred())
		d.names[logs(d)[0]] = other.names[logs(other)[0]]
	}),
)

func logs(d *disk) []string {
	var all []string
	names, _ := d.files().List("")
	for _, n := range names {
		if strings.HasSuffix(n, ".log") {
			all = append(all, n)
		}
	}
	return all
}
