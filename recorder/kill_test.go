package recorder_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"bramleyshunt/messenger"
	"bramleyshunt/recorder"
	"bramleyshunt/replicator"
)

// script runs a workload on a recorder and remembers what must survive.
type script struct {
	d      *disk
	r      *recorder.Recorder
	err    error
	terms  map[uint64]uint64      // of the entries written, by index
	synced uint64                 // entries up to here have to be there
	states []replicator.HardState // the last one that was saved, and one in flight
	snaps  []uint64               // as for states
}

func (s *script) do(f func() error) bool {
	if s.err == nil {
		s.err = f()
	}
	return s.err == nil
}

func (s *script) open() {
	s.do(func() error {
		r, _, err := recorder.New(config(s.d))
		s.r = r
		return err
	})
}

func (s *script) append(first, last, term uint64) {
	if s.err != nil {
		return
	}
	s.synced = min(s.synced, first-1)
	s.do(func() error { return s.r.Append(entries(first, last, term)) })
	for i := first; i <= last; i++ {
		s.terms[i] = term
	}
	if s.do(func() error { return s.r.Sync() }) {
		s.synced = last
	}
}

func (s *script) state(st replicator.HardState) {
	if s.err != nil {
		return
	}
	s.states = append(s.states, st)
	if s.do(func() error { return s.r.SaveState(st) }) {
		s.states = s.states[len(s.states)-1:]
	}
}

func (s *script) snapshot(index uint64, save func(replicator.Snapshot) error) {
	if s.err != nil {
		return
	}
	s.snaps = append(s.snaps, index)
	if s.do(func() error { return save(replicator.Snapshot{Index: index, Term: s.terms[index]}) }) {
		s.snaps = []uint64{index}
	}
}

func (s *script) run() {
	s.open()
	s.state(replicator.HardState{Group: 1, Term: 1})
	s.append(1, 6, 1)
	s.append(7, 14, 1)
	s.state(replicator.HardState{Group: 1, Term: 2, Vote: 4})
	s.append(5, 9, 2)
	s.append(10, 20, 2)
	s.snapshot(12, func(snap replicator.Snapshot) error { return compact(s.r, snap, 10) })
	s.append(21, 25, 2)
	s.terms[40] = 3
	s.snapshot(40, func(snap replicator.Snapshot) error { return s.r.Install(snap) })
	if s.err == nil {
		s.synced = 40
	}
	s.append(41, 44, 3)
}

// expectSurvived opens the folder again and compares it with what must be there.
func (s *script) expectSurvived() {
	GinkgoHelper()
	saved := open(s.d).Saved()
	Expect(s.states).To(ContainElement(saved.State))
	Expect(s.snaps).To(ContainElement(saved.Snapshot.Index))
	next := saved.Snapshot.Index + 1
	for _, e := range saved.Entries {
		Expect(e.Index).To(Equal(next))
		if e.Index <= s.synced {
			Expect(e.Term).To(Equal(s.terms[e.Index]), "entry %d", e.Index)
		}
		next++
	}
	Expect(next).To(BeNumerically(">", s.synced))
}

var _ = Describe("a kill at any change of the disk", func() {
	run := func(killAt, tear int) *script {
		s := &script{d: newDisk(), terms: map[uint64]uint64{}, states: make([]replicator.HardState, 1), snaps: make([]uint64, 1)}
		s.d.killAt, s.d.tear = killAt, tear
		s.run()
		return s
	}

	It("loses nothing that was synced, and the folder opens", func() {
		whole := run(0, 0)
		Expect(whole.err).NotTo(HaveOccurred())
		for killAt := 1; killAt <= whole.d.ops; killAt++ {
			for _, tear := range []int{0, 1, 19, 30, 1000} {
				s := run(killAt, tear)
				s.d.kill()
				s.expectSurvived()
			}
		}
	})
})

var _ = Describe("a snapshot over a log that disagrees", func() {
	It("drops the log if the kill came before its removal", func() {
		d := newDisk()
		r := filled(d)
		d.killAt = d.ops + 7 // the snapshot has its name, the log is still there
		Expect(r.Install(replicator.Snapshot{Index: 10, Term: 3})).NotTo(Succeed())
		d.kill()
		saved := open(d).Saved()
		Expect(saved.Snapshot.Index).To(BeEquivalentTo(10))
		Expect(saved.Entries).To(Equal([]messenger.Entry(nil)))
	})
})
