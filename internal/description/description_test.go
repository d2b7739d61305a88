package description

import (
	"fmt"
	"strings"
	"testing"

	"brasswell/balance"
)

const catalogue = `[app]
name = "catalogue"
listen = "127.0.0.1:9000"
serves = "127.0.0.1:9001"

[[route]]
name = "search"
methods = ["GET"]
path = "/search"
reads = ["records"]
wanted = "750ms"
give_up = "2s"
uses = ["index"]

[[route]]
name = "hold"
methods = ["POST"]
path = "/patrons/{patron}/holds"
writes = ["holds"]
key = "Idempotency-Key"
group = "zone"
window = "7s"
wanted = "2s"
give_up = "5s"
uses = ["lending"]

[[calls]]
name = "index"
listen = "127.0.0.1:9100"
servers = ["127.0.0.1:7070", "127.0.0.1:7071"]

[[calls]]
name = "lending"
listen = "127.0.0.1:9101"
discovery = "127.0.0.1:8500"
`

func TestSoundDescription(t *testing.T) {
	d, plan, found := Parse("catalogue.toml", []byte(catalogue))
	if len(found) > 0 || d == nil || plan == nil {
		t.Fatalf("findings %v", found)
	}
	if !Is([]byte(catalogue)) || Is([]byte("[callers]\nname = \"[app]\"\n")) {
		t.Error("descriptions and operator files are not told apart")
	}
	if d.Name != "catalogue" || len(d.Routes) != 2 || len(d.Services) != 2 || plan.Classes[1].Class.Effect != balance.Deduplicated {
		t.Errorf("read %+v with %+v", d, plan.Classes)
	}
}

