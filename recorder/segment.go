package recorder

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/coder"
	"bramleyshunt/messenger"
)

// segment is one file of the log. Only the last one is open.
type segment struct {
	first  uint64  // index of the first entry
	starts []int64 // offset of each entry
	size   int64
	synced int64
	file   *File
}

// title is the first block of a log file.
type title struct {
	Disk  uint64 `msgpack:"disk"`
	First uint64 `msgpack:"first"`
}

func logName(first uint64) string { return fmt.Sprintf("%016x%s", first, logSuffix) }

// numbers returns the numbers in the names that end in suffix, ascending.
func numbers(names []string, suffix string) ([]uint64, error) {
	var all []uint64
	for _, n := range names {
		base, ok := strings.CutSuffix(n, suffix)
		if !ok {
			continue
		}
		i, err := strconv.ParseUint(base, 16, 64)
		if err != nil {
			return nil, coder.Errorf(coder.Damaged, "%s: not a file of the log", n)
		}
		all = append(all, i)
	}
	slices.Sort(all)
	return all, nil
}

func (r *Recorder) active() *segment { return r.segments[len(r.segments)-1] }

func (s *segment) next() uint64 { return s.first + uint64(len(s.starts)) }

func (s *segment) sync(r *Recorder) error {
	if s.synced == s.size {
		return nil
	}
	if err := s.file.Sync(); err != nil {
		return r.failed("sync "+logName(s.first), err)
	}
	s.synced = s.size
	return nil
}

func (s *segment) put(r *Recorder, v any) error {
	p, err := encode(s.synced, v)
	if err != nil {
		return err
	}
	if _, err := s.file.Write(p); err != nil {
		return r.failed("write "+logName(s.first), err)
	}
	s.size += int64(len(p))
	return nil
}

func (r *Recorder) append(e *messenger.Entry) error {
	s := r.active()
	if s.size >= r.cfg.Segment {
		if err := r.roll(e.Index); err != nil {
			return err
		}
		s = r.active()
	}
	if e.Index != s.next() {
		return coder.Errorf(coder.Internal, "append of entry %d where %d is next", e.Index, s.next())
	}
	s.starts = append(s.starts, s.size)
	return s.put(r, e)
}

// roll ends the active file and starts the next one.
func (r *Recorder) roll(first uint64) error {
	s := r.active()
	if err := s.sync(r); err != nil {
		return err
	}
	if err := s.file.Close(); err != nil {
		return r.failed("close "+logName(s.first), err)
	}
	s.file = nil
	return r.start(first)
}

// start creates a log file. It lasts before any entry is written to it.
func (r *Recorder) start(first uint64) error {
	f, err := r.files.Open(r.path(logName(first)))
	if err != nil {
		return r.failed("open "+logName(first), err)
	}
	s := &segment{first: first, file: f}
	r.segments = append(r.segments, s)
	if err := f.Truncate(0); err != nil {
		return r.failed("truncate "+logName(first), err)
	}
	if err := s.put(r, &title{Disk: r.id.Disk, First: first}); err != nil {
		return err
	}
	if err := s.sync(r); err != nil {
		return err
	}
	return r.syncFolder()
}

// dropSegment removes one file. Each removal lasts before the next, so that the
// files that are left always follow each other.
func (r *Recorder) dropSegment(i int) error {
	s := r.segments[i]
	if s.file != nil {
		_ = s.file.Close()
	}
	if err := r.files.Remove(r.path(logName(s.first))); err != nil {
		return r.failed("remove "+logName(s.first), err)
	}
	r.segments = slices.Delete(r.segments, i, i+1)
	return r.syncFolder()
}

// restart drops the whole log and starts a new one.
func (r *Recorder) restart(first uint64) error {
	for n := len(r.segments); n > 0; n-- {
		if err := r.dropSegment(n - 1); err != nil {
			return err
		}
	}
	return r.start(first)
}

// cut drops the entries at and after an index.
func (r *Recorder) cut(index uint64) error {
	if index >= r.active().next() {
		return nil
	}
	for len(r.segments) > 1 && r.active().first > index {
		if err := r.dropSegment(len(r.segments) - 1); err != nil {
			return err
		}
	}
	s := r.active()
	if index < s.first {
		return coder.Errorf(coder.Internal, "cut at entry %d, the log starts at %d", index, s.first)
	}
	return r.shorten(s, int(index-s.first))
}

