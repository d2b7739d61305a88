// Package scale measures how the view of the fleet and the agreement on rules scale: it runs a fleet of many hollow members (package
// hollow), which share processes, with voters that have processes of their own, has something happen to it, and writes down how long
// what takes and what it costs.
//
//	config.go     what a run may be asked for
//	bounds.go     what the machine must have for it
//	plan.go       who is part of it, and where each stands
//	host.go       a process of hollow members
//	real.go       the processes of the whole program, and their load
//	run.go        the run from its beginning to its end
//	setup.go      the processes of a run, before any member is started
//	members.go    members are started, killed and cut off
//	standing.go   how all members stand at one moment
//	sampling.go   the newest of these moments, and waits for one that is as it should be
//	settle.go     waits until all members have come, or nothing is on its way
//	document.go   the rules that are agreed before the measured part
//	events.go     what happens in the measured part
//	changes.go    changes of the rules, and how they spread
//	usage.go      what members have used
//	hostcost.go   what a process of hollow members costs by itself
//	result        the file that a run writes
package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"brasswell/internal/rig/hollow"
	"brasswell/internal/rig/loopback"
	"brasswell/internal/rig/scale/result"
)

// fleetName is the name of the run's fleet.
const fleetName = "scale"

// mostTrouble bounds what is told of what went wrong.
const mostTrouble = 20

// run is a run from its beginning to its end.
type run struct {
	config Config
	plan   *plan
	hosts  []*host
	// observers is a host without members of its own: it counts the real proxies.
	observers *hollow.Host
	service   *service        // nil without real proxies
	claim     *loopback.Claim // of the addresses
	folder    string
	memory    uint64 // of the machine
	ctx       context.Context
	stop      context.CancelCauseFunc
	started   time.Time // when the first member was
	measured  time.Time // when the measured part began

	mu       sync.Mutex
	random   *rand.Rand
	phases   []*phase
	troubles []string
	now      standing      // the newest sample
	sampled  chan struct{} // closed with the next sample
	// watchLeases: leastShare is the smallest share of living members with a lease from here on.
	watchLeases bool
	leastShare  float64
	rightFrom   int64  // from when on the views are waited for; 0 for not
	rightAt     int64  // when all views were right since; 0 for not yet
	expected    uint64 // digest of the living members
	// deadRightAfter is how long it took until all views were right about members that died and returned later; nil for never.
	deadRightAfter *float64
}

// Run does a run. An error comes alone where nothing was begun, and beside what was measured so far where a bound was reached.
func Run(ctx context.Context, c Config) (*result.Run, error) {
	c = c.withDefaults()
	if err := c.Validate(); err != nil {
		return nil, err
	}
	r := &run{config: c, sampled: make(chan struct{}), leastShare: 1, random: rand.New(rand.NewPCG(c.Seed, 0x5ca1e))}
	r.ctx, r.stop = context.WithCancelCause(ctx)
	defer r.stop(nil)
	if err := r.prepare(); err != nil {
		return nil, err
	}
	defer r.close()
	if err := r.openHosts(); err != nil {
		return nil, err
	}
	return r.perform(ctx)
}

// perform does the run on hosts that are ready.
func (r *run) perform(interrupt context.Context) (*result.Run, error) {
	sampling, endSampling := context.WithCancel(context.WithoutCancel(r.ctx))
	var beside sync.WaitGroup
	defer beside.Wait()
	defer endSampling()
	beside.Go(func() { r.sample(sampling) })
	beside.Go(func() { r.progress(sampling) })

	out := r.newResult()
	before, err := r.begin(out)
	if err != nil {
		return nil, err
	}
	if before != nil {
		r.say("measuring: %s for %v", r.config.Event, r.config.Length)
		r.play(r.ctx)
	}
	after := r.endMeasuring(out, before)
	r.say("settling")
	r.awaitSettled(r.ctx)
	r.finish(out, before, after)
	out.Interrupted = interrupt.Err() != nil
	if cause := context.Cause(r.ctx); cause != nil && interrupt.Err() == nil {
		return out, cause
	}
	return out, nil
}

// begin starts all members and begins the measured part, unless the run is ended before: then it returns no usage.
func (r *run) begin(out *result.Run) (before *usage, err error) {
	every := startEvery * time.Duration(r.sharedHosts())
	if r.config.Event == Start {
		before, every = r.beginMeasuring(out), 0
	}
	if err := r.startAll(r.ctx, every); err != nil && r.ctx.Err() == nil {
		return nil, err
	}
	r.awaitJoined(r.ctx, out)
	if r.config.Event != Start {
		r.say("building the document")
		r.build(r.ctx)
		r.awaitCalm(r.ctx)
		if r.ctx.Err() != nil {
			return nil, nil
		}
		before = r.beginMeasuring(out)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchLeases = true
	return before, nil
}

func (r *run) newResult() *result.Run {
	c := &r.config
	out := &result.Run{Version: result.Version, Changes: []result.Phase{}}
	out.Settings = result.Settings{
		Members: c.Members, Real: c.Real, Voters: Voters, Regions: c.Regions, Zones: c.Zones, RTTMS: milliseconds(c.RTT), Event: string(c.Event),
		LengthS: c.Length.Seconds(), LeaseS: c.Lease.Seconds(), PeriodMS: milliseconds(c.Period), Seed: c.Seed,
	}
	out.Host = result.Host{Cores: runtime.NumCPU(), MemoryB: r.memory, Go: runtime.Version(), Commit: commit()}
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// commit is the one that the program was built from, where the build says so.
func commit() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return ""
}

func (r *run) say(format string, a ...any) {
	if r.config.Progress != nil {
		fmt.Fprintf(r.config.Progress, "%6.1f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, a...))
	}
}

// trouble notes what went wrong with the run itself.
func (r *run) trouble(format string, a ...any) {
	text := fmt.Sprintf(format, a...)
	r.say("TROUBLE: %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.troubles) < mostTrouble {
		r.troubles = append(r.troubles, text)
	}
}

// close ends all processes and removes their folders.
func (r *run) close() {
	var ending sync.WaitGroup
	if r.service != nil {
		ending.Go(r.service.close)
	}
	for _, h := range r.hosts {
		ending.Go(h.close)
	}
	ending.Wait()
	r.claim.Release()
	os.RemoveAll(r.folder)
}

// wait waits for a time, or until ctx is done.
func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