// TestFindings changes one thing in the sound description each, and compares the whole of what is found.
func TestFindings(t *testing.T) {
	for _, x := range []struct {
		name, old, new string
		want           []string // line:column: [warning: ]key: the text's beginning
	}{
		{"no app", catalogue[:strings.Index(catalogue, "[[route]]")], "", []string{`1:1: no [app] table`}},
		{"no route", catalogue[strings.Index(catalogue, "[[route]]"):strings.Index(catalogue, "[[calls]]")], "", []string{
			`2:1: app.name: no [[route]]`, `7:1: warning: calls[0].name: "index" is used by no route`, `12:1: warning: calls[1].name: "lending" is used by no route`}},
		{"a write marked safe", `key = "Idempotency-Key"`, `key = "Idempotency-Key"` + "\nrepeat = \"safe\"", []string{
			`21:1: route[1].repeat: writes holds and is marked as safe to repeat; after a time-out the same write would be made twice; write repeat = "keyed"`}},
		{"no group", "group = \"zone\"\n", "", []string{`15:3: route[1].group: has a key and does not say which servers`}},
		{"wanted over give-up", `wanted = "750ms"`, `wanted = "3s"`, []string{`11:1: route[0].wanted: 3s is over give_up, 2s`}},
		{"a service that no one calls so", `uses = ["index"]`, `uses = ["indes"]`, []string{
			`13:1: route[0].uses: uses "indes", which no [[calls]] names`, `28:1: warning: calls[0].name: "index" is used by no route`}},
		{"a path that is none", `path = "/search"`, `path = "search"`, []string{`9:1: route[0].path: path "search": does not begin with a slash; write "/search"`}},
		{"a shadowed route", "[[calls]]\nname = \"index\"", "[[route]]\nname = \"again\"\nmethods = [\"GET\"]\npath = \"/%73earch\"\nreads = [\"records\"]\nwanted = \"1s\"\ngive_up = \"2s\"\n\n[[calls]]\nname = \"index\"", []string{
			`30:1: route[2].path: never taken: whatever fits it, such as GET /search, is search's`}},
		{"routes that cross", `path = "/search"`, `path = "/{what}/7/holds"`, nil},
		{"routes that cross on a method", `path = "/patrons/{patron}/holds"`, `path = "/search/{x}"` + "\n" + `headers = ["X-Desk: 7"]`, nil},
		{"an open address", `listen = "127.0.0.1:9000"`, `listen = "0.0.0.0:9000"`, []string{`3:1: app.listen: 0.0.0.0:9000 is not on this machine alone`}},
		{"a name elsewhere", `listen = "127.0.0.1:9100"`, `listen = "10.0.0.1:9100"`, []string{`29:1: calls[0].listen: 10.0.0.1:9100 is not on this machine alone`}},
		{"its own address", `serves = "127.0.0.1:9001"`, `serves = "127.0.0.1:9000"`, []string{`4:1: app.serves: 127.0.0.1:9000 is where the sidecar listens too`}},
		{"an address twice", `listen = "127.0.0.1:9101"`, `listen = "127.0.0.1:9100"`, []string{`34:1: calls[1].listen: 127.0.0.1:9100 is taken by [[calls]] index`}},
		{"a service on the application's", `listen = "127.0.0.1:9101"`, `listen = "127.0.0.1:9001"`, []string{`34:1: calls[1].listen: 127.0.0.1:9001 is taken by [app]`}},
		{"a name twice", `name = "lending"`, `name = "index"`, []string{`33:1: calls[1].name: "index" is taken by another [[calls]]`}},
		{"a route's name twice", `name = "hold"`, `name = "search"`, []string{`16:1: route[1].name: "search" is taken by another [[route]]`}},
		{"a server twice", `"127.0.0.1:7071"`, `"127.0.0.1:7070"`, []string{`30:1: calls[0].servers: 127.0.0.1:7070 stands twice`}},
		{"no servers", `servers = ["127.0.0.1:7070", "127.0.0.1:7071"]`, `servers = []`, []string{`30:1: calls[0].servers: neither servers nor discovery`}},
		{"both", `servers = ["127.0.0.1:7070"`, "discovery = \"127.0.0.1:8500\"\nservers = [\"127.0.0.1:7070\"", []string{`31:1: calls[0].servers: both servers and discovery`}},
		{"a server that is none", `"127.0.0.1:7071"`, `"7071"`, []string{`30:1: calls[0].servers: entry 2: "7071" is no address`}},
		{"a figure that is none", `wanted = "750ms"`, `wanted = nan`, []string{`11:10: route[0].wanted: nan has no unit; write a duration such as "1s"`}},
		{"a misspelt key", `give_up = "2s"`, `giveup = "2s"`, []string{`6:3: route[0].give_up: missing`, `12:1: route[0].giveup: unknown key; did you mean give_up?`}},
		{"cut in half", catalogue[200:], "", []string{`13:9: not TOML`}},
		{"two faults, both told", `wanted = "2s"`, `wanted = "6s"` + "\nrepeat = \"safe\"", []string{
			`23:1: route[1].wanted: 6s is over give_up, 5s`, `24:1: route[1].repeat: writes holds`}},
	} {
		if strings.Count(catalogue, x.old) != 1 {
			t.Fatalf("%s: %q stands %d times in the description", x.name, x.old, strings.Count(catalogue, x.old))
		}
		_, _, found := Parse("f", []byte(strings.Replace(catalogue, x.old, x.new, 1)))
		var got []string
		for _, f := range found {
			got = append(got, strings.TrimPrefix(f.String(), "f:"))
		}
		same := len(got) == len(x.want)
		for i := range got {
			same = same && strings.HasPrefix(got[i], x.want[i])
		}
		if !same {
			t.Errorf("%s:\ngot  %s\nwant %s", x.name, strings.Join(got, "\n     "), strings.Join(x.want, "\n     "))
		}
	}
}

// TestManyRoutes: the bounds hold and a long description is read.
func TestManyRoutes(t *testing.T) {
	var text strings.Builder
	text.WriteString(catalogue[:strings.Index(catalogue, "[[route]]")])
	for i := range 1000 {
		fmt.Fprintf(&text, "[[route]]\nname = \"r%d\"\npath = \"/r%d/{x}\"\nreads = [\"a\"]\nwanted = \"1s\"\ngive_up = \"2s\"\n", i, i)
	}
	d, _, found := Parse("f", []byte(text.String()))
	if d == nil || len(d.Routes) != 1000 {
		t.Fatalf("findings %v", found)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(catalogue))
	f.Add([]byte("[app]\n[[route]]\npath=\"/{\"\n[[calls]]\nshare=1"))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, plan, found := Parse("f", text)
		if (d == nil) != (plan == nil) {
			t.Error("a description without a plan")
		}
		if d == nil && len(found) == 0 {
			t.Error("refused without a finding")
		}
		seen := map[string]bool{}
		for _, x := range found {
			if x.Line < 1 || x.Column < 1 || x.Text == "" {
				t.Errorf("finding without a place: %+v", x)
			}
			if seen[x.String()] {
				t.Errorf("told twice: %v", x)
			}
			seen[x.String()] = true
		}
	})
}
