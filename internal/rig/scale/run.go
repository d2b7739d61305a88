// Package scale measures how the view of the fleet and the agreement on rules scale: it runs a fleet of many hollow members (package
// hollow), which share processes, with voters that have processes of their own, has something happen to it, and writes down how long
// what takes and what it costs.
//
//	config.go     what a run may be asked for
//	bounds.go     what the machine must have for it
//	plan.go       who is part of it, and where each stands
//	host.go       a process of hollow members
//	run.go        the run from its beginning to its end
//	standing.go   how all members stand at one moment
//	document.go   the rules that are agreed before the measured part
//	events.go     what happens in the measured part
//	changes.go    changes of the rules, and how they spread
//	usage.go      what members have used
//	hostcost.go   what a process of hollow members costs by itself
//	result        the file that a run writes
package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"sync"
	"time"

	"brasswell/internal/cluster/rules"
	"brasswell/internal/rig/hollow"
	"brasswell/internal/rig/scale/result"
)

// fleetName is the name of the run's fleet.
const fleetName = "scale"

const (
	// sampleEvery is between two samples of all members.
	sampleEvery = 250 * time.Millisecond
	// progressEvery is between two lines about a run that goes on.
	progressEvery = 5 * time.Second
	// startEvery is between two starts of members over the whole run, unless all start at once.
	startEvery = 10 * time.Millisecond
	// joinTime, and joinPerMember for each, bound the wait until all members hold a lease and see each other.
	joinTime, joinPerMember = 30 * time.Second, 50 * time.Millisecond
	// askTime bounds one question to all hosts.
	askTime = 15 * time.Second
	// mostTrouble bounds what is told of what went wrong.
	mostTrouble = 20
)

// run is a run from its beginning to its end.
type run struct {
	config Config
	plan   *plan
	hosts  []*host
	// observers is a host without members of its own: it counts the real proxies.
	observers *hollow.Host
	service   *service // nil without real proxies
	release   func()   // lets go of the addresses
	folder    string
	memory    uint64 // of the machine
	ctx       context.Context
	stop      context.CancelCauseFunc
	started   time.Time // when the first member was
	measured  time.Time // when the measured part began

	mu       sync.Mutex
	dice     *rand.Rand
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
	r := &run{config: c, sampled: make(chan struct{}), leastShare: 1, dice: rand.New(rand.NewPCG(c.Seed, 0x5ca1e))}
	r.ctx, r.stop = context.WithCancelCause(ctx)
	defer r.stop(nil)
	if err := r.prepare(); err != nil {
		return nil, err
	}
	defer r.close()
	if err := r.openHosts(); err != nil {
		return nil, err
	}
	return r.whole(ctx)
}

// prepare checks the machine's bounds, and places the members.
func (r *run) prepare() error {
	c := &r.config
	var err error
	if r.memory, err = machineMemory(); err != nil {
		return err
	}
	if err := errors.Join(checkMemory(c.Members, r.memory), checkDescriptors(r.perHost())); err != nil {
		return err
	}
	parent := c.Folder
	if parent != "" {
		if err := os.MkdirAll(parent, 0o700); err != nil {
			return fmt.Errorf("scale: --folder: %w", err)
		}
	}
	if err := r.place(); err != nil {
		return err
	}
	if r.folder, err = os.MkdirTemp(parent, "brasswell-scale-"); err != nil {
		r.release()
		return fmt.Errorf("scale: the voters' folders: %w; give another --folder", err)
	}
	return nil
}

// place finds addresses that are free, and holds them for this run.
func (r *run) place() (err error) {
	if base := r.config.Base; base != 0 {
		return r.placeAt(base)
	}
	for range baseTries {
		if err = r.placeAt(drawBase(r.config.Zones)); err == nil {
			return nil
		}
	}
	return err
}

