// Package operator reads the operator file: TOML, strict, and checked whole before any of it is used.
//
// Each subsystem describes its section once, as Keys bound to the fields of an options struct (the way package
// flag binds variables). Parser, checker, JSON Schema and reference page are all made from that description, so
// they cannot disagree. The package has no I/O: it takes text and gives findings.
package operator

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Section is one subsystem's table in the operator file. A section that is absent leaves its feature off or at
// the defaults, as Absent says.
type Section struct {
	Name   string // the table's name
	Doc    string // what it is for, in a sentence or two
	Absent string // what holds while the file has no such table
	Keys   []Key
	// Check looks at the section's values together, once each is sound by itself. It may be nil.
	Check func() []Problem
	// Present, if set, becomes true when the file has the table.
	Present *bool
	// Each, if set, makes the section an array of tables, [[name]]: it is called for each of them and returns
	// the keys bound to a new element, and its check. Keys and Check are then not used; MostTables bounds how
	// many there may be.
	Each       func() ([]Key, func() []Problem)
	MostTables int
}

// Problem is what a section's Check found, at one of its keys.
type Problem struct {
	Key  string
	Text string // what is wrong, and the mend
}

// Key is one setting.
type Key struct {
	Name     string
	Doc      string
	Live     bool // takes effect at a reload; otherwise only at the next start
	Required bool
	value    value
}

// OnReload marks a key as one that takes effect at a reload.
func (k Key) OnReload() Key { k.Live = true; return k }

// MustBeSet marks a key as one that has no default.
func (k Key) MustBeSet() Key { k.Required = true; return k }

// Schema is every section that the program knows.
type Schema struct{ sections []Section }

// NewSchema puts sections together; it fails where two share a name, or a section two keys.
func NewSchema(sections ...Section) (*Schema, error) {
	var err error
	seen := map[string]bool{}
	for _, s := range sections {
		if seen[s.Name] {
			err = errors.Join(err, fmt.Errorf("operator: section %q is described twice", s.Name))
		}
		seen[s.Name] = true
		keys := map[string]bool{}
		for _, k := range s.describe() {
			if keys[k.Name] {
				err = errors.Join(err, fmt.Errorf("operator: key %s.%s is described twice", s.Name, k.Name))
			}
			keys[k.Name] = true
		}
	}
	sections = slices.Clone(sections)
	slices.SortFunc(sections, func(a, b Section) int { return strings.Compare(a.Name, b.Name) })
	return &Schema{sections}, err
}

// describe is the section's keys, for reading their descriptions only.
func (s *Section) describe() []Key {
	if s.Each != nil {
		keys, _ := s.Each()
		return keys
	}
	return s.Keys
}

// header is how the section's table is written in a file.
func (s *Section) header() string {
	if s.Each != nil {
		return "[[" + s.Name + "]]"
	}
	return "[" + s.Name + "]"
}

func (s *Schema) section(name string) *Section {
	for i := range s.sections {
		if s.sections[i].Name == name {
			return &s.sections[i]
		}
	}
	return nil
}

// Finding is one thing that is wrong with a file, at its place, with the mend.
type Finding struct {
	File         string `json:"file"`
	Line, Column int    // from 1; columns count characters
	Key          string `json:"key,omitempty"`
	Warning      bool   `json:"warning,omitempty"` // it will hurt, but breaks nothing
	Text         string `json:"text"`
}

func (f Finding) String() string {
	place := fmt.Sprintf("%s:%d:%d: ", f.File, f.Line, f.Column)
	if f.Warning {
		place += "warning: "
	}
	if f.Key != "" {
		place += f.Key + ": "
	}
	return place + f.Text
}

// ByPlace compares two findings of a file by where they stand.
func ByPlace(a, b Finding) int { return cmp.Or(a.Line-b.Line, a.Column-b.Column) }

// Error is all findings of one file, in the order of their places.
type Error []Finding

func (e Error) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Values is what a file sets, each setting by its path ("callers.body_timeout", "listener[0].name") in
// canonical form.
type Values map[string]Setting

// Place is where something stands in a file, from 1; columns count characters.
type Place struct{ Line, Column int }

// Places says where a file's tables and settings stand, by their paths ("route[0]", "route[0].name").
type Places map[string]Place

// Setting is one value that a file sets.
type Setting struct {
	Text string
	Live bool
}

// Fixed lists the paths whose values differ between two readings and cannot change while running. A setting that
// one of the files leaves out differs too: its default may be another value.
func Fixed(before, after Values) []string {
	var paths []string
	differ := func(a, b Values) {
		for path, v := range a {
			if w, both := b[path]; !v.Live && (!both || w.Text != v.Text) && !slices.Contains(paths, path) {
				paths = append(paths, path)
			}
		}
	}
	differ(before, after)
	differ(after, before)
	slices.Sort(paths)
	return paths
}
