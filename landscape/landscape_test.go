package landscape

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const s = time.Second

// app returns an application with one route, "r", that makes the calls.
func app(name string, giveUp time.Duration, calls ...Call) App {
	return App{Name: name, Listen: []string{name + ":80"}, Routes: []Route{{"r", giveUp, calls}}}
}

func call(to string, giveUp time.Duration, attempts int) Call {
	return Call{App: to, Route: "r", GiveUp: giveUp, Attempts: attempts, PerRequest: 1}
}

func TestCheck(t *testing.T) {
	for _, x := range []struct {
		name string
		apps []App
		want []Finding
	}{
		{"a valid chain", []App{app("a", 3*s, call("b", 2*s, 2)), app("b", 2*s, call("c", s, 2)), app("c", s)}, nil},
		{"no applications", nil, nil},
		{"a name twice", []App{app("a", s), {Name: "a"}}, []Finding{{Code: DuplicateApp, Location: Location{1, -1, -1}, OtherLocation: Location{0, -1, -1}}}},
		{"a route twice", []App{{Name: "a", Routes: []Route{{"r", s, nil}, {"r", s, nil}}}},
			[]Finding{{Code: DuplicateRoute, Location: Location{0, 1, -1}, OtherLocation: Location{0, 0, -1}}}},
		{"an address twice", []App{{Name: "a", Listen: []string{"x:1", "x:2"}}, {Name: "b", Listen: []string{"x:2"}}},
			[]Finding{{Code: DuplicateAddress, Location: Location{1, -1, -1}, OtherLocation: Location{0, -1, -1}}}},
		{"unknown application", []App{app("a", 3*s, call("b", s, 1))}, []Finding{{Code: UnknownApp, Location: Location{0, 0, 0}}}},
		{"unknown route", []App{app("a", 3*s, Call{App: "b", Route: "x", GiveUp: s}), app("b", s)},
			[]Finding{{Code: UnknownRoute, Location: Location{0, 0, 0}, OtherLocation: Location{1, -1, -1}}}},
		{"calls itself", []App{app("a", s, call("a", s, 1))}, []Finding{{Code: Cycle, Location: Location{0, 0, 0}, Chain: []string{"a/r", "a/r"}}}},
		{"a cycle is reported once and excluded from chains", []App{
			app("z", 9*s, call("a", 3*s, 50)),
			app("a", 3*s, call("b", 3*s, 9)), app("b", 3*s, call("c", 3*s, 9)), app("c", 3*s, call("a", 3*s, 9)),
		}, []Finding{
			{Code: Cycle, Location: Location{1, 0, 0}, Chain: []string{"a/r", "b/r", "c/r", "a/r"}},
			{Code: TooManyAttempts, Location: Location{0, 0, -1}, Chain: []string{"z/r", "a/r"}, Attempts: 50},
		}},
		{"two cycles", []App{app("a", s, call("b", s, 1)), app("b", s, call("a", s, 1)), app("c", s, call("d", s, 1)), app("d", s, call("c", s, 1))},
			[]Finding{
				{Code: Cycle, Location: Location{0, 0, 0}, Chain: []string{"a/r", "b/r", "a/r"}},
				{Code: Cycle, Location: Location{2, 0, 0}, Chain: []string{"c/r", "d/r", "c/r"}},
			}},
		{"applications that call each other, on other routes", []App{
			{Name: "a", Routes: []Route{{"x", 3 * s, []Call{{"b", "y", s, 1, 1}}}, {"z", s, nil}}},
			{Name: "b", Routes: []Route{{"y", s, []Call{{"a", "z", s, 1, 1}}}}},
		}, nil},
		{"a call with a longer timeout than its route", []App{app("a", s, call("b", 2*s, 1)), app("b", 2*s)},
			[]Finding{{Code: CallTimeoutTooLong, Location: Location{0, 0, 0}, Available: s, Required: 2 * s}}},
		{"the called route outlasts its caller", []App{app("a", 3*s, call("b", s, 1)), app("b", 2*s)},
			[]Finding{{Code: CalleeTimeoutTooLong, Location: Location{0, 0, 0}, OtherLocation: Location{1, 0, -1}, Available: s, Required: 2 * s}}},
		{"two calls in sequence", []App{app("a", 3*s, call("b", 2*s, 1), call("b", 2*s, 1)), app("b", 2*s)},
			[]Finding{{Code: CallsExceedTimeout, Location: Location{0, 0, -1}, Available: 3 * s, Required: 4 * s}}},
		{"a call that is made often", []App{app("a", 3*s, Call{"b", "r", s, 1, 4}), app("b", s)},
			[]Finding{{Code: CallsExceedTimeout, Location: Location{0, 0, -1}, Available: 3 * s, Required: 4 * s}}},
		{"a huge number of calls does not overflow", []App{app("a", 3*s, Call{"b", "r", s, 1, 1 << 62}), app("b", s)},
			[]Finding{
				{Code: CallsExceedTimeout, Location: Location{0, 0, -1}, Available: 3 * s, Required: 1<<63 - 1},
				{Code: TooManyAttempts, Location: Location{0, 0, -1}, Chain: []string{"a/r", "b/r"}, Attempts: 1 << 62},
			}},
		{"three at each of three tiers", []App{
			app("a", 4*s, call("b", 3*s, 3)), app("b", 3*s, call("c", 2*s, 3), call("d", s, 1)), app("c", 2*s, call("d", s, 3)), app("d", s),
		}, []Finding{{Code: TooManyAttempts, Location: Location{0, 0, -1}, Chain: []string{"a/r", "b/r", "c/r", "d/r"}, Attempts: 27}}},
		{"reported only for the first route of a chain", []App{app("b", 3*s, call("c", 2*s, 20)), app("c", 2*s), app("a", 4*s, call("b", 3*s, 2))},
			[]Finding{{Code: TooManyAttempts, Location: Location{2, 0, -1}, Chain: []string{"a/r", "b/r", "c/r"}, Attempts: 40}}},
	} {
		got, _ := Check(x.apps, 12)
		slices.SortStableFunc(x.want, func(a, b Finding) int { return a.Location.App - b.Location.App })
		if !reflect.DeepEqual(got, x.want) {
			t.Errorf("%s:\ngot  %+v\nwant %+v", x.name, got, x.want)
		}
	}
}

