package derive

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"brasswell/balance"

	"pgregory.net/rapid"
)

const s = time.Second

// validApp returns a valid description of a library's catalogue application.
func validApp() App {
	return App{
		Name: "catalogue", Memory: 64 << 20, Sockets: 256,
		Routes: []Route{
			{Name: "search", Methods: []string{"GET"}, Reads: []string{"records"}, Wanted: 750 * time.Millisecond, GiveUp: 2 * s, Uses: []string{"index"}},
			{Name: "hold", Methods: []string{"POST"}, Writes: []string{"holds"}, Key: "Idempotency-Key", Group: "zone", Window: 7 * s,
				Wanted: 2 * s, GiveUp: 5 * s, Value: 5, Uses: []string{"lending", "records"}},
			{Name: "fine", Methods: []string{"POST"}, Reads: []string{"patrons"}, Writes: []string{"fines"}, Wanted: s, GiveUp: 3 * s, Uses: []string{"records"}},
		},
		Calls: []Service{{Name: "index", Servers: 3}, {Name: "lending", Servers: 4, Share: 0.5}, {Name: "records"}},
	}
}

func TestSoundDescription(t *testing.T) {
	p, found := Derive(validApp())
	if len(found) > 0 || p == nil {
		t.Fatalf("findings %+v", found)
	}
	want := []balance.Class{
		{Aim: 750 * time.Millisecond, ClientTimeout: 2 * s, Effect: balance.Idempotent, Value: 1},
		{Aim: 2 * s, ClientTimeout: 5 * s, Effect: balance.Deduplicated, DedupScope: balance.DedupZone, DedupWindow: 6300 * time.Millisecond, Value: 5},
		{Aim: s, ClientTimeout: 3 * s, Effect: balance.AtMostOnce, Value: 2},
	}
	hops := [][]time.Duration{{1600 * time.Millisecond}, {2 * s, 2 * s}, {2400 * time.Millisecond}}
	for i, c := range p.Classes {
		if c.Class != want[i] || !slices.Equal(c.CallTimeouts, hops[i]) {
			t.Errorf("route %d: %+v with call timeouts %v, want %+v with %v", i, c.Class, c.CallTimeouts, want[i], hops[i])
		}
		for _, f := range c.Figures {
			if f.Reason == "" || f.Value == "" {
				t.Errorf("route %d: figure %s has no reason", i, f.Name)
			}
		}
	}
	// Half of 256, less 4 for each of the 3 services, is 116. It is divided into a half and two quarters, plus 4 each.
	for i, sockets := range []int{33, 62, 33} {
		if p.Bulkheads[i].Sockets != sockets {
			t.Errorf("service %d: %d sockets, want %d", i, p.Bulkheads[i].Sockets, sockets)
		}
	}
}

// TestFindings breaks the valid description in one place at a time. A similar change that is just valid must pass.
func TestFindings(t *testing.T) {
	for _, x := range []struct {
		code     string
		warning  bool
		broken   func(*App)
		nearMiss func(*App)
	}{
		{"no-deed", false, func(a *App) { a.Routes[0].Reads = nil }, func(a *App) { a.Routes[2].Reads = nil }},
		{"writes-safe", false, func(a *App) { a.Routes[1].Repeat = "safe" }, func(a *App) { a.Routes[0].Repeat = "safe" }},
		{"keyed-no-key", false, func(a *App) { a.Routes[2].Repeat = "keyed" }, func(a *App) { a.Routes[1].Repeat = "keyed" }},
		{"keyed-no-group", false, func(a *App) { a.Routes[1].Group = "" }, func(a *App) { a.Routes[1].Group = "all" }},
		{"keyed-no-window", false, func(a *App) { a.Routes[1].Window = 0 }, func(a *App) { a.Routes[1].Window = time.Minute }},
		{"reads-guarded", true, func(a *App) { a.Routes[0].Repeat = "never" }, func(a *App) { a.Routes[2].Repeat = "never" }},
		{"get-writes", true, func(a *App) { a.Routes[2].Methods = []string{"GET"} }, func(a *App) { a.Routes[2].Methods = []string{"PUT"} }},
		{"time-range", false, func(a *App) { a.Routes[0].Wanted = 0 }, func(a *App) { a.Routes[0].Wanted = time.Millisecond }},
		{"time-range", false, func(a *App) { a.Routes[0].GiveUp = 2 * time.Hour }, func(a *App) { a.Routes[0].GiveUp = time.Hour }},
		{"time-range", false, func(a *App) { a.Routes[1].Window = 1 }, func(a *App) { a.Routes[1].Window = time.Hour }},
		{"wanted-over-give-up", false, func(a *App) { a.Routes[0].Wanted = 2001 * time.Millisecond }, func(a *App) { a.Routes[0].Wanted = 2 * s }},
		{"window-short", true, func(a *App) { a.Routes[1].Window = 5 * s }, func(a *App) { a.Routes[1].Window = 5600 * time.Millisecond }},
		{"worth-range", false, func(a *App) { a.Routes[0].Value = math.NaN() }, func(a *App) { a.Routes[0].Value = 0.01 }},
		{"worth-range", false, func(a *App) { a.Routes[0].Value = -1 }, func(a *App) { a.Routes[0].Value = 1e6 }},
		{"body-memory", false, func(a *App) { a.Routes[1].Body = 9 << 20 }, func(a *App) { a.Routes[1].Body = 8 << 20 }},
		{"no-service", false, func(a *App) { a.Routes[0].Uses = []string{"index", "indes"} }, func(a *App) { a.Routes[0].Uses = []string{"index", "index"} }},
		{"one-server", true, func(a *App) { a.Calls[1].Servers = 1 }, func(a *App) { a.Calls[0].Servers = 1 }},
		{"no-servers", false, func(a *App) { a.Calls[0].Servers = -1 }, func(a *App) { a.Calls[0].Servers = 0 }},
		{"unused", true, func(a *App) { a.Routes[0].Uses = nil }, func(a *App) { a.Routes[2].Uses = nil }},
		{"share-range", false, func(a *App) { a.Calls[1].Share = 1.5 }, func(a *App) { a.Calls[1].Share = 1 }},
		{"shares-over", false, func(a *App) { a.Calls[0].Share = 0.6 }, func(a *App) { a.Calls[0].Share = 0.5 }},
		{"sockets-short", false, func(a *App) { a.Sockets = 23 }, func(a *App) { a.Sockets = 24 }},
	} {
		a := validApp()
		x.broken(&a)
		p, found := Derive(a)
		if len(found) != 1 || found[0].Code != x.code || found[0].Warning != x.warning || (p != nil) != x.warning {
			t.Errorf("%s: plan %v, findings %+v", x.code, p != nil, found)
		}
		for _, f := range found {
			if f.Field == "" || f.Cause == "" || f.Effect == "" || f.Fix == "" {
				t.Errorf("%s has an empty field: %+v", x.code, f)
			}
		}
		a = validApp()
		x.nearMiss(&a)
		if _, found := Derive(a); len(found) > 0 {
			t.Errorf("near miss of %s: %+v", x.code, found)
		}
	}
}

