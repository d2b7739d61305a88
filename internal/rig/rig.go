// Package rig runs many real processes of the program on loopback, with stand-ins round them, and plays a story: faults
// between the processes and upon them, at stated moments and from a seed. What the processes say becomes one history,
// which package history judges; the four rules are judged by the stand-ins' auditor.
//
//	internal/rig           processes, switchboard, the play
//	internal/rig/story     what happens, as data; no I/O
//	internal/rig/faults    what becomes of each datagram; no I/O
//	internal/rig/history   what it shows; no I/O
//	internal/rig/loopback  who draws which addresses
package rig

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"brasswell/internal/rig/comeback"
	"brasswell/internal/rig/faults"
	"brasswell/internal/rig/history"
	"brasswell/internal/rig/loopback"
	"brasswell/internal/rig/procfs"
	"brasswell/internal/rig/ruling"
	"brasswell/internal/rig/story"
	"brasswell/internal/standin"
	"brasswell/internal/standin/audit"
)

const (
	// The ports of each member, on an address of its own, below those that the kernel gives out.
	fleetPort, consolePort, proxyPort = 17946, 17947, 17948
	// The console of an upgraded member is at one of these in turn.
	oddConsolePort, evenConsolePort = 17949, 17950
	// placeTries is how many networks are drawn for one whose addresses are all free.
	placeTries = 10
	// readyTime bounds the start of all processes together.
	readyTime = 30 * time.Second
	// patience bounds the end of a process that was asked to end.
	patience = 6 * time.Second
	// noticeTime is after how long the front in the callers' stead no longer sends to a proxy that does not answer.
	noticeTime = time.Second
	// excuseTime after a proxy is back, the requests that it could not answer are over.
	excuseTime = 2500 * time.Millisecond
	// youngTime is how long a process counts as just started for others that come back.
	youngTime = 5 * time.Second
	memoryMB  = 64
	sockets   = 512
	mostSeeds = 3
)

// Config is a rig to be built.
type Config struct {
	Story   *story.Story
	Program Program
	Folder  string // for the members' folders, which the rig makes
	// Settings are further lines of every member's operator file.
	Settings string
	// Names are by what other name a member goes, where that is not its own; two may go by one.
	Names map[string]string
	// Seeds are the addresses that members ask first, in place of those of the first three; "%s" stands for the member's own.
	Seeds []string
	// Refuse: members without a lease refuse all.
	Refuse bool
	// Off leaves the view of the fleet out, for comparisons.
	Off bool
	// Told is called with each second's sample while the story plays; may be nil.
	Told func(Sample)
}

// Sample is what happened within one second of a story.
type Sample struct {
	At      int             `json:"at_s"` // at its end
	Served  int64           `json:"served"`
	Refused int64           `json:"refused"`
	Failed  int64           `json:"failed"`
	Worth   comeback.Second `json:"worth"` // earned, by class
	Views   map[string]int  `json:"views"` // by living member, how many it holds present, itself included
}

// Result is what a play has come to.
type Result struct {
	Story   string                   `json:"story"`
	Seed    uint64                   `json:"seed"`
	Verdict history.Verdict          `json:"verdict"`
	Rules   audit.Report             `json:"rules"`
	Tally   map[string]standin.Tally `json:"tally"`
	Samples []Sample                 `json:"samples"`
	Agreed  ruling.Verdict           `json:"agreed"`
	Back    *comeback.Verdict        `json:"back,omitempty"` // after a loss of power, in stories with one
	CPU     time.Duration            `json:"cpu_ns"`         // of the members that were there from the beginning to the end
	Events  []history.Event          `json:"-"`
}

// Rig is a fleet of processes. Play it once, then Close it.
type Rig struct {
	config  Config
	fleet   *standin.Fleet
	board   *Switchboard
	members []*member
	byName  map[string]*member
	layers  map[int]*faults.Layer
	// temporary is a folder for what processes of one member find each other by; a socket's path has to be short.
	temporary string

	mu     sync.Mutex
	zero   time.Time // of the story's clock
	events []history.Event
}

