package recorder

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/vmihailenco/msgpack/v5"

	"bramleyshunt/coder"
)

// Every file is a sequence of blocks. A block is a header of headerBytes, followed
// by a body in msgpack:
//
//	magic  4 bytes
//	length 4 bytes, of the body
//	synced 8 bytes, size of the part of this file that was synced when the block was written
//	sum    4 bytes, CRC-32C of length, synced and body
const (
	magic          = 0xb5a7106d
	headerBytes    = 20
	checksumOffset = 16
	maxBodyBytes   = 1 << 30
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// block is a decoded block.
type block struct {
	offset     int    // of the header in the file
	syncedSize uint64 // bytes of the file that were synced when the block was written
	body       []byte
}

func encodeBlock(synced int64, v any) ([]byte, error) {
	body, err := msgpack.Marshal(v)
	if err != nil {
		return nil, coder.Errorf(coder.Internal, "encode block: %v", err)
	}
	p := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(p, magic)
	binary.BigEndian.PutUint32(p[4:], uint32(len(body)))
	binary.BigEndian.PutUint64(p[8:], uint64(synced))
	sum := crc32.Update(crc32.Checksum(p[4:checksumOffset], castagnoli), castagnoli, body)
	binary.BigEndian.PutUint32(p[checksumOffset:], sum)
	return append(p, body...), nil
}

// decodeBlock returns the block at an offset. It reports false if there is no
// complete block with a valid checksum.
func decodeBlock(data []byte, offset int) (block, bool) {
	p := data[offset:]
	if len(p) < headerBytes || binary.BigEndian.Uint32(p) != magic {
		return block{}, false
	}
	n := int(binary.BigEndian.Uint32(p[4:]))
	if n > maxBodyBytes || n > len(p)-headerBytes {
		return block{}, false
	}
	body := p[headerBytes : headerBytes+n]
	sum := crc32.Update(crc32.Checksum(p[4:checksumOffset], castagnoli), castagnoli, body)
	if sum != binary.BigEndian.Uint32(p[checksumOffset:]) {
		return block{}, false
	}
	return block{offset: offset, syncedSize: binary.BigEndian.Uint64(p[8:]), body: body}, true
}

// decodeBlocks returns the valid blocks from the start of data, and the offset at
// which the last of them ends.
func decodeBlocks(data []byte) ([]block, int) {
	var all []block
	offset := 0
	for offset < len(data) {
		b, ok := decodeBlock(data, offset)
		if !ok {
			break
		}
		all = append(all, b)
		offset += headerBytes + len(b.body)
	}
	return all, offset
}

// isTornWrite reports whether the invalid data after end may be the remainder of an
// unsynced write. It is not if a later block records that data beyond end was synced
// before that block was written.
func isTornWrite(data []byte, end int) bool {
	magicBytes := binary.BigEndian.AppendUint32(nil, magic)
	for offset := end + 1; offset < len(data); offset++ {
		i := bytes.Index(data[offset:], magicBytes)
		if i < 0 {
			return true
		}
		offset += i
		if b, ok := decodeBlock(data, offset); ok && b.syncedSize > uint64(end) {
			return false
		}
	}
	return true
}
