package operator

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/agext/levenshtein"
	"github.com/pelletier/go-toml/v2/unstable"
)

const (
	// MaxFile is the longest operator file, in bytes: a person writes a few KiB.
	MaxFile = 1 << 20
	// maxFindings of one file are told; a file with more is not an operator file.
	maxFindings = 100
	// maxNesting of brackets in a value. No setting has more than one level, and the TOML parser recurses.
	maxNesting = 8
)

// Parse reads a file's text into the variables that the schema's keys are bound to. Where it returns an error,
// it is an Error with every finding, and the variables may be partly set: bind them to a copy and throw that
// away, so that a bad file changes nothing.
func (s *Schema) Parse(file string, text []byte) (Values, error) {
	values, _, err := s.ParsePlaced(file, text)
	return values, err
}

// ParsePlaced is Parse for who finds more to say of the file: it tells where everything stands.
func (s *Schema) ParsePlaced(file string, text []byte) (Values, Places, error) {
	p := &parsing{
		schema: s, file: file, text: text, values: Values{}, set: Places{}, tables: map[string]int{},
	}
	p.run()
	if len(p.findings) > 0 {
		slices.SortStableFunc(p.findings, ByPlace)
		return nil, p.set, Error(p.findings)
	}
	return p.values, p.set, nil
}

// parsing is one reading of one file.
type parsing struct {
	schema   *Schema
	file     string
	text     []byte
	findings []Finding
	values   Values
	set      Places
	tables   map[string]int // how often each table has been seen
	lines    lineCount

	section *Section // of the table at hand; nil before the first and within an unknown one
	path    string   // of the table at hand
	keys    []Key
	check   func() []Problem
	at      int            // the offset of the table's header
	places  map[string]int // of the table's keys
	unsound bool           // a key of the table has a finding, so that its check says nothing of use
	lost    bool           // the last header made no sense: what follows belongs to no known table
}

func (p *parsing) find(offset int, key, format string, v ...any) {
	if len(p.findings) >= maxFindings {
		return
	}
	at := p.place(offset)
	f := Finding{File: p.file, Line: at.Line, Column: at.Column, Key: key, Text: fmt.Sprintf(format, v...)}
	if !slices.Contains(p.findings, f) {
		p.findings = append(p.findings, f)
	}
}

// lineCount is how far the lines have been counted.
type lineCount struct{ offset, line, start int }

// place is an offset's line and column. Offsets mostly grow, so it counts on from the last.
func (p *parsing) place(offset int) Place {
	offset = min(max(offset, 0), len(p.text))
	if offset < p.lines.offset {
		p.lines = lineCount{}
	}
	passed := p.text[p.lines.offset:offset]
	p.lines.line += bytes.Count(passed, []byte("\n"))
	if at := bytes.LastIndexByte(passed, '\n'); at >= 0 {
		p.lines.start = p.lines.offset + at + 1
	}
	p.lines.offset = offset
	return Place{p.lines.line + 1, utf8.RuneCount(p.text[p.lines.start:offset]) + 1}
}

func (p *parsing) run() {
	if len(p.text) > MaxFile {
		p.find(0, "", "the file has %d bytes; at most %d are read", len(p.text), MaxFile)
		return
	}
	if !utf8.Valid(p.text) {
		at := 0
		for at < len(p.text) {
			r, n := utf8.DecodeRune(p.text[at:])
			if r == utf8.RuneError && n == 1 {
				break
			}
			at += n
		}
		p.find(at, "", "the text is not UTF-8; save the file as UTF-8")
		return
	}
	if at := tooDeep(p.text); at >= 0 {
		p.find(at, "", "brackets are nested more than %d deep; no setting needs more than one level", maxNesting)
		return
	}
	// The TOML parser ends at the first fault in the syntax. What stands on later lines is read all the same, so
	// that one run tells of every fault.
	for start := 0; start < len(p.text) && len(p.findings) < maxFindings; {
		start = p.part(start)
	}
	p.endTable()
	for i := range p.schema.sections {
		sec := &p.schema.sections[i]
		if sec.Present != nil {
			*sec.Present = p.tables[sec.Name] > 0
		}
	}
}

// tooDeep is where brackets nest too deep, or -1. It does not look into strings, where it may count brackets that
// are none: nobody writes so many in a row.
func tooDeep(text []byte) int {
	depth := 0
	for i, c := range text {
		switch c {
		case '[', '{':
			if depth++; depth > maxNesting {
				return i
			}
		case ']', '}':
			depth = max(depth-1, 0)
		case '\n':
			if i+1 < len(text) && text[i+1] == '[' {
				depth = 0 // the next table's header
			}
		}
	}
	return -1
}

