// Package decoder is a strict decoder for JSON with comments. It reports unknown
// keys, duplicate keys and values of the wrong type with their line and column.
package decoder

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

const (
	// MaxBytes is the maximum size of a document.
	MaxBytes = 1 << 20
	// MaxDepth is the maximum nesting depth of objects and lists. It bounds the
	// recursion of the parser.
	MaxDepth = 32
)

// Position is a place in a document. Name is the document's file name. Line and
// Column start at 1; Column counts characters, not bytes.
type Position struct {
	Name   string
	Line   int
	Column int
}

// Fault is one error in a document.
type Fault struct {
	Position
	Message string
}

// Error returns the fault in the form name:line:column: message.
func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.Name, f.Line, f.Column, f.Message)
}

// Faults lists all faults found in one or more documents.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns f as an error, or nil if f is empty.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Decode decodes one document into the struct that v points to. Keys match json
// tags case-sensitively. The error is of type Faults.
func Decode(name string, data []byte, v any) error {
	n, faults := Parse(name, data)
	if n != nil {
		faults = append(faults, n.Decode(v)...)
	}
	return faults.Err()
}

// Parse parses one document into a tree with positions. The tree is nil if the
// document is not valid JSON. For a duplicate key it holds the first value.
func Parse(name string, data []byte) (*Node, Faults) {
	start := Position{Name: name, Line: 1, Column: 1}
	if len(data) > MaxBytes {
		return nil, Faults{{start, fmt.Sprintf("document of %d bytes exceeds %d", len(data), MaxBytes)}}
	}
	if offset, found := findTooDeep(data); found {
		p := parser{name: name, data: data}
		return nil, Faults{{p.position(offset), fmt.Sprintf("nested deeper than %d", MaxDepth)}}
	}
	v, err := hujson.Parse(data)
	if err != nil {
		return nil, Faults{syntaxFault(name, err)}
	}
	p := parser{name: name, data: data}
	n := p.node(v)
	return n, p.faults
}

var syntaxRE = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

func syntaxFault(name string, err error) Fault {
	f := Fault{Position{Name: name, Line: 1, Column: 1}, err.Error()}
	if m := syntaxRE.FindStringSubmatch(err.Error()); m != nil {
		f.Line, _ = strconv.Atoi(m[1])
		f.Column, _ = strconv.Atoi(m[2])
		f.Message = m[3]
	}
	return f
}

// findTooDeep returns the offset of the first bracket nested deeper than MaxDepth. It
// runs before the parser, which recurses, and counts brackets outside strings and
// comments.
func findTooDeep(data []byte) (int, bool) {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"', '/':
			i = skipToken(data, i)
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth > MaxDepth {
			return i, true
		}
	}
	return 0, false
}

// skipToken returns the offset of the last byte of the string or comment that starts at i,
// or i if neither starts there.
func skipToken(data []byte, i int) int {
	tail := data[i:]
	switch {
	case tail[0] == '"':
		return i + stringEnd(tail)
	case bytes.HasPrefix(tail, []byte("//")):
		return i + commentEnd(tail, "\n")
	case bytes.HasPrefix(tail, []byte("/*")):
		return i + commentEnd(tail, "*/")
	default:
		return i
	}
}

// stringEnd returns the offset of the closing quote of the string at the start of b.
func stringEnd(b []byte) int {
	for i := 1; i < len(b); i++ {
		switch b[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(b) - 1
}

// commentEnd returns the offset of the last byte of comment b, terminator included.
func commentEnd(b []byte, terminator string) int {
	const opening = 2
	n := bytes.Index(b[opening:], []byte(terminator))
	if n < 0 {
		return len(b) - 1
	}
	return opening + n + len(terminator) - 1
}

// parser converts a hujson syntax tree into Nodes. Positions are requested in
// ascending order of offsets, so that line breaks are counted in one pass; a smaller
// offset restarts the count.
type parser struct {
	name        string
	data        []byte
	faults      Faults
	offset      int
	linesBefore int // number of line breaks before offset
	lineStart   int // offset of the first byte of the line
}

func (p *parser) position(offset int) Position {
	if offset < p.offset {
		p.offset, p.linesBefore, p.lineStart = 0, 0, 0
	}
	for ; p.offset < offset; p.offset++ {
		if p.data[p.offset] == '\n' {
			p.linesBefore++
			p.lineStart = p.offset + 1
		}
	}
	column := 1 + utf8.RuneCount(p.data[p.lineStart:offset])
	return Position{Name: p.name, Line: p.linesBefore + 1, Column: column}
}

func (p *parser) node(v hujson.Value) *Node {
	n := &Node{At: p.position(v.StartOffset)}
	switch t := v.Value.(type) {
	case *hujson.Object:
		n.Kind = Object
		p.members(n, t)
	case *hujson.Array:
		n.Kind = List
		for _, e := range t.Elements {
			n.Items = append(n.Items, p.node(e))
		}
	case hujson.Literal:
		n.Kind = literalKind(t)
		n.Text = t.String()
	}
	return n
}

func (p *parser) members(n *Node, o *hujson.Object) {
	seen := map[string]bool{}
	for _, m := range o.Members {
		key := m.Name.Value.(hujson.Literal).String()
		pos := p.position(m.Name.StartOffset)
		value := p.node(m.Value)
		if seen[key] {
			p.faults = append(p.faults, Fault{pos, fmt.Sprintf("key %q is doubled", key)})
			continue
		}
		seen[key] = true
		n.Fields = append(n.Fields, Field{Name: key, At: pos, Value: value})
	}
}

func literalKind(l hujson.Literal) Kind {
	switch l.Kind() {
	case '"':
		return String
	case '0':
		return Number
	case 't', 'f':
		return Bool
	default:
		return Null
	}
}
