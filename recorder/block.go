package recorder

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/coder"
)

// Every file is a row of blocks: a header of headBytes and a msgpack body.
//
//	magic  4 bytes
//	length 4 bytes, of the body
//	synced 8 bytes, of this file that had been synced when the block was written
//	sum    4 bytes, CRC-32C of length, synced and body
const (
	magic     = 0xb5a7106d
	headBytes = 20
	sumAt     = 16
	maxBody   = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// block is one block read back.
type block struct {
	at     int // offset in the file
	synced uint64
	body   []byte
}

func encode(synced int64, v any) ([]byte, error) {
	body, err := msgpack.Marshal(v)
	if err != nil {
		return nil, coder.Errorf(coder.Internal, "encode block: %v", err)
	}
	p := make([]byte, headBytes, headBytes+len(body))
	binary.BigEndian.PutUint32(p, magic)
	binary.BigEndian.PutUint32(p[4:], uint32(len(body)))
	binary.BigEndian.PutUint64(p[8:], uint64(synced))
	sum := crc32.Update(crc32.Checksum(p[4:sumAt], castagnoli), castagnoli, body)
	binary.BigEndian.PutUint32(p[sumAt:], sum)
	return append(p, body...), nil
}

// decode returns the block at an offset; false if there is no whole one.
func decode(data []byte, at int) (block, bool) {
	p := data[at:]
	if len(p) < headBytes || binary.BigEndian.Uint32(p) != magic {
		return block{}, false
	}
	n := int(binary.BigEndian.Uint32(p[4:]))
	if n > maxBody || n > len(p)-headBytes {
		return block{}, false
	}
	body := p[headBytes : headBytes+n]
	sum := crc32.Update(crc32.Checksum(p[4:sumAt], castagnoli), castagnoli, body)
	if sum != binary.BigEndian.Uint32(p[sumAt:]) {
		return block{}, false
	}
	return block{at: at, synced: binary.BigEndian.Uint64(p[8:]), body: body}, true
}

// split returns the whole blocks from the start, and where they end.
func split(data []byte) ([]block, int) {
	var all []block
	at := 0
	for at < len(data) {
		b, ok := decode(data, at)
		if !ok {
			break
		}
		all = append(all, b)
		at += headBytes + len(b.body)
	}
	return all, at
}

// torn reports whether what follows end may be the unsynced rest of a write: no
// block after it says that end had been synced before.
func torn(data []byte, end int) bool {
	mark := binary.BigEndian.AppendUint32(nil, magic)
	for at := end + 1; at < len(data); at++ {
		i := bytes.Index(data[at:], mark)
		if i < 0 {
			return true
		}
		at += i
		if b, ok := decode(data, at); ok && b.synced > uint64(end) {
			return false
		}
	}
	return true
}
