// Package calls measures the latency that proxies add to calls: the same calls go straight to a backend and through one proxy, or several
// one behind the other, in turn. The proxies are processes of the program; the backend and the callers are in this one.
package calls

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"brasswell/internal/rig"
	"brasswell/internal/rig/scale/callresult"
	"brasswell/internal/rig/scale/result"
)

// The bounds of a measurement.
const (
	MostRate    = 5000
	MostDepth   = 16
	MostPairs   = 100
	LeastLength = 100 * time.Millisecond
	MostLength  = 10 * time.Minute
	// MostTime bounds all sides of all cases together.
	MostTime = 4 * time.Hour
)

// warmUp is how long calls go before they are recorded, on each side: connections are opened anew after the other side's time.
const warmUp = 500 * time.Millisecond

// Config is what to measure.
type Config struct {
	Rates   []float64 // calls a second
	Depths  []int     // numbers of proxies
	Pairs   int       // of each rate and depth
	Length  time.Duration
	Seed    uint64
	Program rig.Program
	Folder  string // for the proxies' files
	// Told is called with each pair; may be nil.
	Told func(rate float64, depth int, p callresult.Pair)
}

// Validate says what cannot be measured.
func (c *Config) Validate() error {
	if len(c.Rates) == 0 || len(c.Depths) == 0 {
		return errors.New("no rate or no depth")
	}
	for _, r := range c.Rates {
		if math.IsNaN(r) || r < 1 || r > MostRate {
			return fmt.Errorf("rate %v: must be between 1 and %d calls a second", r, MostRate)
		}
	}
	for _, d := range c.Depths {
		if d < 1 || d > MostDepth {
			return fmt.Errorf("depth %d: must be between 1 and %d proxies", d, MostDepth)
		}
	}
	if c.Pairs < 1 || c.Pairs > MostPairs {
		return fmt.Errorf("pairs %d: must be between 1 and %d", c.Pairs, MostPairs)
	}
	if c.Length < LeastLength || c.Length > MostLength {
		return fmt.Errorf("length %v: must be between %v and %v", c.Length, LeastLength, MostLength)
	}
	sides := time.Duration(2 * c.Pairs * len(c.Rates) * len(c.Depths))
	if all := sides * (warmUp + c.Length); all > MostTime {
		return fmt.Errorf("all sides take %v: must be at most %v", all, MostTime)
	}
	return nil
}

// Run measures. Once ctx is done it returns the cases that are whole by then, as interrupted.
func Run(ctx context.Context, c Config) (*callresult.Run, error) {
	if err := c.Validate(); err != nil {
		return nil, err
	}
	run := &callresult.Run{
		Version: callresult.Version,
		Settings: callresult.Settings{
			Rates: c.Rates, Depths: c.Depths, Pairs: c.Pairs, LengthS: c.Length.Seconds(), WarmUpS: warmUp.Seconds(), Seed: c.Seed,
		},
		Host: host(), LoadBefore: loadAverage(),
	}
	start, used := time.Now(), ownTime()
	for i, depth := range c.Depths {
		cases, spent, err := c.depth(ctx, depth, filepath.Join(c.Folder, strconv.Itoa(i)))
		run.Cases = append(run.Cases, cases...)
		used -= spent
		if ctx.Err() != nil {
			run.Interrupted = true
			break
		}
		if err != nil {
			return nil, err
		}
	}
	run.Host.Load = float64(ownTime()-used) / float64(time.Since(start))
	return run, nil
}

// depth measures all rates through one chain, and says what processor time its proxies have spent.
func (c *Config) depth(ctx context.Context, depth int, folder string) (cases []callresult.Case, spent time.Duration, err error) {
	chain, err := startChain(ctx, c.Program, depth, folder)
	if err != nil {
		return nil, 0, err
	}
	defer func() {
		spent = chain.spent()
		err = errors.Join(err, chain.close())
	}()
	for _, rate := range c.Rates {
		one := callresult.Case{Rate: rate, Depth: depth}
		for pair := range c.Pairs {
			p, err := c.pair(ctx, chain, rate, pair)
			if err != nil {
				return cases, 0, err
			}
			if c.Told != nil {
				c.Told(rate, depth, p)
			}
			one.Pairs = append(one.Pairs, p)
		}
		cases = append(cases, one)
	}
	return cases, 0, nil
}

// pair measures the same calls direct and through the chain.
func (c *Config) pair(ctx context.Context, chain *chain, rate float64, pair int) (p callresult.Pair, err error) {
	name := fmt.Sprintf("%s%d-%v-%d", visitor, len(chain.proxies), rate, pair)
	load := load{rate: rate, length: c.Length, seed: c.Seed + uint64(pair)}
	if p.Direct, err = load.drive(ctx, chain.backend(), name+"-direct-"); err != nil {
		return p, err
	}
	before, err := chain.usage(ctx)
	if err != nil {
		return p, err
	}
	if p.Proxied, err = load.drive(ctx, chain.first(), name+"-proxied-"); err != nil {
		return p, err
	}
	after, err := chain.usage(ctx)
	if err != nil {
		return p, err
	}
	for i := range after {
		calls := after[i].served - before[i].served
		spent := after[i].time - before[i].time
		p.HopCalls = append(p.HopCalls, calls)
		p.HopRefused = append(p.HopRefused, after[i].refused-before[i].refused)
		p.HopFailed = append(p.HopFailed, after[i].failed-before[i].failed)
		p.HopCPUUS = append(p.HopCPUUS, float64(spent.Microseconds())/float64(max(calls, 1)))
	}
	return p, nil
}

// host describes this machine and program.
func host() result.Host {
	h := result.Host{Cores: runtime.NumCPU(), Go: runtime.Version()}
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) == nil {
		h.MemoryB = uint64(info.Totalram) * uint64(info.Unit)
	}
	if build, ok := debug.ReadBuildInfo(); ok {
		for _, s := range build.Settings {
			if s.Key == "vcs.revision" {
				h.Commit = s.Value
			}
		}
	}
	return h
}

// loadAverage is the machine's over the last minute; 0 if it cannot be read.
func loadAverage() float64 {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(text), " ")
	load, _ := strconv.ParseFloat(first, 64)
	return load
}

// ownTime is the processor time of this process so far.
func ownTime() time.Duration {
	var r syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &r) != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}
