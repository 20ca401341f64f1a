package decoder

import (
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go -linecomment

// Kind is the type of a JSON value.
type Kind uint8

// Kinds of JSON values.
const (
	Null   Kind = iota // null
	Bool               // boolean
	Number             // number
	String             // string
	List               // list
	Object             // object
)

// Field is one member of an object.
type Field struct {
	Name  string
	At    Position // of the name
	Value *Node
}

// Node is one JSON value with its position. Fields of an Object are in document
// order.
type Node struct {
	Kind   Kind
	At     Position
	Text   string // of a Bool or Number as written, of a String unescaped
	Items  []*Node
	Fields []Field
}

// Get returns the value of a field, or nil if n is nil or has no such field.
func (n *Node) Get(name string) *Node {
	if n == nil {
		return nil
	}
	for _, f := range n.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return nil
}

// FindPosition returns the position of the value at a path of field names, or of its
// closest ancestor that exists. List items are named by their index.
func (n *Node) FindPosition(path ...string) Position {
	if n == nil {
		return Position{}
	}
	at := n.At
	for _, name := range path {
		n = n.child(name)
		if n == nil {
			return at
		}
		at = n.At
	}
	return at
}

func (n *Node) child(name string) *Node {
	if n.Kind != List {
		return n.Get(name)
	}
	i, err := strconv.Atoi(name)
	if err != nil || i < 0 || i >= len(n.Items) {
		return nil
	}
	return n.Items[i]
}

// Decode decodes n into the value that v points to and returns all faults.
func (n *Node) Decode(v any) Faults { return n.decode(v, false) }

// DecodePatch decodes like Decode, except that a null, which removes a key in a
// partial document, is no fault and leaves the zero value.
func (n *Node) DecodePatch(v any) Faults { return n.decode(v, true) }

func (n *Node) decode(v any, allowNull bool) Faults {
	f := filler{allowNull: allowNull}
	f.fill(n, reflect.ValueOf(v).Elem())
	return f.faults
}

// filler decodes Nodes into Go values by reflection.
type filler struct {
	allowNull bool
	faults    Faults
}

func (f *filler) fault(at Position, format string, args ...any) {
	f.faults = append(f.faults, Fault{at, fmt.Sprintf(format, args...)})
}

func (f *filler) fill(n *Node, v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		f.fillStruct(n, v)
	case reflect.Map:
		f.fillMap(n, v)
	case reflect.Slice:
		f.fillSlice(n, v)
	default:
		f.fillScalar(n, v)
	}
}

// expectKind reports whether n is of kind k, and adds a fault if it is not.
func (f *filler) expectKind(n *Node, k Kind) bool {
	if n.Kind != k {
		f.fault(n.At, "want %s, found %s", k, n.Kind)
	}
	return n.Kind == k
}

func (f *filler) fillStruct(n *Node, v reflect.Value) {
	if !f.expectKind(n, Object) {
		return
	}
	for _, field := range n.Fields {
		i, known := fieldIndex(v.Type(), field.Name)
		if i < 0 {
			f.fault(field.At, "unknown key %q; known are %s", field.Name, strings.Join(known, ", "))
			continue
		}
		if f.allowNull && field.Value.Kind == Null {
			continue
		}
		f.fill(field.Value, v.Field(i))
	}
}

// fieldIndex returns the index of the struct field whose json tag is name. If there is
// none, it returns -1 and the known names.
func fieldIndex(t reflect.Type, name string) (int, []string) {
	var known []string
	for i := range t.NumField() {
		tag, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if tag == "" || tag == "-" {
			continue
		}
		if tag == name {
			return i, nil
		}
		known = append(known, tag)
	}
	return -1, known
}

func (f *filler) fillMap(n *Node, v reflect.Value) {
	if !f.expectKind(n, Object) {
		return
	}
	out := reflect.MakeMapWithSize(v.Type(), len(n.Fields))
	for _, field := range n.Fields {
		if f.allowNull && field.Value.Kind == Null {
			continue
		}
		item := reflect.New(v.Type().Elem()).Elem()
		f.fill(field.Value, item)
		out.SetMapIndex(reflect.ValueOf(field.Name), item)
	}
	v.Set(out)
}

func (f *filler) fillSlice(n *Node, v reflect.Value) {
	if !f.expectKind(n, List) {
		return
	}
	out := reflect.MakeSlice(v.Type(), len(n.Items), len(n.Items))
	for i, item := range n.Items {
		f.fill(item, out.Index(i))
	}
	v.Set(out)
}

func (f *filler) fillScalar(n *Node, v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		if f.expectKind(n, String) {
			v.SetString(n.Text)
		}
	case reflect.Bool:
		if f.expectKind(n, Bool) {
			v.SetBool(n.Text == "true")
		}
	case reflect.Int:
		f.fillInt(n, v)
	case reflect.Float64:
		f.fillFloat(n, v)
	default:
		f.fault(n.At, "no value of Go type %s can be read", v.Type())
	}
}

func (f *filler) fillInt(n *Node, v reflect.Value) {
	if !f.expectKind(n, Number) {
		return
	}
	i, err := strconv.ParseInt(n.Text, 10, 64)
	if err != nil {
		f.fault(n.At, "want a whole number, found %s", n.Text)
		return
	}
	v.SetInt(i)
}

func (f *filler) fillFloat(n *Node, v reflect.Value) {
	if !f.expectKind(n, Number) {
		return
	}
	x, err := strconv.ParseFloat(n.Text, 64)
	if err != nil || math.IsInf(x, 0) {
		f.fault(n.At, "number %s is out of range", n.Text)
		return
	}
	v.SetFloat(x)
}
