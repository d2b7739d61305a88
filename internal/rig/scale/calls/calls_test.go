package calls_test

import (
	"context"
	"fmt"
	"math"
	"os"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"brasswell/internal/cli"
	"brasswell/internal/rig"
	"brasswell/internal/rig/scale/callresult"
	"brasswell/internal/rig/scale/calls"
)

func TestMain(m *testing.M) {
	if os.Getenv(calls.ProgramVariable) != "" {
		os.Exit(cli.Main(context.Background(), os.Args[1:], os.Getenv, os.Stdout, os.Stderr))
	}
	goleak.VerifyTestMain(m)
}

func config(t *testing.T) calls.Config {
	t.Helper()
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return calls.Config{
		Rates: []float64{50}, Depths: []int{1, 7}, Pairs: 1, Length: 500 * time.Millisecond, Seed: 1, Folder: t.TempDir(),
		Program: rig.Program{Path: self, Env: []string{calls.ProgramVariable + "=1"}},
	}
}

// TestCallsPassEachHopOnce: all calls are answered, direct and proxied, and each proxy of a chain serves each of them once.
func TestCallsPassEachHopOnce(t *testing.T) {
	c := config(t)
	told := 0
	c.Told = func(float64, int, callresult.Pair) { told++ }
	run, err := calls.Run(t.Context(), c)
	if err != nil {
		t.Fatal(err)
	}
	if len(run.Cases) != 2 || told != 2 || run.Interrupted || run.Unanswered() != 0 {
		t.Fatalf("%+v, told %d", run, told)
	}
	for i, depth := range c.Depths {
		p := run.Cases[i].Pairs[0]
		if p.Direct.Sent == 0 || p.Direct.Sent != p.Proxied.Sent || p.Direct.Recorded == 0 || p.Direct.Recorded != p.Proxied.Recorded {
			t.Errorf("depth %d: sides differ: %+v", depth, p)
		}
		if len(p.HopCalls) != depth || len(p.HopCPUUS) != depth {
			t.Errorf("depth %d: %+v", depth, p)
		}
		for hop, n := range p.HopCalls {
			if n != p.Proxied.Sent {
				t.Errorf("depth %d: proxy %d served %d of %d", depth, hop, n, p.Proxied.Sent)
			}
		}
	}
	var text strings.Builder
	if err := run.Write(&text); err != nil {
		t.Fatal(err)
	}
	if _, err := callresult.Read(strings.NewReader(text.String())); err != nil {
		t.Error(err)
	}
}

// TestInterruption: what was whole is returned, and no process stays (goleak finds the readers of those that do).
func TestInterruption(t *testing.T) {
	c := config(t)
	c.Depths, c.Pairs = []int{1}, 50
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c.Told = func(float64, int, callresult.Pair) { cancel() }
	run, err := calls.Run(ctx, c)
	if err != nil || !run.Interrupted || len(run.Cases) != 0 {
		t.Errorf("%+v, %v", run, err)
	}
}

func TestWhatCannotBeMeasured(t *testing.T) {
	for want, change := range map[string]func(*calls.Config){
		"no rate":        func(c *calls.Config) { c.Rates = nil },
		"no depth":       func(c *calls.Config) { c.Depths = nil },
		"rate 0":         func(c *calls.Config) { c.Rates = []float64{0} },
		"rate NaN":       func(c *calls.Config) { c.Rates = []float64{math.NaN()} },
		"rate 5001":      func(c *calls.Config) { c.Rates = []float64{100, calls.MostRate + 1} },
		"depth 0":        func(c *calls.Config) { c.Depths = []int{0} },
		"depth 17":       func(c *calls.Config) { c.Depths = []int{calls.MostDepth + 1} },
		"pairs 0":        func(c *calls.Config) { c.Pairs = 0 },
		"pairs 101":      func(c *calls.Config) { c.Pairs = calls.MostPairs + 1 },
		"length 1ms":     func(c *calls.Config) { c.Length = time.Millisecond },
		"length 1h":      func(c *calls.Config) { c.Length = time.Hour },
		"all sides take": func(c *calls.Config) { c.Length, c.Pairs = calls.MostLength, calls.MostPairs },
	} {
		c := config(t)
		change(&c)
		if run, err := calls.Run(t.Context(), c); run != nil || err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
	}
}

// TestNoProgram: a program that ends at once is an error that names the proxy.
func TestNoProgram(t *testing.T) {
	c := config(t)
	c.Program = rig.Program{Path: "/bin/false"}
	if _, err := calls.Run(t.Context(), c); err == nil || !strings.Contains(err.Error(), fmt.Sprintf("hop-%d", c.Depths[0])) {
		t.Error(err)
	}
}
