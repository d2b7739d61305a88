package operator

import (
	"encoding/json"
	"fmt"
	"strings"
)

// JSONSchema is the file's shape as JSON Schema (draft 2020-12), for editors. It says what a single value may be;
// ranges of durations and sizes stand as x-minimum and x-maximum, which only the checker enforces, as it does
// what values must be together.
func (s *Schema) JSONSchema() ([]byte, error) {
	properties := map[string]any{}
	for i := range s.sections {
		sec := &s.sections[i]
		table := map[string]any{"type": "object", "additionalProperties": false, "description": sec.Doc}
		keys, required := map[string]any{}, []string{}
		for _, k := range sec.describe() {
			one := k.value.schema()
			one["description"] = k.Doc
			one["x-reload"] = k.Live
			if !k.Required {
				one["x-default"] = k.value.text()
			} else {
				required = append(required, k.Name)
			}
			keys[k.Name] = one
		}
		table["properties"] = keys
		if len(required) > 0 {
			table["required"] = required
		}
		if sec.Each != nil {
			table = map[string]any{"type": "array", "maxItems": sec.MostTables, "items": table, "description": sec.Doc}
		}
		properties[sec.Name] = table
	}
	return json.MarshalIndent(map[string]any{
		"$schema": "https://json-schema.org/draft/2020-12/schema",
		"title":   "brasswell operator file", "type": "object",
		"additionalProperties": false, "properties": properties,
	}, "", "  ")
}

// Reference is the page that describes every setting, in Markdown.
func (s *Schema) Reference() string {
	var b strings.Builder
	b.WriteString("# The operator file\n\nMade by `brasswell schema --format markdown` from the program's own descriptions; a test keeps it so.\n" +
		"Durations and sizes carry their unit (`\"750ms\"`, `\"64KiB\"`). An unknown key is an error.\n")
	for i := range s.sections {
		sec := &s.sections[i]
		fmt.Fprintf(&b, "\n## `%s`\n\n%s\n\nWithout it: %s\n", sec.header(), sec.Doc, sec.Absent)
		if sec.Each != nil {
			fmt.Fprintf(&b, "\nAt most %d of them.\n", sec.MostTables)
		}
		b.WriteString("\n| key | type | allowed | default | reload | what it does |\n| --- | --- | --- | --- | --- | --- |\n")
		for _, k := range sec.describe() {
			def, live := "`"+k.value.text()+"`", "next start"
			if k.Required {
				def = "must be set"
			}
			if k.Live {
				live = "at once"
			}
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", k.Name, k.value.typeName(), k.value.allowed(), def, live, k.Doc)
		}
	}
	return b.String()
}

// Example is a file with every section and key at its default, commented out: absent sections stay off.
func (s *Schema) Example() string {
	var b strings.Builder
	b.WriteString("# The operator file: every setting at its default, commented out. docs/reference/operator.md tells of each.\n" +
		"# Check a change with `brasswell check FILE` before it is used.\n")
	for i := range s.sections {
		sec := &s.sections[i]
		fmt.Fprintf(&b, "\n# %s\n# Without it: %s\n# %s\n", sec.Doc, sec.Absent, sec.header())
		for _, k := range sec.describe() {
			def := k.value.text()
			if k.Required {
				def += "   # must be set"
			}
			fmt.Fprintf(&b, "# %s = %s\n", k.Name, def)
		}
	}
	return b.String()
}
