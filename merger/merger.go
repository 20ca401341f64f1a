// Package merger merges a folder of configuration files into one configuration.
// Files are applied in byte order of their names: objects merge key by key, later
// values and lists replace earlier ones, and null removes a key.
package merger

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"regexp"
	"slices"
	"strings"

	"bramleyshunt/configurer"
	"bramleyshunt/decoder"
	"bramleyshunt/messenger"
)

const (
	// MaxFiles is the maximum number of files in a folder.
	MaxFiles = 4096
	// MaxBytes is the maximum total size of the files in a folder.
	MaxBytes = 8 << 20
)

var nameRE = regexp.MustCompile(`^[A-Za-z0-9_-][A-Za-z0-9._-]{0,122}\.(json|jsonc|hujson)$`)

// Merger is the result of a merge.
type Merger struct {
	Config *configurer.Configurer
	Tree   *decoder.Node // merged document with the position of each value
}

// Reader parses the configuration files supplied by operators. Merge is the Reader
// of the native format; deployments with another format supply their own.
type Reader func(files []messenger.File) (*Merger, decoder.Faults)

// Merge merges files in byte order of their names, whatever the order of the slice.
// If any file has faults, it returns the faults of all files and a nil Merger.
func Merge(files []messenger.File) (*Merger, decoder.Faults) {
	sorted := slices.Clone(files)
	slices.SortFunc(sorted, func(a, b messenger.File) int { return strings.Compare(a.Name, b.Name) })
	faults := folderFaults(sorted)
	if len(faults) > 0 {
		return nil, faults
	}
	tree := &decoder.Node{Kind: decoder.Object, At: decoder.Position{Name: "folder", Line: 1, Column: 1}}
	for _, f := range sorted {
		n, fileFaults := parse(f)
		faults = append(faults, fileFaults...)
		if len(fileFaults) == 0 {
			mergeObject(tree, n)
		}
	}
	if len(faults) > 0 {
		return nil, faults
	}
	m := &Merger{Config: &configurer.Configurer{}, Tree: tree}
	if faults = tree.Decode(m.Config); len(faults) > 0 {
		return nil, faults
	}
	return m, nil
}

// parse parses one file and checks its keys and types independently of other files.
func parse(f messenger.File) (*decoder.Node, decoder.Faults) {
	n, faults := decoder.Parse(f.Name, f.Data)
	if n != nil {
		faults = append(faults, n.DecodePatch(&configurer.Configurer{})...)
	}
	return n, faults
}

// folderFaults returns the faults in the names, the number and the total size of files.
func folderFaults(sorted []messenger.File) decoder.Faults {
	var faults decoder.Faults
	fault := func(name, format string, args ...any) {
		at := decoder.Position{Name: name, Line: 1, Column: 1}
		faults = append(faults, decoder.Fault{Position: at, Message: fmt.Sprintf(format, args...)})
	}
	if len(sorted) > MaxFiles {
		fault("folder", "%d files exceed %d", len(sorted), MaxFiles)
	}
	total := 0
	for i, f := range sorted {
		total += len(f.Data)
		if !nameRE.MatchString(f.Name) {
			fault(f.Name, "name must be letters, digits, '.', '_' or '-' and end in .json, .jsonc or .hujson")
		}
		if i > 0 && sorted[i-1].Name == f.Name {
			fault(f.Name, "file is given twice")
		}
	}
	if total > MaxBytes {
		fault("folder", "%d bytes exceed %d", total, MaxBytes)
	}
	return faults
}

// mergeObject merges the fields of object src into object dst.
func mergeObject(dst, src *decoder.Node) {
	for _, f := range src.Fields {
		i := slices.IndexFunc(dst.Fields, func(d decoder.Field) bool { return d.Name == f.Name })
		switch {
		case f.Value.Kind == decoder.Null:
			if i >= 0 {
				dst.Fields = slices.Delete(dst.Fields, i, i+1)
			}
		case f.Value.Kind != decoder.Object:
			setField(dst, i, f)
		case i >= 0 && dst.Fields[i].Value.Kind == decoder.Object:
			mergeObject(dst.Fields[i].Value, f.Value)
		default:
			// Merging into a new object applies the nulls inside f and leaves src unchanged.
			n := &decoder.Node{Kind: decoder.Object, At: f.Value.At}
			mergeObject(n, f.Value)
			setField(dst, i, decoder.Field{Name: f.Name, At: f.At, Value: n})
		}
	}
}

func setField(dst *decoder.Node, i int, f decoder.Field) {
	if i < 0 {
		dst.Fields = append(dst.Fields, f)
		return
	}
	dst.Fields[i] = f
}

// Read returns the configuration files of a folder in byte order of their names. It
// skips subfolders, hidden files and files with other extensions.
func Read(folder fs.FS) ([]messenger.File, error) {
	entries, err := fs.ReadDir(folder, ".")
	if err != nil {
		return nil, fmt.Errorf("read folder: %w", err)
	}
	var files []messenger.File
	for _, e := range entries {
		if e.IsDir() || !nameRE.MatchString(e.Name()) {
			continue
		}
		data, err := fs.ReadFile(folder, e.Name())
		if err != nil {
			return nil, fmt.Errorf("read folder: %w", err)
		}
		files = append(files, messenger.File{Name: e.Name(), Data: data})
	}
	return files, nil
}

// ReadFolder returns the configuration files of the folder at a path, as Read does.
func ReadFolder(path string) ([]messenger.File, error) {
	info, err := os.Stat(path)
	if err == nil && !info.IsDir() {
		err = fmt.Errorf("%s is not a folder", path)
	}
	if err != nil {
		return nil, fmt.Errorf("read folder: %w", err)
	}
	return Read(os.DirFS(path))
}

// Digest returns the SHA-256 over the names and contents of files in byte order of
// their names. Each part is preceded by its length, so that parts can't run together.
func Digest(files []messenger.File) []byte {
	sorted := slices.Clone(files)
	slices.SortFunc(sorted, func(a, b messenger.File) int { return strings.Compare(a.Name, b.Name) })
	h := sha256.New()
	for _, f := range sorted {
		for _, part := range [][]byte{[]byte(f.Name), f.Data} {
			_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
			_, _ = h.Write(part)
		}
	}
	return h.Sum(nil)
}

// JSON returns the merged configuration as indented JSON.
func (m *Merger) JSON() []byte {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetIndent("", "  ")
	enc.SetEscapeHTML(false)
	_ = enc.Encode(m.Config)
	return buf.Bytes()
}