// part reads from an offset to the end or the first fault in the syntax, and returns where to go on.
func (p *parsing) part(start int) int {
	var toml unstable.Parser
	toml.Reset(p.text[start:])
	for toml.NextExpression() {
		p.expression(&toml, start, toml.Expression())
	}
	err := toml.Error()
	if err == nil {
		return len(p.text)
	}
	at := len(p.text)
	var fault *unstable.ParserError
	if errors.As(err, &fault) && len(fault.Highlight) > 0 {
		at = start + int(toml.Range(fault.Highlight).Offset)
	}
	line := bytes.LastIndexByte(p.text[:min(at, len(p.text))], '\n') + 1
	p.unsound = true
	p.find(at, "", "not TOML: %s", syntaxMend(err.Error(), p.text[line:], p.text[at:]))
	if bytes.HasPrefix(bytes.TrimLeft(p.text[line:], " \t"), []byte("[")) {
		p.endTable()
		p.section, p.lost = nil, true
	}
	next := bytes.IndexByte(p.text[at:], '\n')
	if next < 0 {
		return len(p.text)
	}
	return at + next + 1
}

// syntaxMend adds the mend to the faults that people make most. rest begins with the faulty line, and at is the
// text from the fault on.
func syntaxMend(problem string, rest, at []byte) string {
	if r, n := utf8.DecodeRune(at); n > 1 {
		// The TOML parser names the first byte of a letter that has several.
		problem = strings.Replace(problem, fmt.Sprintf("%#U", at[0]), fmt.Sprintf("%#U", r), 1)
	}
	line, _, _ := strings.Cut(string(rest), "\n")
	_, value, _ := strings.Cut(line, "=")
	value = strings.TrimSpace(value)
	begins := func(set string) bool { return value != "" && strings.ContainsRune(set, rune(value[0])) }
	newline := strings.HasPrefix(problem, "expected newline")
	switch {
	case strings.ContainsAny(line, "“”"):
		return problem + `; write plain quotes (")`
	case strings.Contains(problem, "must be quoted"), newline && begins("0123456789"):
		return problem + `; put a value with a unit in quotes, such as "750ms"`
	case strings.HasPrefix(problem, "unexpected character") && value == "":
		return problem + "; write key = value"
	case strings.HasPrefix(problem, "unexpected character"), newline && !begins("\"'[{"):
		return problem + "; put words in quotes"
	case newline:
		return problem + "; write one setting on a line"
	case strings.HasPrefix(problem, "expected '='"), strings.HasPrefix(problem, "expected key"),
		strings.HasPrefix(problem, "invalid character at start of key"), strings.HasPrefix(problem, "expected value"):
		return problem + "; write key = value"
	case strings.Contains(problem, "strings cannot have new lines"):
		return problem + "; close the quotes on the line where they open"
	case strings.Contains(problem, "array is incomplete"):
		return problem + "; close it with ]"
	}
	return problem
}

func (p *parsing) expression(toml *unstable.Parser, start int, n *unstable.Node) {
	path, at := keyOf(n, start)
	switch n.Kind {
	case unstable.Table, unstable.ArrayTable:
		p.beginTable(path, at, n.Kind == unstable.ArrayTable)
	case unstable.KeyValue:
		p.keyValue(path, at, start, n)
	}
}

// keyOf is a node's dotted key, in parts, and the offset of its first.
func keyOf(n *unstable.Node, start int) (parts []string, at int) {
	at = -1
	for it := n.Key(); it.Next(); {
		if at < 0 {
			at = start + int(it.Node().Raw.Offset)
		}
		parts = append(parts, string(it.Node().Data))
	}
	return parts, at
}

func (p *parsing) beginTable(path []string, at int, array bool) {
	p.endTable()
	name := strings.Join(path, ".")
	p.section, p.lost, p.at = nil, true, at
	sec := p.schema.section(name)
	switch {
	case sec == nil:
		p.find(at, "", "unknown section [%s]%s", name, p.didYouMeanSection(name))
		return
	case sec.Each == nil && array:
		p.find(at, "", "[[%s]] where [%s] is expected: the section occurs only once", name, name)
		return
	case sec.Each != nil && !array:
		p.find(at, "", "[%s] where [[%s]] is expected: the section may occur several times", name, name)
		return
	case sec.Each == nil && p.tables[name] > 0:
		p.find(at, "", "[%s] occurs twice; put its keys into one table", name)
		return
	case sec.Each != nil && p.tables[name] >= sec.MostTables:
		p.find(at, "", "more than %d [[%s]]", sec.MostTables, name)
		return
	}
	p.enter(sec, at)
}

// enter makes a section the one at hand.
func (p *parsing) enter(sec *Section, at int) {
	p.section, p.lost, p.at, p.unsound, p.places = sec, false, at, false, map[string]int{}
	p.path, p.keys, p.check = sec.Name, sec.Keys, sec.Check
	if sec.Each != nil {
		p.path = fmt.Sprintf("%s[%d]", sec.Name, p.tables[sec.Name])
		p.keys, p.check = sec.Each()
	}
	p.tables[sec.Name]++
	p.set[p.path] = p.place(at)
}

