// Package differ compares two configurations, entry by entry, and says what a change means for
// callers.
package differ

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"bramleyshunt/configurer"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Kind -output=kind_string.go

// Kind is the kind of a change.
type Kind uint8

// Kinds of changes.
const (
	Added Kind = iota
	Removed
	Changed
)

// MarshalText returns the kind in lower case.
func (k Kind) MarshalText() ([]byte, error) { return []byte(strings.ToLower(k.String())), nil }

// Change is one difference. Field, From and To are set for changed entries.
type Change struct {
	Kind   Kind   `json:"kind"`
	Entry  string `json:"entry"` // such as "accounts.office"; paths are named by host and prefix
	Field  string `json:"field,omitempty"`
	From   string `json:"from,omitempty"`
	To     string `json:"to,omitempty"`
	Effect string `json:"effect,omitempty"` // on callers; empty if there is none
}

// String returns the change as one line of text.
func (c Change) String() string {
	s := strings.ToLower(c.Kind.String()) + " " + c.Entry
	if c.Kind == Changed {
		s += fmt.Sprintf(" %s: %s -> %s", c.Field, c.From, c.To)
	}
	if c.Effect != "" {
		s += "\n    " + c.Effect
	}
	return s
}

// Differ collects the differences of two configurations.
type Differ struct {
	changes []Change
}

// Diff returns what differs in a configuration from an earlier one: paths first, then the other
// sections; the entries of each in the order of their names.
func (d *Differ) Diff(from, to *configurer.Configurer) []Change {
	d.changes = nil
	diffEntries(d, "paths", byRoute(from.Paths), byRoute(to.Paths))
	diffEntries(d, "services", from.Services, to.Services)
	diffEntries(d, "models", from.Models, to.Models)
	diffEntries(d, "accounts", from.Accounts, to.Accounts)
	diffEntries(d, "operators", from.Operators, to.Operators)
	d.diffFields("limits", "limits", reflect.ValueOf(from.Limits), reflect.ValueOf(to.Limits))
	return d.changes
}

// byRoute returns paths by host and prefix, which identify them.
func byRoute(paths []configurer.Path) map[string]configurer.Path {
	out := map[string]configurer.Path{}
	for _, p := range paths {
		out[strings.ToLower(p.Host)+p.Prefix] = p
	}
	return out
}

// diffEntries compares the entries of one section.
func diffEntries[T any](d *Differ, section string, from, to map[string]T) {
	all := maps.Clone(from)
	if all == nil {
		all = map[string]T{}
	}
	maps.Copy(all, to)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		before, was := from[name]
		after, is := to[name]
		entry := section + "." + name
		switch {
		case !was:
			d.changes = append(d.changes, Change{Kind: Added, Entry: entry, Effect: addedEffects[section]})
		case !is:
			d.changes = append(d.changes, Change{Kind: Removed, Entry: entry, Effect: removedEffects[section]})
		default:
			d.diffFields(section, entry, reflect.ValueOf(before), reflect.ValueOf(after))
		}
	}
}

// diffFields compares the fields of an entry, and those of structs in it.
func (d *Differ) diffFields(section, entry string, from, to reflect.Value) {
	for i := range from.NumField() {
		name, _, _ := strings.Cut(from.Type().Field(i).Tag.Get("json"), ",")
		a, b := from.Field(i), to.Field(i)
		if a.Kind() == reflect.Struct {
			d.diffFields(section+"."+name, entry+"."+name, a, b)
			continue
		}
		if sameValue(a, b) {
			continue
		}
		c := Change{Kind: Changed, Entry: entry, Field: name, From: render(a), To: render(b), Effect: fieldEffects[section+"."+name]}
		if secret[name] {
			c.From, c.To = renderSecret(a), renderSecret(b)
		}
		d.changes = append(d.changes, c)
	}
}

// sameValue reports whether two values are equal. Missing and empty lists are.
func sameValue(a, b reflect.Value) bool {
	if a.Kind() == reflect.Slice && a.Len() == 0 && b.Len() == 0 {
		return true
	}
	return reflect.DeepEqual(a.Interface(), b.Interface())
}

func render(v reflect.Value) string {
	if v.Kind() == reflect.Slice && v.IsNil() {
		return "[]"
	}
	text, err := json.Marshal(v.Interface())
	if err != nil {
		return fmt.Sprint(v.Interface())
	}
	return string(text)
}

// secret holds the fields whose values are digests of tokens. They are shortened: the output goes
// to terminals and logs.
var secret = map[string]bool{"token": true, "keys": true}

// renderSecret returns the first digits of digests, enough to tell them apart.
func renderSecret(v reflect.Value) string {
	const digits = 8
	short := func(s string) string { return s[:min(len(s), digits)] }
	if v.Kind() == reflect.String {
		return fmt.Sprintf("%q", short(v.String()))
	}
	out := []string{}
	for i := range v.Len() {
		out = append(out, short(v.Index(i).String()))
	}
	return "[" + strings.Join(out, " ") + "]"
}
