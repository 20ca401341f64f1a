// Package decoder reads JSON with comments strictly. Unknown keys, doubled keys
// and values of the wrong type are faults, each with its line and column.
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
	// MaxBytes is the largest document.
	MaxBytes = 1 << 20
	// MaxDepth is the deepest nesting of objects and lists.
	MaxDepth = 32
)

// Position is a place in a document. Line and Column count from 1, Column in
// characters.
type Position struct {
	Name   string
	Line   int
	Column int
}

// Fault is one thing wrong with a document.
type Fault struct {
	Position
	Message string
}

// Error returns name:line:column: message.
func (f Fault) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s", f.Name, f.Line, f.Column, f.Message)
}

// Faults is every fault found in one or more documents.
type Faults []Fault

// Error returns one fault a line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, one := range f {
		lines[i] = one.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, nil if there are none.
func (f Faults) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Decode reads one document into the struct that v points to. The error is of
// type Faults. Fields are matched by their json tags, exactly.
func Decode(name string, data []byte, v any) error {
	n, faults := Parse(name, data)
	if n != nil {
		faults = append(faults, n.Into(v)...)
	}
	return faults.Err()
}

// Parse reads one document into a tree that keeps positions. The tree is nil if
// the document is not JSON; of a doubled key it holds the first value.
func Parse(name string, data []byte) (*Node, Faults) {
	start := Position{Name: name, Line: 1, Column: 1}
	if len(data) > MaxBytes {
		return nil, Faults{{start, fmt.Sprintf("document of %d bytes exceeds %d", len(data), MaxBytes)}}
	}
	if at, deep := tooDeep(data); deep {
		p := parser{name: name, data: data}
		return nil, Faults{{p.at(at), fmt.Sprintf("nested deeper than %d", MaxDepth)}}
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

// tooDeep bounds the recursion of the parser by counting brackets outside
// strings and comments. It returns the offset of the bracket that is too deep.
func tooDeep(data []byte) (int, bool) {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"', '/':
			i = skip(data, i)
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

// skip returns the offset of the last byte of the string or comment at i.
func skip(data []byte, i int) int {
	rest := data[i:]
	switch {
	case rest[0] == '"':
		return i + quoted(rest)
	case bytes.HasPrefix(rest, []byte("//")):
		return i + ended(rest, "\n")
	case bytes.HasPrefix(rest, []byte("/*")):
		return i + ended(rest, "*/")
	default:
		return i
	}
}

func quoted(b []byte) int {
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

// ended returns the offset of the last byte of the mark that ends the comment b.
func ended(b []byte, mark string) int {
	const opening = 2
	n := bytes.Index(b[opening:], []byte(mark))
	if n < 0 {
		return len(b) - 1
	}
	return opening + n + len(mark) - 1
}

// parser turns a syntax tree into Nodes. Offsets only grow, so that lines are
// counted once over the document.
type parser struct {
	name   string
	data   []byte
	faults Faults
	offset int
	line   int // lines before offset
	start  int // offset of the line's first byte
}

func (p *parser) at(offset int) Position {
	if offset < p.offset {
		p.offset, p.line, p.start = 0, 0, 0
	}
	for ; p.offset < offset; p.offset++ {
		if p.data[p.offset] == '\n' {
			p.line++
			p.start = p.offset + 1
		}
	}
	column := 1 + utf8.RuneCount(p.data[p.start:offset])
	return Position{Name: p.name, Line: p.line + 1, Column: column}
}

func (p *parser) node(v hujson.Value) *Node {
	n := &Node{At: p.at(v.StartOffset)}
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
		at := p.at(m.Name.StartOffset)
		value := p.node(m.Value)
		if seen[key] {
			p.faults = append(p.faults, Fault{at, fmt.Sprintf("key %q is doubled", key)})
			continue
		}
		seen[key] = true
		n.Fields = append(n.Fields, Field{Name: key, At: at, Value: value})
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
