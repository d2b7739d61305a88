// Package demo shows the proxy at work on one machine: a fleet of stand-ins on free loopback ports, callers that
// drive it through a short story, and a summary of what they got and whether the four rules held.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"brasswell/internal/config"
	"brasswell/internal/proxy"
	"brasswell/internal/rig/holdup"
	"brasswell/internal/standin"
	"brasswell/internal/standin/audit"
)

// Options say what is shown and how.
type Options struct {
	For    time.Duration // the story's length
	Seed   uint64
	Listen string    // the proxy's address; "" for a free loopback port
	Out    io.Writer // for people, as the story goes; nil for none
	Live   bool      // Out is a terminal on which a table can be redrawn
}

// Limits on Options.For: shorter than Shortest there is no story, and longer than Longest nobody watches.
const (
	Shortest = 2 * time.Second
	Longest  = time.Hour
)

// Summary is what the demo came to.
type Summary struct {
	Seed   uint64         `json:"seed"`
	Played float64        `json:"played_s"`
	Whole  bool           `json:"whole"` // the story was played to its end
	Tally  standin.Tally  `json:"callers"`
	Rules  []RuleSummary  `json:"rules"`
	Cases  []audit.Broken `json:"cases,omitempty"`
	Kept   bool           `json:"kept"`
	// HeldUp is for how long at most this process, which plays all of it, was ready to run and did not.
	HeldUp time.Duration `json:"held_up_ns"`
}

// RuleSummary is how one rule fared.
type RuleSummary struct {
	Rule   string `json:"rule"`
	Checks int    `json:"checks"`
	Broken int    `json:"broken"`
}

// visitor is how the ids of requests begin that a person sends by hand.
const visitor = "curl"

// rate is first tries a second: 2.4 times of it is about what the fleet can do, and one core carries that easily.
const rate = 300

// classes are the catalogue's, with work that leaves one core time for the callers and the backends too.
func classes() []standin.Class {
	all := standin.Catalogue()
	for i := range all {
		all[i].Work *= 6
	}
	return all
}

// phase is one part of the story.
type phase struct {
	name     string
	from, to float64 // shares of the story's length
	step     *standin.Step
}

// story is what happens, in shares of the whole length.
func story() []phase {
	return []phase{
		{"calm", 0, 0.15, nil},
		{"node-03 runs 8 times slower", 0.15, 0.35, &standin.Step{Do: "slow", Who: []int{3}, Size: 8}},
		{"node-05 is dead", 0.35, 0.45, &standin.Step{Do: "die", Who: []int{5}}},
		{"node-05 is back, cold", 0.45, 0.6, nil},
		{"node-01 drains", 0.6, 0.68, &standin.Step{Do: "drain", Who: []int{1}}},
		{"node-06 is taken out by hand", 0.68, 0.76, &standin.Step{Do: "by-hand", Who: []int{6}}},
		{"a surge of 2.4 times the usual", 0.76, 0.9, &standin.Step{Do: "surge", Size: 2.4}},
		{"calm again", 0.9, 1, nil},
	}
}

func script(length time.Duration) standin.Script {
	s := standin.Script{
		Length: length,
		Load:   standin.Load{Rate: rate, Retries: 3, Backoff: 20 * time.Millisecond, Leave: 0.005, Slack: answerSlack},
	}
	for _, p := range story() {
		if p.step != nil {
			step := *p.step
			step.At = time.Duration(p.from * float64(length))
			step.For = time.Duration((p.to - p.from) * float64(length))
			s.Steps = append(s.Steps, step)
		}
	}
	return s
}

// What a machine may run late before a rule counts as broken: the stand-ins share its cores with the proxy.
const (
	sendSlack   = 250 * time.Millisecond
	answerSlack = 500 * time.Millisecond
)

// Run plays the demo until the story is over or ctx is done; what has been asked by then is still answered.
func Run(ctx context.Context, o Options) (*Summary, error) {
	rules := audit.DefaultRules()
	rules.Slack, rules.AnswerSlack = sendSlack, answerSlack
	f, err := standin.NewFleet(standin.FleetConfig{
		Seed: o.Seed, Classes: classes(), WarmUp: max(o.For/10, time.Second), Rules: rules, Visitor: visitor, Listen: o.Listen,
	})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	p, err := newProxy(f)
	if err != nil {
		return nil, err
	}
	f.OnHand = func(id string, out bool) error { return p.SetBanned(ctx, id, out) }
	serving, stop := context.WithCancel(context.Background())
	served := make(chan error, 1)
	go func() { served <- p.Serve(serving) }()
	if err := awaitReady(ctx, p); err != nil {
		stop()
		return nil, errors.Join(err, <-served)
	}

	callers := f.Callers(p.Addr().String())
	start := time.Now()
	var screen sync.WaitGroup
	watching, stopScreen := context.WithCancel(context.Background())
	if o.Out != nil {
		fmt.Fprintf(o.Out, "8 stand-in nodes in two rooms, discovery, and a proxy at http://%s. Try it meanwhile:\n\n  %s\n\n", p.Addr(), Curl(p.Addr().String()))
		screen.Go(func() { watch(watching, o, f, callers, start) })
	}
	heldUp := holdup.NewRecorder(func() time.Duration { return time.Since(start) })
	screen.Go(func() { heldUp.Run(watching, "demo", nil) })
	err = f.Play(ctx, script(o.For), callers, nil)
	played := time.Since(start)
	stopScreen()
	screen.Wait()
	stop()
	err = errors.Join(err, <-served)
	f.Books.Settle()
	if err != nil {
		return nil, err
	}
	s := summary(o, f, callers, played, ctx.Err() == nil)
	if longest := heldUp.Longest(); len(longest) > 0 {
		s.HeldUp = longest[0].Took
	}
	return s, nil
}

// startTime is how long the proxy may take until it is ready.
const startTime = 10 * time.Second

func awaitReady(ctx context.Context, p *proxy.Proxy) error {
	ctx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	return standin.AwaitReady(ctx, p.Addr().String())
}

// Curl is a command line that asks the proxy for something.
func Curl(address string) string {
	return fmt.Sprintf("curl -i -H 'X-Txn: %s-1' -H 'X-Lane: search' -H 'X-Remaining-Ms: 1000' http://%s/api/item", visitor, address)
}

func newProxy(f *standin.Fleet) (*proxy.Proxy, error) {
	text, err := f.Config(64, 1024)
	if err != nil {
		return nil, err
	}
	return config.NewProxy(text, slog.New(slog.DiscardHandler))
}

func summary(o Options, f *standin.Fleet, callers *standin.Callers, played time.Duration, whole bool) *Summary {
	r := f.Books.Report()
	s := &Summary{Seed: o.Seed, Played: played.Seconds(), Whole: whole, Tally: callers.Tally(), Cases: r.Cases, Kept: r.Kept()}
	for rule := range audit.Rule(len(r.Checks)) {
		s.Rules = append(s.Rules, RuleSummary{rule.String(), r.Checks[rule], r.Broken[rule]})
	}
	return s
}
