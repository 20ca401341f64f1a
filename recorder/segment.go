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

// segment is one file of the log. Only the last one is open for writing.
type segment struct {
	first      uint64  // index of the first entry
	offsets    []int64 // of each entry in the file
	size       int64
	syncedSize int64
	file       *File
}

// segmentHeader is the first block of a log file. It ties the file to the disk and to
// the index in its name.
type segmentHeader struct {
	Disk  uint64 `msgpack:"disk"`
	First uint64 `msgpack:"first"`
}

func logName(first uint64) string { return fmt.Sprintf("%016x%s", first, logSuffix) }

// parseIndexes returns the indexes in the names that end in suffix, in ascending order.
func parseIndexes(names []string, suffix string) ([]uint64, error) {
	var all []uint64
	for _, n := range names {
		base, ok := strings.CutSuffix(n, suffix)
		if !ok {
			continue
		}
		i, err := strconv.ParseUint(base, 16, 64)
		if err != nil {
			return nil, coder.Errorf(coder.Damaged, "%s: name is not an index in hexadecimal", n)
		}
		all = append(all, i)
	}
	slices.Sort(all)
	return all, nil
}

func (r *Recorder) active() *segment { return r.segments[len(r.segments)-1] }

func (s *segment) nextIndex() uint64 { return s.first + uint64(len(s.offsets)) }

func (s *segment) sync(r *Recorder) error {
	if s.syncedSize == s.size {
		return nil
	}
	if err := s.file.Sync(); err != nil {
		return r.fail("sync "+logName(s.first), err)
	}
	s.syncedSize = s.size
	return nil
}

func (s *segment) writeBlock(r *Recorder, v any) error {
	p, err := encodeBlock(s.syncedSize, v)
	if err != nil {
		return err
	}
	if _, err := s.file.Write(p); err != nil {
		return r.fail("write "+logName(s.first), err)
	}
	s.size += int64(len(p))
	return nil
}

func (r *Recorder) appendEntry(e *messenger.Entry) error {
	s := r.active()
	if s.size >= r.cfg.SegmentBytes {
		if err := r.roll(e.Index); err != nil {
			return err
		}
		s = r.active()
	}
	if e.Index != s.nextIndex() {
		return coder.Errorf(coder.Internal, "appended entry %d, expected entry %d", e.Index, s.nextIndex())
	}
	s.offsets = append(s.offsets, s.size)
	return s.writeBlock(r, e)
}

// roll syncs and closes the active segment and creates the next one.
func (r *Recorder) roll(first uint64) error {
	s := r.active()
	if err := s.sync(r); err != nil {
		return err
	}
	if err := s.file.Close(); err != nil {
		return r.fail("close "+logName(s.first), err)
	}
	s.file = nil
	return r.createSegment(first)
}

// createSegment creates a log file with its header, and makes it durable before any
// entry is written to it.
func (r *Recorder) createSegment(first uint64) error {
	f, err := r.files.Open(r.path(logName(first)))
	if err != nil {
		return r.fail("open "+logName(first), err)
	}
	s := &segment{first: first, file: f}
	r.segments = append(r.segments, s)
	if err := f.Truncate(0); err != nil {
		return r.fail("truncate "+logName(first), err)
	}
	if err := s.writeBlock(r, &segmentHeader{Disk: r.id.Disk, First: first}); err != nil {
		return err
	}
	if err := s.sync(r); err != nil {
		return err
	}
	return r.syncFolder()
}

// removeSegment removes one segment. Each removal is durable before the next one, so
// that a crash between them leaves no gap in the log.
func (r *Recorder) removeSegment(i int) error {
	s := r.segments[i]
	if s.file != nil {
		_ = s.file.Close()
	}
	if err := r.files.Remove(r.path(logName(s.first))); err != nil {
		return r.fail("remove "+logName(s.first), err)
	}
	r.segments = slices.Delete(r.segments, i, i+1)
	return r.syncFolder()
}

// resetLog removes the whole log and starts an empty one at index first.
func (r *Recorder) resetLog(first uint64) error {
	for n := len(r.segments); n > 0; n-- {
		if err := r.removeSegment(n - 1); err != nil {
			return err
		}
	}
	return r.createSegment(first)
}