type member struct {
	name    string
	callers *standin.Callers
	address string // where callers connect
	real    string // where the fleet's messages are taken in
	public  string // where others send them

	mu   sync.Mutex
	at   *process
	down time.Time // since when it does not work; zero if it does
	back time.Time // when it last came back
}

// New builds the stand-ins, the switchboard and the members' files. Nothing is started yet.
func New(c Config) (*Rig, error) {
	if err := c.Story.Validate(); err != nil {
		return nil, err
	}
	r := &Rig{config: c, byName: map[string]*member{}, layers: map[int]*faults.Layer{}, zero: time.Now(), board: NewSwitchboard(c.Story.Seed)}
	rules := audit.DefaultRules()
	rules.Slack, rules.AnswerSlack = 250*time.Millisecond, 500*time.Millisecond
	var err error
	if r.temporary, err = os.MkdirTemp("", "rig"); err != nil {
		return nil, fmt.Errorf("rig: %w", err)
	}
	if r.fleet, err = standin.NewFleet(standin.FleetConfig{Seed: c.Story.Seed, Backends: c.Story.Backends, Slots: c.Story.Slots, WarmUp: time.Duration(c.Story.WarmUp), Rules: rules}); err != nil {
		r.board.Close()
		return nil, err
	}
	if err := r.settle(drawNetwork); err != nil {
		return nil, errors.Join(err, r.fleet.Close(), os.RemoveAll(r.temporary))
	}
	return r, nil
}

// settle draws networks until the members can be placed in one.
func (r *Rig) settle(draw func() network) error {
	for try := 1; ; try++ {
		err := r.place(draw())
		if err == nil {
			return nil
		}
		r.board.Close()
		r.letGo()
		if try == placeTries || !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
		r.board = NewSwitchboard(r.config.Story.Seed)
	}
}

// letGo closes the sockets that are held in the platform's stead.
func (r *Rig) letGo() {
	for _, m := range r.members {
		if held := m.process().held; held != nil {
			held.Close()
		}
	}
}

// network is the second and third bytes of the addresses of a rig's members; their public ones have the next third byte.
type network struct{ second, third byte }

// drawNetwork is one that another rig may have by a rare chance, which place finds.
func drawNetwork() network { return network{loopback.Rigs.Draw(), byte(2 * rand.IntN(125))} }

// real is where a member itself listens.
func (n network) real(member int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n.second, n.third, byte(member + 1)}), port)
}

// public is where others send a member's fleet messages.
func (n network) public(member int) netip.AddrPort {
	return network{n.second, n.third + 1}.real(member, fleetPort)
}

// checkFree says whether a member can listen at all of its addresses.
func (n network) checkFree(member int) error {
	var addresses []netip.AddrPort
	for _, port := range []uint16{fleetPort, consolePort, proxyPort, oddConsolePort, evenConsolePort} {
		addresses = append(addresses, n.real(member, port))
	}
	if err := loopback.CheckFree(addresses); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	return nil
}