// TestLongChain guards against a limit on the length of chains and cycles, such as recursion would have.
func TestLongChain(t *testing.T) {
	const n = 100_000
	apps := make([]App, n)
	for i := range apps {
		apps[i] = app(fmt.Sprint(i), s)
		if i+1 < n {
			apps[i].Routes[0].Calls = []Call{call(fmt.Sprint(i+1), s, 1)}
		}
	}
	found, chains := Check(apps, 12)
	if len(found) > 0 || len(chains) != 1 || len(chains[0].Path) != n {
		t.Fatalf("%d findings, %d chains", len(found), len(chains))
	}
	apps[n-1].Routes[0].Calls = []Call{call("0", s, 1)}
	if found, _ = Check(apps, 12); len(found) != 1 || found[0].Code != Cycle || len(found[0].Chain) != n+1 {
		t.Fatalf("a cycle of %d routes: %d findings", n, len(found))
	}
}

// TestAgainstAPlainWalk compares cycles and chains with an exhaustive search on small sets of applications.
func TestAgainstAPlainWalk(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "apps")
		apps := make([]App, n)
		for i := range apps {
			apps[i] = app(fmt.Sprint(i), s)
			for range rapid.IntRange(0, 3).Draw(t, "calls") {
				apps[i].Routes[0].Calls = append(apps[i].Routes[0].Calls,
					call(fmt.Sprint(rapid.IntRange(0, n).Draw(t, "to")), 0, rapid.IntRange(0, 3).Draw(t, "attempts")))
			}
		}
		found, chains := Check(apps, 1e9)
		// reaches[i][j] says that calls lead from i to j.
		var reaches [7][7]bool
		for i, a := range apps {
			for _, c := range a.Routes[0].Calls {
				reaches[i][int(c.App[0]-'0')] = true
			}
		}
		for k := range n {
			for i := range n {
				for j := range n {
					reaches[i][j] = reaches[i][j] || reaches[i][k] && reaches[k][j]
				}
			}
		}
		same := func(i, j int) bool { return i == j || reaches[i][j] && reaches[j][i] }
		components := 0
		for i := range n {
			first := reaches[i][i]
			for j := range i {
				first = first && !same(j, i)
			}
			if first {
				components++
			}
		}
		cycles := 0
		for _, f := range found {
			if f.Code == Cycle {
				cycles++
				if f.Chain[0] != f.Chain[len(f.Chain)-1] || len(f.Chain) < 2 {
					t.Fatalf("not a cycle: %v", f.Chain)
				}
			}
		}
		if cycles != components {
			t.Fatalf("%d cycles reported, want %d: %+v", cycles, components, apps)
		}
		var walk func(i int) float64
		walk = func(i int) float64 {
			worst := 1.0
			for _, c := range apps[i].Routes[0].Calls {
				j := int(c.App[0] - '0')
				if j < n && !(reaches[i][j] && reaches[j][i]) {
					worst = max(worst, float64(max(c.Attempts, 1))*walk(j))
				}
			}
			return worst
		}
		for _, c := range chains {
			if want := walk(c.Location.App); c.Attempts != want {
				t.Fatalf("chain %s: %v attempts, want %v", strings.Join(c.Path, " > "), c.Attempts, want)
			}
		}
	})
}

// BenchmarkCheck checks 200 applications of 20 routes each in five tiers.
func BenchmarkCheck(b *testing.B) {
	apps := make([]App, 200)
	for i := range apps {
		apps[i] = App{Name: fmt.Sprint("app", i), Listen: []string{fmt.Sprint("127.0.0.1:", 8000+i)}}
		for j := range 20 {
			r := Route{Name: fmt.Sprint("route", j), GiveUp: time.Duration(5-i/40) * s}
			if i < 160 {
				for k := range 3 {
					r.Calls = append(r.Calls, Call{fmt.Sprint("app", i/40*40+40+(i*7+j*3+k)%40), fmt.Sprint("route", (j+k)%20), s, 1, 1})
				}
			}
			apps[i].Routes = append(apps[i].Routes, r)
		}
	}
	b.ReportAllocs()
	for range b.N {
		Check(apps, 12)
	}
}
