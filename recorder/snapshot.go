package recorder

import "fmt"

func snapName(index uint64) string { return fmt.Sprintf("%016x%s", index, snapSuffix) }

// adoptSnapshot puts a drafted snapshot in force and removes the one before.
func (r *Recorder) adoptSnapshot(index uint64) error {
	old := r.saved.Snapshot.Index
	if err := r.adopt(snapName(index)); err != nil {
		return err
	}
	r.saved.Snapshot.Index = index
	if old == 0 || old == index {
		return nil
	}
	return r.dropSnapshot(old)
}

func (r *Recorder) dropSnapshot(index uint64) error {
	if err := r.files.Remove(r.path(snapName(index))); err != nil {
		return r.failed("remove "+snapName(index), err)
	}
	return r.syncFolder()
}

// loadSnapshot reads the newest snapshot and removes those before it.
func (r *Recorder) loadSnapshot(names []string) error {
	all, err := numbers(names, snapSuffix)
	if err != nil || len(all) == 0 {
		return err
	}
	newest := all[len(all)-1]
	if err := r.loadOne(snapName(newest), &r.saved.Snapshot); err != nil {
		return err
	}
	for _, old := range all[:len(all)-1] {
		if err := r.dropSnapshot(old); err != nil {
			return err
		}
	}
	return nil
}