// place gives the members their addresses in a network, and writes their files. The switchboard holds all public addresses from then on,
// so that no other rig takes the network; the members' own are looked at after that.
func (r *Rig) place(n network) error {
	if r.config.Story.Members > 250 {
		return fmt.Errorf("rig: %d members; 250 processes at most", r.config.Story.Members)
	}
	r.members, r.byName = nil, map[string]*member{}
	var seeds []string
	for i := range min(mostSeeds, r.config.Story.Members) {
		seeds = append(seeds, n.public(i).String())
	}
	for i, name := range r.config.Story.Names() {
		real, public := n.real(i, fleetPort), n.public(i)
		if err := r.board.Member(name, public, real); err != nil {
			return err
		}
		if err := n.checkFree(i); err != nil {
			return err
		}
		folder := filepath.Join(r.config.Folder, name)
		own := filepath.Join(folder, "own")
		if err := os.MkdirAll(own, 0o700); err != nil {
			return fmt.Errorf("rig: %w", err)
		}
		m := &member{name: name, address: n.real(i, proxyPort).String(), real: real.String(), public: public.String()}
		m.at = &process{
			program: r.config.Program, name: name, folder: own, console: n.real(i, consolePort).String(), lines: r.line,
			temporary: r.temporary, args: []string{"run", "-c", filepath.Join(folder, "operator.toml")},
			env: []string{"RELAY_CONFIG=" + filepath.Join(folder, "config.json")},
		}
		if err := r.platformFile(i, m, filepath.Join(folder, "config.json")); err != nil {
			return err
		}
		text := LogSection
		if r.config.Story.Changes > 0 {
			text += "level = \"debug\"\n" // each act, and on what it rested
		}
		text += r.config.Settings
		if !r.config.Off {
			asked := seeds
			if r.config.Seeds != nil {
				asked = nil
				for _, s := range r.config.Seeds {
					asked = append(asked, strings.ReplaceAll(s, "%s", public.String()))
				}
			}
			text += FleetSection("rig", real.String(), public.String(), time.Duration(r.config.Story.Period), own, asked)
		}
		if r.config.Story.Keepers > 0 {
			alone := "serve"
			if r.config.Refuse {
				alone = "refuse"
			}
			text += RulesSection(r.config.Story.Names()[:r.config.Story.Keepers], own, alone)
		}
		if r.config.Story.Recover {
			text += fmt.Sprintf("\n[recovery]\nfolder = %q\nevery = \"1s\"\nyoung = %q\n", own, youngTime)
		}
		if err := os.WriteFile(filepath.Join(folder, "operator.toml"), []byte(text), 0o600); err != nil {
			return fmt.Errorf("rig: %w", err)
		}
		if r.config.Story.Upgrades(name) {
			if err := m.hold(); err != nil {
				return err
			}
		}
		m.callers = r.fleet.CallersOf(i, m.address)
		r.members = append(r.members, m)
		r.byName[name] = m
	}
	return nil
}

// platformFile writes a member's file for the platform, in which discovery and every backend are behind the switchboard.
func (r *Rig) platformFile(i int, m *member, path string) error {
	behind := map[string]string{} // the tunnel to each backend, by its id
	for _, b := range r.fleet.Backends {
		id := b.State().ID
		at, err := r.board.Tunnel(m.name, id, b.Address)
		if err != nil {
			return err
		}
		behind[id] = at
	}
	told := func(h standin.Host) standin.Host { h.Dial = behind[h.Host]; return h }
	list, err := r.fleet.Discovery.ServeAs(told)
	if err != nil {
		return err
	}
	discovery, err := r.board.Tunnel(m.name, story.Discovery, func() string { return list })
	if err != nil {
		return err
	}
	text, err := r.fleet.ConfigAt(i, r.config.Story.Members, memoryMB, sockets, standin.Place{
		Name: cmp.Or(r.config.Names[m.name], m.name), Listen: m.address, Console: m.at.console, Discovery: discovery, Told: told,
	})
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	return nil
}

// note adds an event of the rig's own to the history, as of now.
func (r *Rig) note(who, what string, fields map[string]string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, history.Event{At: time.Since(r.zero), Who: who, What: what, Fields: fields})
}

// mostEvents bounds the history; a process that logs without end must not fill the memory.
const mostEvents = 1 << 20

// line takes in a line that a process has said.
func (r *Rig) line(name, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.events) < mostEvents {
		r.events = append(r.events, history.Parse(name, text, r.zero, time.Now()))
	}
}

// Events is the history so far.
func (r *Rig) Events() []history.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.events)
}

