package config

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
	"github.com/santhosh-tekuri/jsonschema/v6"

	"brasswell/internal/operator"
)

var update = flag.Bool("update", false, "write the expected messages and generated pages anew")

// files is the texts of a folder's operator files, by name.
func files(t testing.TB, folder string) map[string][]byte {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join("testdata", folder, "*.toml"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no files in %s (%v)", folder, err)
	}
	all := map[string][]byte{}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		all[filepath.Base(path)] = text
	}
	return all
}

// same compares text with a file beside the tests, or writes it anew with -update.
func same(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s: got\n%s\nwant\n%s", path, got, want)
	}
}

// TestBrokenOperatorFiles holds each broken file against the exact messages beside it.
func TestBrokenOperatorFiles(t *testing.T) {
	broken := files(t, "broken")
	if len(broken) < 60 {
		t.Errorf("only %d broken files", len(broken))
	}
	for name, text := range broken {
		t.Run(name, func(t *testing.T) {
			o, err := ParseOperator(name, text)
			if err == nil || o != nil {
				t.Fatal("taken as sound")
			}
			same(t, filepath.Join("testdata", "broken", strings.TrimSuffix(name, ".toml")+".want"), err.Error()+"\n")
		})
	}
}

func TestNearMissesPass(t *testing.T) {
	for name, text := range files(t, "sound") {
		t.Run(name, func(t *testing.T) {
			if _, err := ParseOperator(name, text); err != nil {
				t.Error(err)
			}
		})
	}
}

func TestEveryKeyIsSet(t *testing.T) {
	text := files(t, "sound")["every-key.toml"]
	o, err := ParseOperator("every-key.toml", text)
	if err != nil {
		t.Fatal(err)
	}
	want := DefaultOperator()
	want.Proxy.Channels.Enabled = true // the section itself turns them on
	want.Fleet.Enabled, want.Fleet.Name, want.Fleet.Listen, want.Fleet.Seeds = true, "shelf", "127.0.0.1:7946", []string{"127.0.0.2:7946"}
	want.Rules.Enabled, want.Rules.Voters, want.Rules.Folder = true, []string{"n1", "n2", "n3"}, "/var/lib/brasswell"
	if !reflect.DeepEqual(o.Rules, want.Rules) {
		t.Errorf("rules: %+v", o.Rules)
	}
	if !reflect.DeepEqual(o.Fleet, want.Fleet) {
		t.Errorf("fleet: %+v", o.Fleet)
	}
	if !reflect.DeepEqual(o.Proxy, want.Proxy) || !reflect.DeepEqual(o.Log, want.Log) {
		t.Errorf("the file that states the defaults sets %+v %+v", o.Proxy, o.Log)
	}
	if len(o.Listeners) != 1 || *o.Listeners[0] != (Listener{"branch", "127.0.0.1:0", "[::1]:8500", "branch.json", 0.5}) {
		t.Errorf("listeners %+v", o.Listeners)
	}
	schema, err := o.Schema()
	if err != nil {
		t.Fatal(err)
	}
	keys := strings.Count(schema.Example(), " = ")
	if len(o.Values) != keys {
		t.Errorf("the file sets %d of %d settings: add what is new", len(o.Values), keys)
	}
}