func (r *run) placeAt(base int) error {
	r.plan = newPlan(&r.config, base, r.dice)
	release, err := claim(r.plan.layout)
	if err != nil {
		return err
	}
	if err := free(r.plan.addresses()); err != nil {
		release()
		return err
	}
	r.release = release
	return nil
}

// sharedHosts is how many processes the hollow members share; the solo member's is not counted.
func (r *run) sharedHosts() int {
	most := mostProcesses - Voters - r.config.Real - 1
	return min((r.config.shared()+perHost-1)/perHost, most)
}

// perHost is how many hollow members a process has at most.
func (r *run) perHost() int { return (r.config.shared() + r.sharedHosts() - 1) / r.sharedHosts() }

// openHosts starts the processes, without members.
func (r *run) openHosts() error {
	fleet := hollow.Fleet{
		Name: fleetName, Layout: r.plan.layout, Seeds: r.plan.seeds(), Voters: r.plan.voterNames(), Lease: r.config.Lease,
		Period: r.config.Period, Numbers: r.numbers(), Seed: r.config.Seed,
	}
	if err := r.startHosts(); err != nil {
		return err
	}
	r.observers = hollow.NewHost(fleet)
	for _, h := range r.hosts {
		if _, err := h.call(r.ctx, hollow.Request{Configure: &fleet}); err != nil {
			return err
		}
	}
	return nil
}

// startHosts starts the processes and tells which members each hosts: a voter each, then the shared ones, then the solo member's.
func (r *run) startHosts() error {
	for _, m := range r.plan.members[:Voters] {
		host, err := r.startHost("voter " + m.name)
		if err != nil {
			return err
		}
		m.host = host
	}
	for i := range r.sharedHosts() {
		if _, err := r.startHost(fmt.Sprintf("host %d", i+1)); err != nil {
			return err
		}
	}
	for i, m := range r.plan.sharedMembers() {
		m.host = r.hosts[Voters+i%r.sharedHosts()]
	}
	solo := r.plan.solo
	if solo == nil {
		return nil
	}
	host, err := r.startHost("host of " + solo.name + " alone")
	solo.host = host
	return err
}

// startHost starts one process.
func (r *run) startHost(name string) (*host, error) {
	h, err := startHost(r.config.Program, name)
	if err != nil {
		return nil, err
	}
	r.hosts = append(r.hosts, h)
	return h, nil
}

// numbers says whether the leader deals out the members' own numbers, which it does only to so many.
func (r *run) numbers() bool { return r.config.Numbers && r.config.Members <= rules.MostMembers }