// start starts a member's process.
func (r *Rig) start(m *member) error {
	r.note(m.name, history.Started, nil)
	return m.process().start()
}

// Start starts all members but the late ones, and returns once they take clients and see each other, or ctx is done.
func (r *Rig) Start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	var first []*member
	for _, m := range r.members {
		if slices.Contains(r.config.Story.Late, m.name) {
			m.strike()
			continue
		}
		if err := r.start(m); err != nil {
			return err
		}
		first = append(first, m)
	}
	for _, m := range first {
		if err := m.process().ready(ctx); err != nil {
			return err
		}
	}
	for !r.config.Off && len(history.Judge(r.config.Story, r.Events()).Wrong) > 0 {
		wait(ctx, 20*time.Millisecond)
		if ctx.Err() != nil {
			return fmt.Errorf("rig: the members do not find each other: %v", history.Judge(r.config.Story, r.Events()).Wrong)
		}
	}
	// The story's clock begins here; what is in the history by now lies before it.
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for i := range r.events {
		r.events[i].At -= now.Sub(r.zero)
	}
	r.zero = now
	return nil
}

// Play plays the story to its end, or until ctx is done, and returns what it has come to.
func (r *Rig) Play(ctx context.Context) (*Result, error) {
	s := r.config.Story
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	loading, unload := context.WithCancel(ctx)
	var load sync.WaitGroup
	if s.Load > 0 {
		for _, m := range r.members {
			load.Go(func() {
				m.callers.Run(loading, standin.Load{Rate: s.Load / float64(len(r.members)), Retries: 1, Backoff: 100 * time.Millisecond, Slack: 500 * time.Millisecond})
			})
		}
	}
	var beside sync.WaitGroup
	beside.Go(func() { r.front(loading) })
	beside.Go(func() { r.operate(loading) })
	samples := make(chan []Sample, 1)
	beside.Go(func() { samples <- r.sample(loading) })

	before := r.cpu()
	err := r.acts(ctx)
	if err == nil {
		r.until(ctx, time.Duration(s.Length))
	}
	unload()
	load.Wait()
	beside.Wait()
	var used time.Duration
	for pid, after := range r.cpu() {
		if at, there := before[pid]; there {
			used += after - at
		}
	}
	if s.Changes > 0 {
		r.versions(context.WithoutCancel(ctx))
	}
	r.fleet.Books.Settle()
	result := &Result{Story: s.Name, Seed: s.Seed, Tally: map[string]standin.Tally{}, Samples: <-samples, CPU: used, Events: r.Events()}
	result.Rules = r.fleet.Books.Report()
	if !r.config.Off {
		result.Verdict = history.Judge(s, result.Events)
	}
	if s.Changes > 0 {
		r.mu.Lock()
		zero := time.Duration(r.zero.UnixNano())
		r.mu.Unlock()
		result.Agreed = ruling.Judge(result.Events, zero)
	}
	for _, m := range r.members {
		result.Tally[m.name] = m.callers.Tally()
	}
	if first, last, lost := s.Losses(); lost {
		var seconds []comeback.Second
		for _, one := range result.Samples {
			seconds = append(seconds, one.Worth)
		}
		back := comeback.Judge(seconds, first, last)
		result.Back = &back
	}
	return result, err
}

// cpu is the processor time that each member's process has used, by its id.
func (r *Rig) cpu() map[int]time.Duration {
	used := map[int]time.Duration{}
	for _, m := range r.members {
		pid := r.PID(m.name)
		if spent, err := procfs.ProcessorTime(pid); err == nil {
			used[pid] = spent
		}
	}
	return used
}

// until waits for a moment of the story's clock, and says whether it came.
func (r *Rig) until(ctx context.Context, at time.Duration) bool {
	wait(ctx, at-time.Since(r.zero))
	return ctx.Err() == nil
}

