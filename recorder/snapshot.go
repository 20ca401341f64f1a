package recorder

import "fmt"

func snapName(index uint64) string { return fmt.Sprintf("%016x%s", index, snapSuffix) }

// commitSnapshot makes a staged snapshot the current one and removes its predecessor.
func (r *Recorder) commitSnapshot(index uint64) error {
	old := r.saved.Snapshot.Index
	if err := r.renameTemporary(snapName(index)); err != nil {
		return err
	}
	r.saved.Snapshot.Index = index
	if old == 0 || old == index {
		return nil
	}
	return r.removeSnapshot(old)
}

func (r *Recorder) removeSnapshot(index uint64) error {
	if err := r.files.Remove(r.path(snapName(index))); err != nil {
		return r.fail("remove "+snapName(index), err)
	}
	return r.syncFolder()
}

// loadSnapshot reads the latest snapshot and removes older ones, which a crash during
// commitSnapshot may leave.
func (r *Recorder) loadSnapshot(names []string) error {
	all, err := parseIndexes(names, snapSuffix)
	if err != nil || len(all) == 0 {
		return err
	}
	newest := all[len(all)-1]
	if err := r.loadFile(snapName(newest), &r.saved.Snapshot); err != nil {
		return err
	}
	for _, old := range all[:len(all)-1] {
		if err := r.removeSnapshot(old); err != nil {
			return err
		}
	}
	return nil
}