// shorten keeps the first n entries of the last file.
func (r *Recorder) shorten(s *segment, n int) error {
	size := s.size
	if n < len(s.starts) {
		size = s.starts[n]
	}
	if err := r.reopen(s); err != nil {
		return err
	}
	if err := s.file.Truncate(size); err != nil {
		return r.failed("truncate "+logName(s.first), err)
	}
	if err := s.file.Sync(); err != nil {
		return r.failed("sync "+logName(s.first), err)
	}
	s.starts = s.starts[:n]
	s.size, s.synced = size, size
	return nil
}

func (r *Recorder) reopen(s *segment) error {
	if s.file != nil {
		return nil
	}
	f, err := r.files.Open(r.path(logName(s.first)))
	if err != nil {
		return r.failed("open "+logName(s.first), err)
	}
	s.file = f
	return nil
}

// loadLog reads all log files and keeps the entries after the snapshot.
func (r *Recorder) loadLog(names []string) error {
	firsts, err := numbers(names, logSuffix)
	if err != nil {
		return err
	}
	var entries []messenger.Entry
	for i, first := range firsts {
		more, err := r.loadSegment(first, i == len(firsts)-1)
		if err != nil {
			return err
		}
		entries = append(entries, more...)
	}
	return r.keep(entries)
}

// keep takes the entries after the snapshot. A log that does not hold the
// snapshot's last entry was about to be dropped by Install.
func (r *Recorder) keep(entries []messenger.Entry) error {
	snap := r.saved.Snapshot
	if len(r.segments) == 0 {
		return r.start(snap.Index + 1)
	}
	first, next := r.segments[0].first, r.active().next()
	if first > snap.Index+1 {
		return coder.Errorf(coder.Damaged, "entries %d to %d are missing", snap.Index+1, first-1)
	}
	stale := next <= snap.Index || first <= snap.Index && entries[snap.Index-first].Term != snap.Term
	if stale {
		return r.restart(snap.Index + 1)
	}
	r.saved.Entries = entries[snap.Index+1-first:]
	return nil
}

func (r *Recorder) loadSegment(first uint64, last bool) ([]messenger.Entry, error) {
	name := logName(first)
	data, err := r.files.Read(r.path(name))
	if err != nil {
		return nil, coder.Errorf(coder.Damaged, "%s: %v", name, err)
	}
	blocks, end := split(data)
	if end < len(data) && (!last || !torn(data, end)) {
		return nil, coder.Errorf(coder.Damaged, "%s: bad checksum at byte %d", name, end)
	}
	if len(blocks) == 0 && last {
		return nil, r.discard(name)
	}
	if n := len(r.segments); n > 0 && r.segments[n-1].next() != first {
		return nil, coder.Errorf(coder.Damaged, "%s: entry %d is missing", name, r.segments[n-1].next())
	}
	s := &segment{first: first, size: int64(end), synced: int64(end)}
	entries, err := r.parse(s, blocks)
	if err != nil {
		return nil, err
	}
	r.segments = append(r.segments, s)
	if !last {
		return entries, nil
	}
	return entries, r.shorten(s, len(s.starts))
}

// discard removes a file that was created but got no title.
func (r *Recorder) discard(name string) error {
	if err := r.files.Remove(r.path(name)); err != nil {
		return r.failed("remove "+name, err)
	}
	if err := r.syncFolder(); err != nil {
		return err
	}
	if n := len(r.segments); n > 0 {
		return r.reopen(r.segments[n-1])
	}
	return nil
}

func (r *Recorder) parse(s *segment, blocks []block) ([]messenger.Entry, error) {
	name := logName(s.first)
	var t title
	if len(blocks) == 0 || msgpack.Unmarshal(blocks[0].body, &t) != nil || t.First != s.first || t.Disk != r.id.Disk {
		return nil, coder.Errorf(coder.Damaged, "%s: not a file of this disk", name)
	}
	entries := make([]messenger.Entry, len(blocks)-1)
	for i, b := range blocks[1:] {
		if err := msgpack.Unmarshal(b.body, &entries[i]); err != nil || entries[i].Index != s.first+uint64(i) {
			return nil, coder.Errorf(coder.Damaged, "%s: bad entry at byte %d", name, b.at)
		}
		s.starts = append(s.starts, int64(b.at))
	}
	return entries, nil
}