// acts plays the story's events.
func (r *Rig) acts(ctx context.Context) error {
	for _, a := range r.config.Story.Acts() {
		if !r.until(ctx, a.At) {
			return nil
		}
		e := r.config.Story.Events[a.Event]
		what := history.Began
		if a.End {
			what = history.Over
		}
		fields := map[string]string{"do": e.Do, "event": fmt.Sprint(a.Event), "who": strings.Join(e.Who, " ")}
		var err error
		switch {
		case e.Network():
			r.net(a, e)
			r.note("", what, fields)
		case e.Standins():
			r.note("", what, fields)
			err = r.backends(a, e)
		default:
			r.note("", what, fields)
			err = r.upon(a, e)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// net plays an event of the ways between processes.
func (r *Rig) net(a story.Act, e story.Event) {
	if a.End {
		r.board.Remove(r.layers[a.Event])
		delete(r.layers, a.Event)
		return
	}
	r.layers[a.Event] = r.board.Add(r.config.Story.Paths(e), e.Condition())
}

// backends plays an event upon stand-in backends, and has discovery tell of it.
func (r *Rig) backends(a story.Act, e story.Event) error {
	for i, b := range r.fleet.Backends {
		if !slices.Contains(e.Who, b.State().ID) {
			continue
		}
		if !a.End {
			b.Die()
			r.fleet.List(i, "removed")
			continue
		}
		if err := b.Return(); err != nil {
			return fmt.Errorf("rig: %w", err)
		}
		r.fleet.List(i, "up")
	}
	return nil
}

// upon plays an event upon processes: on all of them at once, and returns once it is done to each.
func (r *Rig) upon(a story.Act, e story.Event) error {
	who := r.members
	if len(e.Who) > 0 {
		who = nil
		for _, n := range e.Who {
			who = append(who, r.byName[n])
		}
	}
	errs := make([]error, len(who))
	var all sync.WaitGroup
	for i, m := range who {
		all.Go(func() { errs[i] = r.one(m, a, e) })
	}
	all.Wait()
	return errors.Join(errs...)
}

func (r *Rig) one(m *member, a story.Act, e story.Event) error {
	switch {
	case e.Do == story.Start || a.End && (e.Do == story.Kill || e.Do == story.Stop):
		if e.Folder == "lost" {
			if err := m.process().lose(); err != nil {
				return err
			}
		}
		m.well()
		return r.start(m)
	case e.Do == story.Kill:
		m.strike()
		r.note(m.name, history.Ended, nil) // before it is done: what others then say comes after
		return m.process().kill()
	case e.Do == story.Stop:
		m.quiet()
		err := m.process().terminate(patience)
		m.strike()
		r.note(m.name, history.Ended, nil)
		return err
	case e.Do == story.Upgrade && !a.End:
		return r.upgrade(m)
	case e.Do == story.Pause && !a.End:
		m.strike()
		r.note(m.name, history.Stopped, nil)
		return m.process().stop()
	case e.Do == story.Pause:
		m.well()
		defer r.note(m.name, history.Resumed, nil)
		return m.process().signal(syscall.SIGCONT)
	case e.Do == story.Starve && !a.End:
		m.strike()
		m.process().starved(e.Size)
	case e.Do == story.Starve:
		m.process().feed()
		m.well()
	}
	return nil
}

// process is the member's present process.
func (m *member) process() *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.at
}

// hold opens the member's socket in the platform's stead.
func (m *member) hold() error {
	l, err := net.Listen("tcp", m.address)
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	defer l.Close()
	if m.at.held, err = l.(*net.TCPListener).File(); err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	return nil
}

// upgrade starts a new process of a member beside the running one, and ends that once the new one takes clients.
func (r *Rig) upgrade(m *member) error {
	old := m.process()
	host, _, err := net.SplitHostPort(old.console)
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	next := &process{
		program: old.program, name: old.name, folder: old.folder, temporary: old.temporary, lines: r.line, args: old.args, held: old.held,
		console: net.JoinHostPort(host, fmt.Sprint(oddConsolePort+old.starts%2)),
	}
	next.env = append(slices.DeleteFunc(slices.Clone(old.env), func(e string) bool { return strings.HasPrefix(e, "RELAY_CONSOLE=") }), "RELAY_CONSOLE="+next.console)
	next.starts = old.starts // which start counts on
	if err := next.start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), readyTime)
	defer cancel()
	if err := next.ready(ctx); err != nil {
		return errors.Join(err, next.kill())
	}
	r.note(m.name, history.Started, nil) // its view is a new one
	m.mu.Lock()
	m.at = next
	m.mu.Unlock()
	return old.terminate(patience)
}

