package recorder_test

import (
	"errors"
	"testing"

	"bramleyshunt/coder"
	"bramleyshunt/recorder"
)

// FuzzOpen flips bits in a log file and truncates it. The folder either opens with
// a prefix of its entries or is refused as damaged.
func FuzzOpen(f *testing.F) {
	f.Add(0, byte(1), 0)
	f.Add(90, byte(255), 3)
	f.Fuzz(func(t *testing.T, at int, flip byte, cut int) {
		d := newDisk()
		if err := writeTen(d); err != nil {
			t.Fatal(err)
		}
		corrupt(d.names[logNames(d)[0]], at, flip, cut)
		r, _, err := recorder.New(config(d))
		if err != nil && coder.Of(err).Code == coder.Damaged {
			return
		}
		if err != nil {
			t.Fatal(err)
		}
		for i, e := range r.Saved().Entries {
			if e.Index != uint64(i)+1 || e.Term != 1 {
				t.Fatalf("entry %d is %+v", i+1, e)
			}
		}
	})
}

func writeTen(d *disk) error {
	r, _, err := recorder.New(config(d))
	for i := uint64(1); i <= 10 && err == nil; i++ {
		err = errors.Join(r.Append(entries(i, i, 1)), r.Sync())
	}
	return err
}

func corrupt(file *inode, at int, flip byte, cut int) {
	if at >= 0 && at < len(file.data) {
		file.data[at] ^= flip
	}
	if cut > 0 && cut < len(file.data) {
		file.data = file.data[:len(file.data)-cut]
	}
}
