// Package packer compresses configuration files on their way to the processes that watch
// them. A file is compressed once, however many processes it is sent to.
package packer

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"bramleyshunt/messenger"
)

const (
	// minBytes is the size from which files are compressed.
	minBytes = 1 << 10
	// maxBytes bounds an uncompressed file. It is above the largest configuration that keepers
	// accept.
	maxBytes = 16 << 20
)

// Packer compresses files. It keeps the last version of each. The zero value is ready to use.
// It is safe for concurrent use. Files must not change.
type Packer struct {
	mu   sync.Mutex
	last map[string]packed
}

type packed struct {
	first *byte // of the file's data, which identifies its version
	size  int
	data  []byte // compressed
}

// Pack returns files with compressed data where that is smaller.
func (p *Packer) Pack(files []messenger.File) ([]messenger.File, error) {
	out := make([]messenger.File, len(files))
	for i, f := range files {
		out[i] = f
		if len(f.Data) < minBytes {
			continue
		}
		data, err := p.pack(f)
		if err != nil {
			return nil, err
		}
		if len(data) < len(f.Data) {
			out[i] = messenger.File{Name: f.Name, Packed: data}
		}
	}
	return out, nil
}

func (p *Packer) pack(f messenger.File) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock() // held while compressing, so that others wait for the result
	if l := p.last[f.Name]; l.first == &f.Data[0] && l.size == len(f.Data) {
		return l.data, nil
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress %s: %w", f.Name, err)
	}
	if _, err = w.Write(f.Data); err == nil {
		err = w.Close()
	}
	if err != nil {
		return nil, fmt.Errorf("compress %s: %w", f.Name, err)
	}
	if p.last == nil {
		p.last = map[string]packed{}
	}
	p.last[f.Name] = packed{first: &f.Data[0], size: len(f.Data), data: b.Bytes()}
	return b.Bytes(), nil
}

// Unpack returns files as they were before Pack.
func Unpack(files []messenger.File) ([]messenger.File, error) {
	out := make([]messenger.File, len(files))
	for i, f := range files {
		out[i] = f
		if f.Packed == nil {
			continue
		}
		data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(f.Packed)), maxBytes+1))
		if err != nil {
			return nil, fmt.Errorf("decompress %s: %w", f.Name, err)
		}
		if len(data) > maxBytes {
			return nil, fmt.Errorf("decompress %s: more than %d bytes", f.Name, maxBytes)
		}
		out[i] = messenger.File{Name: f.Name, Data: data}
	}
	return out, nil
}
