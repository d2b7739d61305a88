package scale

import (
	"brasswell/internal/cluster/rules"
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"brasswell/internal/rig/hollow"
	"brasswell/internal/rig/scale/result"
)

// TestBadInput: what makes no sense is turned away before anything runs, by a message that names the place and what is allowed.
func TestBadInput(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*Config)
		want   string
	}{
		"no members":               {func(c *Config) { c.Members = 0 }, "--members 0: 6 (the 5 voters, 0 real proxies and one more) to 4000 are allowed"},
		"only voters":              {func(c *Config) { c.Members = Voters }, "--members 5: 6 "},
		"only real ones":           {func(c *Config) { c.Members, c.Real = 11, 6 }, "--members 11: 12 "},
		"too many members":         {func(c *Config) { c.Members = MostMembers + 1 }, "to 4000 are allowed"},
		"real below 0":             {func(c *Config) { c.Real = -1 }, "--real -1: 0 to 60 are allowed"},
		"too many real ones":       {func(c *Config) { c.Real = mostReal + 1 }, "--real 61: 0 to 60"},
		"no region":                {func(c *Config) { c.Regions = 0 }, "--regions 0: 1 to 5"},
		"too many regions":         {func(c *Config) { c.Regions = 6 }, "--regions 6: 1 to 5"},
		"regions without a zone":   {func(c *Config) { c.Zones = 2 }, "--zones 2: 3 (one in each region)"},
		"too many zones":           {func(c *Config) { c.Zones = hollow.MostZones + 1 }, "--zones 65: 3 "},
		"time back":                {func(c *Config) { c.RTT = -time.Second }, "--rtt -1s: 0 to 1s"},
		"far away":                 {func(c *Config) { c.RTT = 2 * time.Second }, "--rtt 2s: 0 to 1s"},
		"no event":                 {func(c *Config) { c.Event = "" }, "--event : allowed is rest, change, machine, rack, zone, region, restart, start"},
		"unknown event":            {func(c *Config) { c.Event = "flood" }, "--event flood: allowed is rest"},
		"zone event, two zones":    {func(c *Config) { c.Event, c.Zones, c.Regions = Zone, 2, 2 }, "--event zone with --zones 2: at least 3"},
		"region event, one region": {func(c *Config) { c.Event, c.Regions = Region, 1 }, "--event region with --regions 1: at least 2"},
		"no length":                {func(c *Config) { c.Length = 0 }, "--length 0s: 1s to 1h"},
		"too long":                 {func(c *Config) { c.Length = 2 * time.Hour }, "--length 2h0m0s: 1s to 1h"},
		"short lease":              {func(c *Config) { c.Lease = time.Millisecond }, "--lease 1ms: 500ms to 1m"},
		"long lease":               {func(c *Config) { c.Lease = time.Hour }, "--lease 1h0m0s: 500ms to 1m"},
		"no period":                {func(c *Config) { c.Period = 0 }, "--period 0s: 20ms to 1m"},
		"bans below 0":             {func(c *Config) { c.Bans = -1 }, "--bans -1: 0 to"},
		"too many bans":            {func(c *Config) { c.Bans = 10_000 }, "--bans 10000: 0 to"},
		"too many classes":         {func(c *Config) { c.Classes = rules.MaxClasses + 1 }, "--classes 513: 0 to 512"},
		"base of real networks":    {func(c *Config) { c.Base = 1 }, "--base 1: 64 to 240 is allowed with 11 zones"},
		"base too high":            {func(c *Config) { c.Base = 241 }, "--base 241: 64 to 240"},
	} {
		config := DefaultConfig()
		c.change(&config)
		config.Program, config.Folder = "no such program", t.TempDir()
		run, err := Run(t.Context(), config)
		if run != nil || err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, %v; %q is wanted", name, run, err, c.want)
		}
		if left, _ := os.ReadDir(config.Folder); len(left) > 0 {
			t.Errorf("%s: left %v", name, left)
		}
	}
	config := DefaultConfig()
	if err := config.Validate(); err != nil {
		t.Errorf("the default: %v", err)
	}
}

func TestLeaseFitsTheRoundTrip(t *testing.T) {
	for _, c := range []struct{ rtt, lease, want time.Duration }{
		{0, 0, time.Second}, {20 * time.Millisecond, 0, time.Second}, {21 * time.Millisecond, 0, 3 * time.Second}, {80 * time.Millisecond, 2 * time.Second, 2 * time.Second},
	} {
		if got := (Config{RTT: c.rtt, Lease: c.lease}).withDefaults().Lease; got != c.want {
			t.Errorf("%v, %v: %v; want %v", c.rtt, c.lease, got, c.want)
		}
	}
}

func TestBounds(t *testing.T) {
	if err := enoughDescriptors(100, 20_000); err != nil {
		t.Error(err)
	}
	if err := enoughDescriptors(100, 1024); err == nil || !strings.Contains(err.Error(), "ulimit -n") {
		t.Errorf("%v", err)
	}
	if err := checkMemory(1400, 24<<30); err != nil {
		t.Error(err)
	}
	if err := checkMemory(1400, 1<<30); err == nil || !strings.Contains(err.Error(), "fewer --members") {
		t.Errorf("%v", err)
	}
}