// whole does the run on hosts that are ready.
func (r *run) whole(interrupt context.Context) (*result.Run, error) {
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

// startAll starts all members: voters at once, the others one after another at each host.
func (r *run) startAll(ctx context.Context, every time.Duration) error {
	r.started = time.Now()
	if err := r.start(ctx, r.plan.members[:Voters], 0); err != nil {
		return err
	}
	var starting sync.WaitGroup
	var serviceErr error
	if real := r.plan.realMembers(); len(real) > 0 {
		starting.Go(func() { serviceErr = r.startService(ctx, real) })
	}
	err := r.start(ctx, r.plan.hollowMembers(), every)
	starting.Wait()
	return errors.Join(err, serviceErr)
}

// startService starts the real proxies, with load.
func (r *run) startService(ctx context.Context, members []*memberPlan) error {
	if err := r.nowLiving(ctx, members); err != nil {
		return err
	}
	if err := r.openService(ctx, members); err != nil {
		return err
	}
	r.service.load(r.ctx)
	return nil
}

// nowLiving notes that members are about to live, here and at all hosts.
func (r *run) nowLiving(ctx context.Context, members []*memberPlan) error {
	living := hollow.Living{}
	r.mu.Lock()
	for _, m := range members {
		m.living = true
		living.Up = append(living.Up, hollow.Boot{Name: m.name, Boot: m.boot})
	}
	r.expected = r.plan.digest()
	r.mu.Unlock()
	_, err := r.all(ctx, hollow.Request{Living: &living})
	return err
}

// start starts members, one after another at each host.
func (r *run) start(ctx context.Context, members []*memberPlan, every time.Duration) error {
	if err := r.nowLiving(ctx, members); err != nil {
		return err
	}
	return r.each(members, func(h *host, members []*memberPlan) error {
		ask := hollow.Start{Every: every}
		for _, m := range members {
			folder := ""
			if m.voter {
				folder = filepath.Join(r.folder, m.name)
			}
			ask.Members = append(ask.Members, m.spec(folder))
		}
		_, err := h.call(ctx, hollow.Request{Start: &ask})
		return err
	})
}

// cut cuts a region off, or heals that.
func (r *run) cut(ctx context.Context, c hollow.Cut) error {
	_, err := r.all(ctx, hollow.Request{Cut: &c})
	return err
}

// kill ends members at once, without a word to others.
func (r *run) kill(ctx context.Context, members []*memberPlan) error {
	living := hollow.Living{}
	r.mu.Lock()
	for _, m := range members {
		m.living = false
		living.Down = append(living.Down, m.name)
	}
	r.expected = r.plan.digest()
	r.mu.Unlock()
	if _, err := r.all(ctx, hollow.Request{Living: &living}); err != nil {
		return err
	}
	return r.each(members, func(h *host, members []*memberPlan) error {
		ask := hollow.Stop{}
		for _, m := range members {
			ask.Names = append(ask.Names, m.name)
		}
		_, err := h.call(ctx, hollow.Request{Stop: &ask})
		return err
	})
}

// each does something at every host that has some of the members, at one time.
func (r *run) each(members []*memberPlan, do func(*host, []*memberPlan) error) error {
	by := map[*host][]*memberPlan{}
	for _, m := range members {
		by[m.host] = append(by[m.host], m)
	}
	var doing sync.WaitGroup
	errs := make(chan error, len(by))
	for h, members := range by {
		doing.Go(func() { errs <- do(h, members) })
	}
	doing.Wait()
	close(errs)
	var all []error
	for err := range errs {
		all = append(all, err)
	}
	return errors.Join(all...)
}

// all asks all hosts at one time.
func (r *run) all(ctx context.Context, ask hollow.Request) ([]hollow.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	replies, errs := make([]hollow.Reply, len(r.hosts)), make([]error, len(r.hosts))
	var asking sync.WaitGroup
	for i, h := range r.hosts {
		asking.Go(func() { replies[i], errs[i] = h.call(ctx, ask) })
	}
	own := r.observers.Answer(ctx, ask)
	asking.Wait()
	return append(replies, own), errors.Join(errs...)
}

// sample takes down how all members stand until ctx is done, and ends the run where it uses too much.
func (r *run) sample(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, sampleEvery)
		replies, err := r.all(ctx, hollow.Request{Sample: &hollow.Sample{}})
		if err != nil {
			if ctx.Err() == nil {
				r.trouble("a sample failed: %v", err)
				for _, h := range r.hosts {
					if h.gone() {
						r.stop(h.fault(errEnded))
					}
				}
			}
			continue
		}
		var now standing
		for _, reply := range replies {
			now.add(reply.Sample)
		}
		r.take(now)
		if allowed := uint64(memoryShare * float64(r.memory)); now.MemoryB > allowed {
			r.stop(fmt.Errorf("scale: stopped: its processes use %d MiB, and %d MiB are allowed (half of the machine's memory)", now.MemoryB>>20, allowed>>20))
		}
	}
}

// take makes a sample the newest.
func (r *run) take(now standing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.now = now
	close(r.sampled)
	r.sampled = make(chan struct{})
	if r.watchLeases && now.Living > 0 {
		r.leastShare = min(r.leastShare, float64(now.Leased)/float64(now.Living))
	}
	if living := len(r.plan.living()); r.rightFrom > 0 && r.rightAt == 0 && now.Living == living && now.right(r.expected) == living {
		r.rightAt = max(now.ViewChangedNS, r.rightFrom)
	}
}