// truncateLog removes the entries from an index on.
func (r *Recorder) truncateLog(index uint64) error {
	if index >= r.active().nextIndex() {
		return nil
	}
	for len(r.segments) > 1 && r.active().first > index {
		if err := r.removeSegment(len(r.segments) - 1); err != nil {
			return err
		}
	}
	s := r.active()
	if index < s.first {
		return coder.Errorf(coder.Internal, "log truncated at entry %d, but it starts at entry %d", index, s.first)
	}
	return r.truncateSegment(s, int(index-s.first))
}

// truncateSegment keeps the first n entries of the last segment and leaves it open
// for writing.
func (r *Recorder) truncateSegment(s *segment, n int) error {
	size := s.size
	if n < len(s.offsets) {
		size = s.offsets[n]
	}
	if err := r.reopen(s); err != nil {
		return err
	}
	if err := s.file.Truncate(size); err != nil {
		return r.fail("truncate "+logName(s.first), err)
	}
	if err := s.file.Sync(); err != nil {
		return r.fail("sync "+logName(s.first), err)
	}
	s.offsets = s.offsets[:n]
	s.size, s.syncedSize = size, size
	return nil
}

func (r *Recorder) reopen(s *segment) error {
	if s.file != nil {
		return nil
	}
	f, err := r.files.Open(r.path(logName(s.first)))
	if err != nil {
		return r.fail("open "+logName(s.first), err)
	}
	s.file = f
	return nil
}

// loadLog reads all log files and saves the entries after the snapshot in r.saved.
func (r *Recorder) loadLog(names []string) error {
	firsts, err := parseIndexes(names, logSuffix)
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
	return r.reconcile(entries)
}

// reconcile matches the log with the snapshot. It starts a new log if the existing one
// does not contain the snapshot's last entry: InstallSnapshot was interrupted before
// it removed that log.
func (r *Recorder) reconcile(entries []messenger.Entry) error {
	snap := r.saved.Snapshot
	if len(r.segments) == 0 {
		return r.createSegment(snap.Index + 1)
	}
	first, next := r.segments[0].first, r.active().nextIndex()
	if first > snap.Index+1 {
		return coder.Errorf(coder.Damaged, "entries %d to %d are missing", snap.Index+1, first-1)
	}
	stale := next <= snap.Index || first <= snap.Index && entries[snap.Index-first].Term != snap.Term
	if stale {
		return r.resetLog(snap.Index + 1)
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
	blocks, end := decodeBlocks(data)
	if end < len(data) && (!last || !isTornWrite(data, end)) {
		return nil, coder.Errorf(coder.Damaged, "%s: bad checksum at byte %d", name, end)
	}
	if len(blocks) == 0 && last {
		return nil, r.removeEmptySegment(name)
	}
	if n := len(r.segments); n > 0 && r.segments[n-1].nextIndex() != first {
		return nil, coder.Errorf(coder.Damaged, "%s: preceding entry %d is missing", name, r.segments[n-1].nextIndex())
	}
	s := &segment{first: first, size: int64(end), syncedSize: int64(end)}
	entries, err := r.decodeEntries(s, blocks)
	if err != nil {
		return nil, err
	}
	r.segments = append(r.segments, s)
	if !last {
		return entries, nil
	}
	return entries, r.truncateSegment(s, len(s.offsets))
}

// removeEmptySegment removes the last log file if a crash left it without a header,
// and reopens the segment before it.
func (r *Recorder) removeEmptySegment(name string) error {
	if err := r.files.Remove(r.path(name)); err != nil {
		return r.fail("remove "+name, err)
	}
	if err := r.syncFolder(); err != nil {
		return err
	}
	if n := len(r.segments); n > 0 {
		return r.reopen(r.segments[n-1])
	}
	return nil
}

func (r *Recorder) decodeEntries(s *segment, blocks []block) ([]messenger.Entry, error) {
	name := logName(s.first)
	var h segmentHeader
	if len(blocks) == 0 || msgpack.Unmarshal(blocks[0].body, &h) != nil || h.First != s.first || h.Disk != r.id.Disk {
		return nil, coder.Errorf(coder.Damaged, "%s: header is missing or belongs to another disk or file", name)
	}
	entries := make([]messenger.Entry, len(blocks)-1)
	for i, b := range blocks[1:] {
		if err := msgpack.Unmarshal(b.body, &entries[i]); err != nil || entries[i].Index != s.first+uint64(i) {
			return nil, coder.Errorf(coder.Damaged, "%s: invalid entry at byte %d", name, b.offset)
		}
		s.offsets = append(s.offsets, int64(b.offset))
	}
	return entries, nil
}