// strike notes that a script keeps the member from its work.
func (m *member) strike() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.callers.Struck(true)
	m.down = time.Now()
}

// excused notes that what it could not answer is over, if it has worked for long enough.
func (m *member) excused() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down.IsZero() && time.Since(m.back) > excuseTime {
		m.callers.Struck(false)
	}
}

// quiet keeps new callers from a member that is about to end.
func (m *member) quiet() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = time.Now().Add(-noticeTime)
}

// well notes that it goes on.
func (m *member) well() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down, m.back = time.Time{}, time.Now()
}

// frontEvery is between two looks of the front.
const frontEvery = 50 * time.Millisecond

// front deals the load out among the members that work, as the platform's does: it takes one in that answers, and notices
// after some time that one does not.
func (r *Rig) front(ctx context.Context) {
	for ctx.Err() == nil {
		in := make([]bool, len(r.members))
		n := 0
		for i, m := range r.members {
			m.mu.Lock()
			working := m.down.IsZero()
			in[i] = !working && time.Since(m.down) < noticeTime
			back := m.back
			m.mu.Unlock()
			if working {
				probe, cancel := context.WithTimeout(ctx, frontEvery)
				code, _, err := m.process().get(probe, "/v1/readyz")
				cancel()
				in[i] = err == nil && code == 200 || time.Since(back) > noticeTime
				m.excused()
			}
			if in[i] {
				n++
			}
		}
		for i, m := range r.members {
			if in[i] {
				m.callers.Surge(float64(len(r.members)) / float64(n))
			} else {
				m.callers.Surge(0)
			}
		}
		wait(ctx, frontEvery)
	}
}

// sample takes each second down.
func (r *Rig) sample(ctx context.Context) []Sample {
	var samples []Sample
	var before Sample
	earned := map[string]float64{}
	for second := 1; r.until(ctx, time.Duration(second)*time.Second); second++ {
		now := Sample{At: second}
		all := map[string]float64{}
		for _, m := range r.members {
			t := m.callers.Tally()
			for class, worth := range t.EarnedBy {
				all[class] += worth
			}
			now.Served, now.Refused, now.Failed = now.Served+t.Served, now.Refused+t.Refused, now.Failed+t.Failed
		}
		one := Sample{At: second, Served: now.Served - before.Served, Refused: now.Refused - before.Refused, Failed: now.Failed - before.Failed}
		one.Worth = comeback.Second{}
		for class, worth := range all {
			one.Worth[class] = worth - earned[class]
		}
		earned = all
		one.Views = history.Present(r.config.Story, r.Events())
		before = now
		samples = append(samples, one)
		if r.config.Told != nil {
			r.config.Told(one)
		}
	}
	return samples
}

// Ask calls a member's console.
func (r *Rig) Ask(ctx context.Context, name, path string) (int, string, error) {
	m := r.byName[name]
	if m == nil {
		return 0, "", fmt.Errorf("rig: no member %q", name)
	}
	return m.process().get(ctx, path)
}

// Tell posts to a member's console.
func (r *Rig) Tell(ctx context.Context, name, path, body string) (int, string, error) {
	m := r.byName[name]
	if m == nil {
		return 0, "", fmt.Errorf("rig: no member %q", name)
	}
	return m.process().call(ctx, http.MethodPost, path, strings.NewReader(body))
}