// TestTakenAddress: an address that something listens at is found before anything runs.
func TestTakenAddress(t *testing.T) {
	config := DefaultConfig()
	config.Folder = t.TempDir()
	first := &run{config: config, random: rand.New(rand.NewPCG(1, 1))}
	if err := first.place(); err != nil { // addresses that no other run of this machine has
		t.Fatal(err)
	}
	first.claim.Release()
	config.Base = first.plan.layout.Base
	taken := first.plan.members[config.Members-1].address
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(taken))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if _, err := Run(t.Context(), config); err == nil || !strings.Contains(err.Error(), taken.String()+" is taken") || !strings.Contains(err.Error(), "--base") {
		t.Errorf("%v; %v is taken", err, taken)
	}
	if left, _ := os.ReadDir(config.Folder); len(left) > 0 {
		t.Errorf("left %v", left)
	}
}

// TestTwoRunsTakeOtherAddresses: what one run has claimed no other takes, also before a member listens.
func TestTwoRunsTakeOtherAddresses(t *testing.T) {
	config := DefaultConfig()
	config.Members = 6
	first := &run{config: config, random: rand.New(rand.NewPCG(1, 1))}
	if err := first.place(); err != nil {
		t.Fatal(err)
	}
	second := &run{config: config, random: rand.New(rand.NewPCG(1, 1))}
	overlapping := min(first.plan.layout.Base+config.Zones-1, highestBase+1-config.Zones)
	if err := second.placeAt(overlapping); err == nil || !strings.Contains(err.Error(), "another run") {
		t.Errorf("%v", err)
	}
	first.claim.Release()
	if err := second.placeAt(first.plan.layout.Base); err != nil {
		t.Error(err)
	} else {
		second.claim.Release()
	}
}

func TestFolderThatCannotBeMade(t *testing.T) {
	config := DefaultConfig()
	config.Folder = filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(config.Folder, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if run, err := Run(t.Context(), config); run != nil || err == nil || !strings.Contains(err.Error(), "--folder") {
		t.Errorf("%v, %v", run, err)
	}
}

// TestProgramThatCannotRun: where a host does not start, the run ends with an error and leaves nothing.
func TestProgramThatCannotRun(t *testing.T) {
	for _, program := range []string{"/no/such/program", "/bin/false"} {
		config := DefaultConfig()
		config.Folder, config.Program = t.TempDir(), program
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		if run, err := Run(ctx, config); run != nil || err == nil || ctx.Err() != nil {
			t.Errorf("%s: %v, %v", program, run, err)
		}
		cancel()
		if left, _ := os.ReadDir(config.Folder); len(left) > 0 {
			t.Errorf("%s: left %v", program, left)
		}
	}
}

// TestPlan: voters stand over the regions, real proxies in the first, hollow members in all zones, and no two at one address.
func TestPlan(t *testing.T) {
	config := DefaultConfig()
	config.Members, config.Real = 1400, 6
	p := newPlan(&config, 64, rand.New(rand.NewPCG(1, 1)))
	voters, zones := map[int]int{}, map[int]int{}
	seen := map[netip.AddrPort]bool{}
	for i, m := range p.members {
		if got, ok := p.layout.PlaceOf(m.address.Addr()); !ok || got != m.place || seen[m.address] {
			t.Fatalf("%+v: %v, %v; seen %v", m, got, ok, seen[m.address])
		}
		seen[m.address] = true
		region := p.layout.Region(m.place.Zone)
		switch {
		case m.voter != (i < Voters):
			t.Errorf("%s: voter %v", m.name, m.voter)
		case m.voter:
			voters[region]++
		case m.place.Real && region != 0:
			t.Errorf("%s is real, and in region %d", m.name, region)
		case !m.place.Real:
			zones[m.place.Zone]++
		}
	}
	if len(p.members) != 1400 || len(p.realMembers()) != 6 || voters[0] != 2 || voters[1] != 2 || voters[2] != 1 {
		t.Errorf("%d members, %d real, voters by region %v", len(p.members), len(p.realMembers()), voters)
	}
	for zone := range config.Zones {
		if n := zones[zone]; n < 1389/11 || n > 1389/11+1 {
			t.Errorf("zone %d has %d hollow members", zone, n)
		}
	}
}

func TestQuantiles(t *testing.T) {
	if got := quantiles(nil); got != (result.Quantiles{}) {
		t.Errorf("of nothing: %+v", got)
	}
	var sample []float64
	for i := range 200 {
		sample = append(sample, float64(200-i))
	}
	if got := quantiles(sample); got != (result.Quantiles{Count: 200, Median: 100, P99: 198, Worst: 200}) {
		t.Errorf("%+v", got)
	}
	if got := quantiles([]float64{3}); got != (result.Quantiles{Count: 1, Median: 3, P99: 3, Worst: 3}) {
		t.Errorf("of one: %+v", got)
	}
}
