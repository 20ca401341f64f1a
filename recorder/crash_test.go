package recorder_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/messenger"
	"bramleyshunt/recorder"
	"bramleyshunt/replicator"
)

// workload runs operations on a recorder and tracks what must survive a crash.
type workload struct {
	disk   *disk
	r      *recorder.Recorder
	err    error
	terms  map[uint64]uint64      // term of each entry written, by index
	synced uint64                 // index of the last entry that must survive
	states []replicator.HardState // those that may be found: the last one saved, and one being saved
	snaps  []uint64               // indexes of the snapshots that may be found, as for states
}

func (w *workload) attempt(f func() error) bool {
	if w.err == nil {
		w.err = f()
	}
	return w.err == nil
}

func (w *workload) open() {
	w.attempt(func() error {
		r, _, err := recorder.New(config(w.disk))
		w.r = r
		return err
	})
}

func (w *workload) append(first, last, term uint64) {
	if w.err != nil {
		return
	}
	w.synced = min(w.synced, first-1)
	w.attempt(func() error { return w.r.Append(entries(first, last, term)) })
	for i := first; i <= last; i++ {
		w.terms[i] = term
	}
	if w.attempt(func() error { return w.r.Sync() }) {
		w.synced = last
	}
}

func (w *workload) state(st replicator.HardState) {
	if w.err != nil {
		return
	}
	w.states = append(w.states, st)
	if w.attempt(func() error { return w.r.SaveState(st) }) {
		w.states = w.states[len(w.states)-1:]
	}
}

func (w *workload) snapshot(index uint64, save func(replicator.Snapshot) error) {
	if w.err != nil {
		return
	}
	w.snaps = append(w.snaps, index)
	if w.attempt(func() error { return save(replicator.Snapshot{Index: index, Term: w.terms[index]}) }) {
		w.snaps = []uint64{index}
	}
}

func (w *workload) run() {
	w.open()
	w.state(replicator.HardState{Group: 1, Term: 1})
	w.append(1, 6, 1)
	w.append(7, 14, 1)
	w.state(replicator.HardState{Group: 1, Term: 2, Vote: 4})
	w.append(5, 9, 2)
	w.append(10, 20, 2)
	w.snapshot(12, func(snap replicator.Snapshot) error { return compact(w.r, snap, 10) })
	w.append(21, 25, 2)
	w.terms[40] = 3
	w.snapshot(40, func(snap replicator.Snapshot) error { return w.r.InstallSnapshot(snap) })
	if w.err == nil {
		w.synced = 40
	}
	w.append(41, 44, 3)
}

// expectSurvived reopens the folder and checks that its content is consistent and
// holds everything that was synced.
func (w *workload) expectSurvived() {
	GinkgoHelper()
	saved := open(w.disk).Saved()
	Expect(w.states).To(ContainElement(saved.State))
	Expect(w.snaps).To(ContainElement(saved.Snapshot.Index))
	next := saved.Snapshot.Index + 1
	for _, e := range saved.Entries {
		Expect(e.Index).To(Equal(next))
		if e.Index <= w.synced {
			Expect(e.Term).To(Equal(w.terms[e.Index]), "entry %d", e.Index)
		}
		next++
	}
	Expect(next).To(BeNumerically(">", w.synced))
}

var _ = Describe("a crash at any change of the disk", func() {
	run := func(crashAt, torn int) *workload {
		w := &workload{disk: newDisk(), terms: map[uint64]uint64{}, states: make([]replicator.HardState, 1), snaps: make([]uint64, 1)}
		w.disk.crashAt, w.disk.tornBytes = crashAt, torn
		w.run()
		return w
	}

	It("loses no synced data and leaves a folder that opens", func() {
		complete := run(0, 0)
		Expect(complete.err).NotTo(HaveOccurred())
		for crashAt := 1; crashAt <= complete.disk.changes; crashAt++ {
			for _, torn := range []int{0, 1, 19, 30, 1000} {
				w := run(crashAt, torn)
				w.disk.crash()
				w.expectSurvived()
			}
		}
	})
})

var _ = Describe("an installed snapshot that conflicts with the log", func() {
	It("replaces the log even if the crash comes before the removal of its files", func() {
		d := newDisk()
		r := openFilled(d)
		d.crashAt = d.changes + 7 // after the snapshot is renamed, before the log files are removed
		Expect(r.InstallSnapshot(replicator.Snapshot{Index: 10, Term: 3})).NotTo(Succeed())
		d.crash()
		saved := open(d).Saved()
		Expect(saved.Snapshot.Index).To(BeEquivalentTo(10))
		Expect(saved.Entries).To(Equal([]messenger.Entry(nil)))
	})
})
