package operator

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
)

// kind is a TOML type as a person would call it.
type kind string

const (
	aString  kind = "a string"
	anInt    kind = "a whole number"
	aFloat   kind = "a number"
	aBool    kind = "true or false"
	aList    kind = "a list"
	aTable   kind = "a table"
	aDate    kind = "a date or time"
	maxItems      = 256 // in a list
)

// token is a value as the file has it.
type token struct {
	kind  kind
	text  string // a string's content, other values as written
	items []token
}

// value is one setting's type, bound to the variable that it sets.
type value interface {
	// set takes a value in, or says what is wrong and how to mend it.
	set(token) (problem string)
	// typeName and allowed are for people.
	typeName() string
	allowed() string
	// text is the present value in TOML.
	text() string
	// schema is the JSON Schema of the value.
	schema() map[string]any
}

func wrongType(t token, want kind, example string) string {
	return fmt.Sprintf("%s where %s is expected; write one such as %s", t.kind, want, example)
}

// Duration is a time with its unit, between least and most.
func Duration(name string, v *time.Duration, least, most time.Duration, doc string) Key {
	return Key{Name: name, Doc: doc, value: &duration{v, least, most}}
}

type duration struct {
	v           *time.Duration
	least, most time.Duration
}

// plain writes a duration without the zero units that time.Duration adds.
func plain(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

func (d *duration) example() string { return strconv.Quote(plain(*d.v)) }

func (d *duration) set(t token) string {
	switch {
	case t.kind == anInt || t.kind == aFloat:
		return fmt.Sprintf("%s has no unit; write a duration such as %s (%s)", t.text, d.example(), d.allowed())
	case t.kind != aString:
		return wrongType(t, "a duration", d.example())
	}
	if _, err := strconv.ParseFloat(t.text, 64); err == nil && t.text != "0" {
		return fmt.Sprintf("%q has no unit; write a duration such as %s (%s)", t.text, d.example(), d.allowed())
	}
	got, err := time.ParseDuration(t.text)
	if err != nil {
		return fmt.Sprintf("%q is not a duration; units are ms, s, m and h, as in %s", t.text, d.example())
	}
	if got < d.least || got > d.most {
		return fmt.Sprintf("%s is out of range; allowed is %s", t.text, d.allowed())
	}
	*d.v = got
	return ""
}

func (d *duration) typeName() string { return "duration" }
func (d *duration) allowed() string  { return plain(d.least) + " to " + plain(d.most) }
func (d *duration) text() string     { return strconv.Quote(plain(*d.v)) }
func (d *duration) schema() map[string]any {
	return map[string]any{
		"type": "string", "pattern": `^(0|[+]?(([0-9]+(\.[0-9]*)?|\.[0-9]+)(ns|us|µs|μs|ms|s|m|h))+)$`,
		"x-minimum": plain(d.least), "x-maximum": plain(d.most),
	}
}

// Size is a number of bytes with its unit, between least and most.
func Size(name string, v *int64, least, most int64, doc string) Key {
	return Key{Name: name, Doc: doc, value: &size{v, least, most}}
}

type size struct {
	v           *int64
	least, most int64
}

func inUnits(n int64) string {
	return strings.NewReplacer(" ", "", ".0 ", "").Replace(humanize.IBytes(uint64(n)))
}

func (s *size) example() string { return strconv.Quote(inUnits(*s.v)) }

func (s *size) set(t token) string {
	switch {
	case t.kind == anInt || t.kind == aFloat:
		return fmt.Sprintf("%s has no unit; write a size such as %s (%s)", t.text, s.example(), s.allowed())
	case t.kind != aString:
		return wrongType(t, "a size", s.example())
	}
	if strings.TrimLeft(t.text, "0123456789.") == "" {
		return fmt.Sprintf("%q has no unit; write a size such as %s (%s)", t.text, s.example(), s.allowed())
	}
	got, err := humanize.ParseBytes(t.text)
	if err != nil || strings.ContainsAny(t.text, ", ") {
		return fmt.Sprintf("%q is not a size; units are B, KiB, MiB and GiB, as in %s", t.text, s.example())
	}
	if got > math.MaxInt64 || int64(got) < s.least || int64(got) > s.most {
		return fmt.Sprintf("%s is out of range; allowed is %s", t.text, s.allowed())
	}
	*s.v = int64(got)
	return ""
}

func (s *size) typeName() string { return "size" }
func (s *size) allowed() string  { return inUnits(s.least) + " to " + inUnits(s.most) }
func (s *size) text() string     { return s.example() }
func (s *size) schema() map[string]any {
	return map[string]any{
		"type": "string", "pattern": `^[0-9]*\.?[0-9]*([bB]|[kKmMgGtTpPeE]([iI]?[bB]?)?)$`,
		"x-minimum": inUnits(s.least), "x-maximum": inUnits(s.most),
	}
}

// Int is a whole number between least and most.
func Int(name string, v *int, least, most int, doc string) Key {
	return Key{Name: name, Doc: doc, value: &integer{v, least, most}}
}

type integer struct {
	v           *int
	least, most int
}

func (n *integer) set(t token) string {
	if t.kind != anInt {
		return wrongType(t, anInt, n.text())
	}
	got, err := strconv.ParseInt(strings.ReplaceAll(t.text, "_", ""), 0, 64)
	if err != nil || got < int64(n.least) || got > int64(n.most) {
		return fmt.Sprintf("%s is out of range; allowed is %s", t.text, n.allowed())
	}
	*n.v = int(got)
	return ""
}

func (n *integer) typeName() string { return "whole number" }
func (n *integer) allowed() string  { return fmt.Sprintf("%d to %d", n.least, n.most) }
func (n *integer) text() string     { return strconv.Itoa(*n.v) }
func (n *integer) schema() map[string]any {
	return map[string]any{"type": "integer", "minimum": n.least, "maximum": n.most}
}

// Float is a number between least and most.
func Float(name string, v *float64, least, most float64, doc string) Key {
	return Key{Name: name, Doc: doc, value: &float{v, least, most}}
}

type float struct {
	v           *float64
	least, most float64
}

func (n *float) set(t token) string {
	if t.kind != anInt && t.kind != aFloat {
		return wrongType(t, aFloat, n.text())
	}
	got, err := strconv.ParseFloat(strings.ReplaceAll(t.text, "_", ""), 64)
	if err != nil || !(got >= n.least && got <= n.most) {
		return fmt.Sprintf("%s is out of range; allowed is %s", t.text, n.allowed())
	}
	*n.v = got
	return ""
}

func (n *float) typeName() string { return "number" }
func (n *float) allowed() string  { return fmt.Sprintf("%g to %g", n.least, n.most) }
func (n *float) text() string {
	s := strconv.FormatFloat(*n.v, 'f', -1, 64)
	if !strings.Contains(s, ".") {
		s += ".0"
	}
	return s
}
func (n *float) schema() map[string]any {
	return map[string]any{"type": "number", "minimum": n.least, "maximum": n.most}
}

// Bool is true or false.
func Bool(name string, v *bool, doc string) Key {
	return Key{Name: name, Doc: doc, value: (*boolean)(v)}
}

type boolean bool

func (b *boolean) set(t token) string {
	if t.kind != aBool {
		return wrongType(t, aBool, "true")
	}
	*b = t.text == "true"
	return ""
}

func (b *boolean) typeName() string       { return "true or false" }
func (b *boolean) allowed() string        { return "true, false" }
func (b *boolean) text() string           { return strconv.FormatBool(bool(*b)) }
func (b *boolean) schema() map[string]any { return map[string]any{"type": "boolean"} }

// Choice is one of some words.
func Choice(name string, v *string, words []string, doc string) Key {
	return Key{Name: name, Doc: doc, value: &choice{v, words}}
}

type choice struct {
	v     *string
	words []string
}

func (c *choice) set(t token) string {
	if t.kind != aString {
		return wrongType(t, "one of "+kind(c.allowed()), strconv.Quote(*c.v))
	}
	if !slices.Contains(c.words, t.text) {
		problem := fmt.Sprintf("%q is not known; allowed is %s", t.text, c.allowed())
		if near := nearest(t.text, c.words); near != "" {
			problem += fmt.Sprintf("; did you mean %q?", near)
		}
		return problem
	}
	*c.v = t.text
	return ""
}

func (c *choice) typeName() string { return "word" }
func (c *choice) allowed() string {
	quoted := make([]string, len(c.words))
	for i, w := range c.words {
		quoted[i] = strconv.Quote(w)
	}
	return strings.Join(quoted, ", ")
}
func (c *choice) text() string { return strconv.Quote(*c.v) }
func (c *choice) schema() map[string]any {
	return map[string]any{"type": "string", "enum": c.words}
}

// Address is host:port, with a port from 0 (any free one) to 65535.
func Address(name string, v *string, doc string) Key {
	return Key{Name: name, Doc: doc, value: (*address)(v)}
}

type address string

func (a *address) set(t token) string {
	if t.kind != aString {
		return wrongType(t, "an address", `"127.0.0.1:8080"`)
	}
	_, port, err := net.SplitHostPort(t.text)
	if n, portErr := strconv.ParseUint(port, 10, 16); err != nil || portErr != nil || n > math.MaxUint16 {
		return fmt.Sprintf(`%q is not an address; write host:port, such as "127.0.0.1:8080"`, t.text)
	}
	*a = address(t.text)
	return ""
}

func (a *address) typeName() string { return "address" }
func (a *address) allowed() string  { return "host:port" }
func (a *address) text() string     { return strconv.Quote(string(*a)) }
func (a *address) schema() map[string]any {
	return map[string]any{"type": "string", "pattern": `:[0-9]{1,5}$`}
}

// Name is a word of lower-case letters, digits and hyphens that begins with a letter, of 40 characters at most.
func Name(name string, v *string, doc string) Key {
	return Key{Name: name, Doc: doc, value: (*word)(v)}
}

type word string

const maxName = 40

func (w *word) set(t token) string {
	if t.kind != aString {
		return wrongType(t, "a name", `"search-front"`)
	}
	sound := t.text != "" && len(t.text) <= maxName && t.text[0] >= 'a' && t.text[0] <= 'z' &&
		strings.Trim(t.text, "abcdefghijklmnopqrstuvwxyz0123456789-") == "" && !strings.ContainsFunc(t.text, func(r rune) bool {
		return !(r >= 'a' && r <= 'z' || r >= '0' && r <= '9' || r == '-')
	})
	if !sound {
		return fmt.Sprintf("%q is not a valid name; allowed is %s", t.text, w.allowed())
	}
	*w = word(t.text)
	return ""
}

func (w *word) typeName() string { return "name" }
func (w *word) allowed() string  { return "a to z, 0 to 9 and -, starting with a letter, 40 at most" }
func (w *word) text() string     { return strconv.Quote(string(*w)) }
func (w *word) schema() map[string]any {
	return map[string]any{"type": "string", "pattern": `^[a-z][a-z0-9-]{0,39}$`}
}

// List is a list of strings, of which check, if not nil, says what is wrong with one.
func List(name string, v *[]string, check func(string) string, doc string) Key {
	return Key{Name: name, Doc: doc, value: &list{v, check}}
}

type list struct {
	v     *[]string
	check func(string) string
}

func (l *list) set(t token) string {
	if t.kind != aList {
		return wrongType(t, aList, `["one", "two"]`)
	}
	if len(t.items) > maxItems {
		return fmt.Sprintf("%d entries; at most %d are allowed", len(t.items), maxItems)
	}
	got := make([]string, 0, len(t.items))
	for i, item := range t.items {
		if item.kind != aString {
			return fmt.Sprintf("entry %d is %s where a string is expected", i+1, item.kind)
		}
		if l.check != nil {
			if problem := l.check(item.text); problem != "" {
				return fmt.Sprintf("entry %d: %s", i+1, problem)
			}
		}
		got = append(got, item.text)
	}
	*l.v = got
	return ""
}

func (l *list) typeName() string { return "list of strings" }
func (l *list) allowed() string  { return fmt.Sprintf("%d entries at most", maxItems) }
func (l *list) text() string {
	quoted := make([]string, len(*l.v))
	for i, s := range *l.v {
		quoted[i] = strconv.Quote(s)
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}
func (l *list) schema() map[string]any {
	return map[string]any{"type": "array", "maxItems": maxItems, "items": map[string]any{"type": "string"}}
}

// Text is a short text, whose content the section's check validates.
func Text(name string, v *string, doc string) Key {
	return Key{Name: name, Doc: doc, value: (*phrase)(v)}
}

type phrase string

const maxPhrase = 1024

func (p *phrase) set(t token) string {
	switch {
	case t.kind != aString:
		return wrongType(t, aString, `"text"`)
	case len(t.text) > maxPhrase:
		return fmt.Sprintf("%d bytes; at most %d are allowed", len(t.text), maxPhrase)
	}
	*p = phrase(t.text)
	return ""
}

func (p *phrase) typeName() string { return "text" }
func (p *phrase) allowed() string  { return fmt.Sprintf("%d bytes at most", maxPhrase) }
func (p *phrase) text() string     { return strconv.Quote(string(*p)) }
func (p *phrase) schema() map[string]any {
	return map[string]any{"type": "string", "maxLength": maxPhrase}
}

// Path is a file's name, or empty.
func Path(name string, v *string, doc string) Key {
	return Key{Name: name, Doc: doc, value: (*path)(v)}
}

type path string

const maxPath = 4096

func (p *path) set(t token) string {
	switch {
	case t.kind != aString:
		return wrongType(t, "a file's name", `"/etc/brasswell/settings.json"`)
	case len(t.text) > maxPath || strings.ContainsRune(t.text, 0):
		return fmt.Sprintf("not a valid file name; at most %d bytes are allowed, none of them 0", maxPath)
	}
	*p = path(t.text)
	return ""
}

func (p *path) typeName() string { return "file" }
func (p *path) allowed() string  { return "a file's name, or empty" }
func (p *path) text() string     { return strconv.Quote(string(*p)) }
func (p *path) schema() map[string]any {
	return map[string]any{"type": "string", "maxLength": maxPath}
}