// Sent is how many requests a stand-in backend has been sent by now.
func (r *Rig) Sent(backend string) int64 {
	for _, b := range r.fleet.Backends {
		if s := b.State(); s.ID == backend {
			return s.Arrived
		}
	}
	return 0
}

// Folder is a member's own folder.
func (r *Rig) Folder(name string) string { return r.byName[name].process().folder }

// Close ends every process, stand-in and path.
func (r *Rig) Close() error {
	var errs []error
	for _, m := range r.members {
		errs = append(errs, m.process().kill())
	}
	errs = append(errs, r.fleet.Close())
	r.board.Close()
	r.letGo()
	return errors.Join(append(errs, os.RemoveAll(r.temporary))...)
}

// Real is where a member's fleet messages are taken in; a stranger may send there, past the switchboard.
func (r *Rig) Real(name string) string { return r.byName[name].real }

// Address is where callers connect to a member.
func (r *Rig) Address(name string) string { return r.byName[name].address }

// Console is where operators ask a member.
func (r *Rig) Console(name string) string { return r.byName[name].process().console }

// Public is where others send a member's fleet messages: on the switchboard.
func (r *Rig) Public(name string) string { return r.byName[name].public }

// PID is the process id of a member; 0 while it is not there.
func (r *Rig) PID(name string) int { return r.byName[name].process().pid() }

// Boot is the boot by which one member knows another, from the history; 0 if it does not.
func (r *Rig) Boot(of, about string) (boot uint64) {
	for _, e := range r.Events() {
		if e.Who == of && e.What == history.MemberLine && e.Fields["member"] == about {
			boot, _ = strconv.ParseUint(e.Fields["boot"], 16, 64)
		}
	}
	return boot
}

// Signal sends a signal to a member's process, as an operator does.
func (r *Rig) Signal(name string, s syscall.Signal) error { return r.byName[name].process().signal(s) }

// Rewrite changes a member's operator file; a reload takes it in.
func (r *Rig) Rewrite(name string, change func(text string) string) error {
	path := filepath.Join(r.config.Folder, name, "operator.toml")
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("rig: %w", err)
	}
	return os.WriteFile(path, []byte(change(string(text))), 0o600)
}

// Banned tells the auditor that an operator has had the yes to a ban everywhere, or to its end: from here on what goes to that
// backend breaks a rule.
func (r *Rig) Banned(backend string, out bool) { r.fleet.Books.ByHand(backend, out) }

// LeaveOut has discovery leave backends off its list that are still there, until the function that it returns is called.
func (r *Rig) LeaveOut(backends ...string) (restore func()) {
	return r.fleet.Discovery.LeaveOut(backends...)
}

// Kill kills a member's process, as a story's kill does.
func (r *Rig) Kill(name string) error {
	return r.one(r.byName[name], story.Act{}, story.Event{Do: story.Kill})
}

// Restart starts a member's process that was killed; its own folder is emptied before, if it is lost.
func (r *Rig) Restart(name string, lost bool) error {
	e := story.Event{Do: story.Start}
	if lost {
		e.Folder = "lost"
	}
	return r.one(r.byName[name], story.Act{}, e)
}

// Pause stops a member's process until the function that it returns is called.
func (r *Rig) Pause(name string) (resume func() error, err error) {
	m := r.byName[name]
	err = r.one(m, story.Act{}, story.Event{Do: story.Pause})
	return func() error { return r.one(m, story.Act{End: true}, story.Event{Do: story.Pause}) }, err
}

// Cut lets nothing pass between members until the function that it returns is called.
func (r *Rig) Cut(who, with []string) (heal func()) {
	layer := r.board.Add(r.config.Story.Paths(story.Event{Do: story.Cut, Who: who, With: with}), faults.Condition{Cut: true})
	return func() { r.board.Remove(layer) }
}