// standing is the newest sample, what all views should show, and how many members should live.
func (r *run) standing() (now standing, expected uint64, living int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.now.clone(), r.expected, len(r.plan.living())
}

// await waits until a sample is as it should be, for so long at most, and says whether one was.
func (r *run) await(ctx context.Context, within time.Duration, is func(*standing) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	for {
		r.mu.Lock()
		now, next := r.now.clone(), r.sampled
		r.mu.Unlock()
		if is(&now) {
			return true
		}
		select {
		case <-next:
		case <-ctx.Done():
			return false
		}
	}
}

// awaitJoined waits until all members hold a lease and see each other.
func (r *run) awaitJoined(ctx context.Context, out *result.Run) {
	r.expectRight(r.started)
	_, _, members := r.standing()
	within := joinTime + time.Duration(members)*joinPerMember
	leased := r.await(ctx, within, func(s *standing) bool { return s.Living == members && s.Joined == members })
	if leased {
		now, _, _ := r.standing()
		took := seconds(now.JoinedNS - r.started.UnixNano())
		out.Leases.AllAfterS = &took
	}
	right := r.await(ctx, within, r.allRight)
	if ctx.Err() != nil {
		return
	}
	now, expected, _ := r.standing()
	if !leased {
		r.trouble("%d of %d members had no lease within %v of their start; it goes on without", members-now.Joined, members, within)
	}
	if !right {
		r.trouble("%d of %d members did not see just the living ones within %v of their start", members-now.right(expected), members, within)
	}
}

// allRight says whether all members that should live do, and see just each other.
func (r *run) allRight(s *standing) bool {
	_, expected, living := r.standing()
	return s.Living == living && s.right(expected) == living
}

// awaitCalm waits until all members hold a lease and nothing is on its way.
func (r *run) awaitCalm(ctx context.Context) {
	_, _, living := r.standing()
	calm := func(s *standing) bool { return s.allLeased(living) && s.LowVersion == s.LastVersion }
	if !r.await(ctx, r.settling(), calm) && ctx.Err() == nil {
		now, _, _ := r.standing()
		r.trouble("as the measured part begins, %d of %d members hold a lease, and they act on versions %d to %d of %d", now.Leased, living, now.LowVersion, now.HighVersion, now.LastVersion)
	}
}

// expectRight waits for all views to be right from a moment on.
func (r *run) expectRight(from time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rightFrom, r.rightAt = from.UnixNano(), 0
}

// rightAfter is how long it took until all views were right; nil where they are not yet. The lock is held.
func (r *run) rightAfter() *float64 {
	if r.rightAt == 0 {
		return nil
	}
	took := seconds(r.rightAt - r.rightFrom)
	return &took
}

// eventOver notes that the event has happened: from here on the views are waited for.
func (r *run) eventOver() { r.expectRight(time.Now()) }

// awaitSettled waits until all members hold a lease, all views are right and all agreed changes in force.
func (r *run) awaitSettled(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.settling())
	defer cancel()
	_, _, living := r.standing()
	r.await(ctx, r.settling(), func(s *standing) bool { return s.allLeased(living) && r.allRight(s) })
	for _, p := range r.phases {
		r.awaitInForce(ctx, p, r.settling())
	}
}

// progress tells people how the run goes on.
func (r *run) progress(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, progressEvery)
		now, expected, living := r.standing()
		r.say("%d of %d live, %d with a lease, %d right views, leader %s, versions %d to %d of %d, %d MiB", now.Living, living, now.Leased,
			now.right(expected), now.Leader, now.LowVersion, now.HighVersion, now.LastVersion, now.MemoryB>>20)
	}
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
	r.release()
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