func (p *parsing) endTable() {
	if p.section == nil {
		return
	}
	for _, k := range p.keys {
		if _, set := p.places[k.Name]; k.Required && !set {
			p.unsound = true
			p.find(p.at, p.path+"."+k.Name, "missing; it has no default (%s)", k.value.allowed())
		}
	}
	if p.check != nil && !p.unsound {
		for _, problem := range p.check() {
			at, set := p.places[problem.Key]
			if !set {
				at = p.at
			}
			p.find(at, p.path+"."+problem.Key, "%s", problem.Text)
		}
	}
	p.section = nil
}

func (p *parsing) keyValue(path []string, at, start int, n *unstable.Node) {
	switch {
	case p.lost:
		return // the header has its finding; whose keys these are is not known
	case p.section == nil && len(path) == 1:
		if sec := p.schema.section(path[0]); sec != nil {
			p.find(at, "", "%s is a section; write it as [%s] on a line of its own", path[0], path[0])
			return
		}
		p.find(at, "", "%s is set before any section%s", path[0], p.homeOf(path[0]))
		return
	case p.section == nil:
		p.find(at, "", "%s: write its section as [%s] on a line of its own", strings.Join(path, "."), path[0])
		return
	case len(path) > 1:
		p.unsound = true
		p.find(at, "", "%s.%s: dotted keys are not allowed within a section", p.path, strings.Join(path, "."))
		return
	}
	name, full := path[0], p.path+"."+path[0]
	i := slices.IndexFunc(p.keys, func(k Key) bool { return k.Name == name })
	if i < 0 {
		p.unsound = true
		p.find(at, full, "unknown key%s", p.didYouMeanKey(name))
		return
	}
	if _, twice := p.places[name]; twice {
		p.unsound = true
		p.find(at, full, "set twice; the first is on line %d", p.set[full].Line)
		return
	}
	p.places[name] = at
	p.set[full] = p.place(at)
	v := n.Value()
	k := p.keys[i]
	if problem := k.value.set(tokenOf(v)); problem != "" {
		p.unsound = true
		if v.Raw.Length > 0 {
			at = start + int(v.Raw.Offset)
		}
		p.find(at, full, "%s", problem)
		return
	}
	p.values[full] = Setting{k.value.text(), k.Live}
}

func tokenOf(n *unstable.Node) token {
	t := token{text: string(n.Data)}
	switch n.Kind {
	case unstable.String:
		t.kind = aString
	case unstable.Bool:
		t.kind = aBool
	case unstable.Integer:
		t.kind = anInt
	case unstable.Float:
		t.kind = aFloat
	case unstable.Array:
		t.kind = aList
		for it := n.Children(); it.Next(); {
			t.items = append(t.items, tokenOf(it.Node()))
		}
	case unstable.InlineTable:
		t.kind = aTable
	default:
		t.kind = aDate
	}
	return t
}

// nearest is the known word that a misspelt one was most likely meant to be, or "".
func nearest(got string, known []string) string {
	best, bestDistance := "", math.MaxInt
	for _, word := range known {
		if len(word) > 2 && strings.HasPrefix(strings.ToLower(got), word) {
			return word
		}
		d := levenshtein.Distance(strings.ToLower(got), word, nil)
		if d < bestDistance {
			best, bestDistance = word, d
		}
	}
	if bestDistance > max(2, len(best)/3) {
		return ""
	}
	return best
}

func (p *parsing) didYouMeanSection(name string) string {
	known := make([]string, len(p.schema.sections))
	for i, s := range p.schema.sections {
		known[i] = s.Name
	}
	if near := nearest(name, known); near != "" {
		return fmt.Sprintf("; did you mean [%s]?", near)
	}
	return "; known names are " + strings.Join(known, ", ")
}

func (p *parsing) didYouMeanKey(name string) string {
	known := make([]string, len(p.keys))
	for i, k := range p.keys {
		known[i] = k.Name
	}
	if near := nearest(name, known); near != "" {
		return fmt.Sprintf("; did you mean %s?", near)
	}
	if home := p.homeOf(name); home != "" {
		return home
	}
	return "; known names are " + strings.Join(known, ", ")
}

// homeOf says which section has a key of that name, if one does.
func (p *parsing) homeOf(name string) string {
	for i := range p.schema.sections {
		s := &p.schema.sections[i]
		if slices.ContainsFunc(s.describe(), func(k Key) bool { return k.Name == name }) {
			return fmt.Sprintf("; it belongs to [%s]", s.Name)
		}
	}
	return ""
}
