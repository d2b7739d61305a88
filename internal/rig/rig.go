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
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"brasswell/internal/rig/comeback"
	"brasswell/internal/rig/faults"
	"brasswell/internal/rig/history"
	"brasswell/internal/rig/holdup"
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
	// mostMembers is how many members have addresses in one network.
	mostMembers = 250
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
	HeldUp  []holdup.HoldUp          `json:"held_up"`        // when processes that were ready did not run, the rig's own among them
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

// New builds the stand-ins, the switchboard and the members' files. Nothing is started yet.
func New(c Config) (*Rig, error) {
	if err := c.Story.Validate(); err != nil {
		return nil, err
	}
	r := &Rig{config: c, byName: map[string]*member{}, layers: map[int]*faults.Layer{}, zero: time.Now(), board: NewSwitchboard(c.Story.Seed)}
	rules := audit.DefaultRules()
	rules.Slack, rules.AnswerSlack = 250*time.Millisecond, 500*time.Millisecond
	rules.Keep = 10 * time.Second // what a slow path brings is told behind later events, and judged by the time of its sending
	var err error
	if r.temporary, err = os.MkdirTemp("", "rig"); err != nil {
		return nil, fmt.Errorf("rig: %w", err)
	}
	if r.fleet, err = standin.NewFleet(standin.FleetConfig{Seed: c.Story.Seed, Backends: c.Story.Backends, Slots: c.Story.Slots, WarmUp: time.Duration(c.Story.WarmUp), Rules: rules}); err != nil {
		r.board.Close()
		return nil, err
	}
	if err := r.settle(drawNetwork); err != nil {
		r.board.Close()
		return nil, errors.Join(err, r.fleet.Close(), os.RemoveAll(r.temporary))
	}
	return r, nil
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