// compiled is the generated JSON Schema, ready to check values.
func compiled(t *testing.T) *jsonschema.Schema {
	t.Helper()
	s, err := DefaultOperator().Schema()
	if err != nil {
		t.Fatal(err)
	}
	text, err := s.JSONSchema()
	if err != nil {
		t.Fatal(err)
	}
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		t.Fatal(err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("operator.json", doc); err != nil {
		t.Fatal(err)
	}
	compiled, err := c.Compile("operator.json")
	if err != nil {
		t.Fatal(err)
	}
	return compiled
}

// asJSON is a TOML text's values as a JSON Schema validator takes them; ok is false where it is not TOML.
func asJSON(t *testing.T, text []byte) (v any, ok bool) {
	t.Helper()
	var doc map[string]any
	if toml.Unmarshal(text, &doc) != nil {
		return nil, false
	}
	encoded, err := json.Marshal(doc)
	if err != nil {
		return nil, false // NaN, which JSON does not have
	}
	v, err = jsonschema.UnmarshalJSON(bytes.NewReader(encoded))
	if err != nil {
		t.Fatal(err)
	}
	return v, true
}

// TestSchemaAgreesWithChecker: what the checker takes, the schema takes, and what the schema turns away, the
// checker turns away. The other way round only these differ, which no schema of single values can tell.
func TestSchemaAgreesWithChecker(t *testing.T) {
	schema := compiled(t)
	for name, text := range files(t, "sound") {
		if v, ok := asJSON(t, text); !ok {
			t.Errorf("sound/%s: not TOML to the library's own decoder", name)
		} else if err := schema.Validate(v); err != nil {
			t.Errorf("sound/%s: %v", name, err)
		}
	}
	onlyChecker := map[string]string{
		"range": "duration-overflow duration-too-long duration-too-short size-overflow size-too-large size-too-small address-port-too-large recovery-every",
		"together": "burst-under-rate idle-under-default-once-idle listener-address-taken listener-name-taken listener-shares " +
			"fleet-advertise fleet-listen-everywhere fleet-listen-name fleet-network fleet-nobody fleet-own-network fleet-port-zero " +
			"rules-keeper-twice rules-two-keepers rules-without-fleet fleet-seed-elsewhere fleet-seed-name once-idle-over-idle slack-too-long channels-tenant-over-most channels-pong-under-write park-after-at-idle park-after-too-short",
		"the same value in another form": "section-dotted section-inline",
	}
	var allowed []string
	for _, names := range onlyChecker {
		allowed = append(allowed, strings.Fields(names)...)
	}
	passed := map[string]bool{}
	for name, text := range files(t, "broken") {
		if v, ok := asJSON(t, text); ok && schema.Validate(v) == nil {
			passed[strings.TrimSuffix(name, ".toml")] = true
		}
	}
	for _, name := range allowed {
		if !passed[name] {
			t.Errorf("%s: the schema turns it away; it need not stand in this list", name)
		}
		delete(passed, name)
	}
	for name := range passed {
		t.Errorf("broken/%s: the schema takes it", name)
	}
}

// TestGeneratedPages holds the pages that come with the program against its own descriptions.
func TestGeneratedPages(t *testing.T) {
	s, err := DefaultOperator().Schema()
	if err != nil {
		t.Fatal(err)
	}
	root := filepath.Join("..", "..")
	same(t, filepath.Join(root, "docs", "reference", "operator.md"), s.Reference())
	same(t, filepath.Join(root, "deploy", "operator.toml"), s.Example())
	if _, err := ParseOperator("operator.toml", []byte(s.Example())); err != nil {
		t.Error(err)
	}
	// With every comment mark taken off, the tables in which no value must be set are sound too.
	for table := range strings.SplitSeq(s.Example(), "\n\n") {
		var bare []string
		for line := range strings.Lines(table) {
			if line = strings.TrimPrefix(line, "# "); strings.HasPrefix(line, "[") || strings.Contains(line, " = ") {
				bare = append(bare, line)
			}
		}
		if strings.Contains(table, "# must be set") {
			continue
		}
		if _, err := ParseOperator("operator.toml", []byte(strings.Join(bare, ""))); err != nil {
			t.Error(err)
		}
	}
}

func TestFixedSettingsAreNamed(t *testing.T) {
	parse := func(text string) operator.Values {
		t.Helper()
		o, err := ParseOperator("t.toml", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return o.Values
	}
	for _, c := range []struct{ before, after, want string }{
		{"[log]\nlevel = \"info\"", "[log]\nlevel = \"debug\"", ""},
		{"[log]\nformat = \"text\"", "[log]\nformat = \"json\"", "log.format"},
		{"", "[callers]\nmax_head = \"32KiB\"\nbody_timeout = \"1s\"", "callers.max_head"},
		{"[callers]\nmax_head = \"32KiB\"", "", "callers.max_head"},
		{"[callers]\nidle_timeout = \"60s\"", "[callers]\nidle_timeout = \"1m\"", ""},
	} {
		if got := strings.Join(operator.Fixed(parse(c.before), parse(c.after)), " "); got != c.want {
			t.Errorf("%q to %q: %q, want %q", c.before, c.after, got, c.want)
		}
	}
}

// TestFindingsAreBounded: a file of nothing but faults costs no more than its first hundred.
func TestFindingsAreBounded(t *testing.T) {
	_, err := ParseOperator("t.toml", []byte(strings.Repeat("nonsense = = =\n[x]\n", operator.MaxFile/20)))
	if n := strings.Count(err.Error(), "\n") + 1; n > 100 {
		t.Errorf("%d findings", n)
	}
	if _, err := ParseOperator("t.toml", bytes.Repeat([]byte("#\n"), operator.MaxFile)); err == nil {
		t.Error("a file over the bound was read")
	}
}

func FuzzOperatorFile(f *testing.F) {
	for _, folder := range []string{"broken", "sound"} {
		for _, text := range files(f, folder) {
			f.Add(text)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		o, err := ParseOperator("f.toml", text)
		if (err == nil) == (o == nil) {
			t.Fatalf("%v with %v", o, err)
		}
		if err == nil && len(o.Listeners) > mostListeners {
			t.Fatalf("%d listeners", len(o.Listeners))
		}
		if err != nil && strings.Count(err.Error(), "\n") > 1000 {
			t.Fatal("findings without bound")
		}
	})
}

func FuzzPlatform(f *testing.F) {
	f.Add([]byte(`{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"8c1f","limits":{"cores":1,"memory_mb":64,"sockets":256},` +
		`"settings":{"instances":1,"me":0,"discovery":"push","request_classes":[{"name":"a","aim_ms":1,"give_up_ms":2,"effect":"free"}],` +
		`"limits":{"max_attempts":1}}}`))
	f.Add([]byte(`{"limits":{"memory_mb":1e308},"seed":"zz"}`))
	f.Add([]byte(`{"settings":{"instances":-1}}`))
	f.Fuzz(func(_ *testing.T, text []byte) { CheckPlatform(text) })
}