// TestPlansKeepTheRules checks random descriptions: a route that writes is never idempotent, a repeat is never allowed
// beyond the servers' window, calls fit into their route's time, and all services together get at most half of the
// resources.
func TestPlansKeepTheRules(t *testing.T) {
	plans := 0
	rapid.Check(t, func(t *rapid.T) {
		// Most drawn values are valid; otherwise few descriptions would have a plan.
		usually := func(name string) bool { return rapid.IntRange(0, 30).Draw(t, name) > 0 }
		names := []string{"a", "b", "c"}[:rapid.IntRange(0, 3).Draw(t, "services")]
		words := func(name string, from []string) []string {
			if len(from) == 0 {
				return nil
			}
			return rapid.SliceOfN(rapid.SampledFrom(from), 0, 2).Draw(t, name)
		}
		times := func(name string, least, most time.Duration) time.Duration {
			if usually(name + " in range") {
				return time.Duration(rapid.Int64Range(int64(least), int64(most)).Draw(t, name))
			}
			return time.Duration(rapid.Int64Range(-1, int64(2*time.Hour)).Draw(t, name))
		}
		a := App{Memory: rapid.Int64Range(0, 1<<30).Draw(t, "memory"), Sockets: rapid.IntRange(20, 1000).Draw(t, "sockets")}
		for range rapid.IntRange(1, 4).Draw(t, "routes") {
			r := Route{
				Reads: []string{"x"}, Writes: words("writes", []string{"x", "y"}), Uses: words("uses", names),
				Repeat: rapid.SampledFrom([]string{"", "", "", "", "", "never", "never", "keyed", "safe"}).Draw(t, "repeat"),
				Key:    rapid.SampledFrom([]string{"", "Idempotency-Key"}).Draw(t, "key"),
				Group:  rapid.SampledFrom([]string{"all", "zone", "cell"}).Draw(t, "group"),
				Window: times("window", s, 20*s), Wanted: times("wanted", s, 2*s), GiveUp: times("give up", 2*s, 9*s),
			}
			if !usually("worth left out") {
				r.Value = rapid.Float64().Draw(t, "worth")
			}
			a.Routes = append(a.Routes, r)
		}
		for _, name := range names {
			a.Calls = append(a.Calls, Service{
				Name: name, Servers: rapid.IntRange(0, 5).Draw(t, "servers"),
				Share: rapid.SampledFrom([]float64{0, 0, 0.1, 0.33, 0.4, 1}).Draw(t, "share"),
			})
		}
		p, found := Derive(a)
		failed := slices.ContainsFunc(found, func(f Finding) bool { return !f.Warning })
		if failed != (p == nil) {
			t.Fatalf("plan %v with findings %+v", p != nil, found)
		}
		if p == nil {
			return
		}
		plans++
		for i, c := range p.Classes {
			r := a.Routes[i]
			if len(r.Writes) > 0 && c.Class.Effect == balance.Idempotent {
				t.Fatalf("a route that writes %s is idempotent", strings.Join(r.Writes, ", "))
			}
			if c.Class.Effect == balance.Deduplicated && (c.Class.DedupWindow <= 0 || c.Class.DedupWindow >= r.Window) {
				t.Fatalf("window %v with a server window of %v", c.Class.DedupWindow, r.Window)
			}
			var sum time.Duration
			for _, h := range c.CallTimeouts {
				sum += h
			}
			if sum > r.GiveUp {
				t.Fatalf("calls take %v of a route's %v", sum, r.GiveUp)
			}
			set := balance.Settings{Instances: 1, MaxAttempts: c.Attempts, Classes: []balance.Class{c.Class}}
			if err := set.Validate(); err != nil {
				t.Fatal(err)
			}
		}
		sockets, memory := 0, int64(0)
		for _, b := range p.Bulkheads {
			sockets += b.Sockets
			memory += b.Memory
			if b.Sockets < minSockets {
				t.Fatalf("a service with %d sockets", b.Sockets)
			}
		}
		if a.Sockets > 0 && 2*sockets > a.Sockets || memory > a.Memory/2+1 {
			t.Fatalf("services get %d of %d sockets and %d of %d bytes", sockets, a.Sockets, memory, a.Memory)
		}
	})
	if plans < 5 {
		t.Errorf("only %d descriptions had a plan", plans)
	}
}
