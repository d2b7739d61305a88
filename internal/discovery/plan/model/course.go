// Package model plays courses of calls between a follower of package plan and a discovery that an adversary spoils, on a virtual clock, and
// judges by the operators' sentences alone whether the list was acted on behind a change that counted as told.
//
// An answer has three times: when discovery decides what it tells, when it writes it, and when the process reads it.
package model

import "time"

// Fate is what a call meets.
type Outcome string

// The fates.
const (
	Normal        Outcome = "well"         // answered at once, or with the news that it waits for
	Queued        Outcome = "slow"         // waits in discovery's line, and is answered then
	WrittenLate   Outcome = "lagged"       // its answer is decided at once, and written a while later
	DeliveredLate Outcome = "delayed"      // its answer is written at once, and comes a while later
	Truncated     Outcome = "cut"          // its connection ends within the answer
	StalledAnswer Outcome = "stalled"      // stops within the answer
	NoResponse    Outcome = "silent"       // no answer
	Reset         Outcome = "reset"        // its connection ends with no answer
	RefusedAtOnce Outcome = "refused"      // turned away at once
	RefusedLate   Outcome = "refused-late" // turned away after a wait
	DialRefused   Outcome = "dial-refused" // no connection comes up: nobody listens
	DialTimeout   Outcome = "dial-silent"  // the same: the dial times out
	DialLate      Outcome = "dial-late"    // its connection comes up late, or too late
)

// Fates are all of them.
func Outcomes() []Outcome {
	return []Outcome{Normal, Queued, WrittenLate, DeliveredLate, Truncated, StalledAnswer, NoResponse, Reset, RefusedAtOnce, RefusedLate, DialRefused, DialTimeout, DialLate}
}

// reachesNobody says whether no connection comes up.
func (f Outcome) unreachable() bool { return f == DialRefused || f == DialTimeout }

// Outage is a time in which discovery is down for all: what changes in it can be told from its end on.
type Outage struct {
	From, To time.Duration
	Outcome  Outcome // of calls
}

// Share is a share of the calls that meets a fate.
type Share struct {
	Outcome  Outcome
	Fraction float64
}

// Phase is the shares of the calls from a time on that meet something other than an answer. Discovery is there, and others reach it.
type Phase struct {
	From   time.Duration
	Shares []Share
}

// HoldUp is a time in which the process does not run.
type Stall struct{ From, For time.Duration }

// Course is one play, as data.
type Schedule struct {
	Seed         uint64
	Pushed       bool
	Length       time.Duration
	CallOutcomes []Outcome // of the first calls, in order; the phases say it of the others
	Phases       []Phase   // in order of time
	Outages      []Outage
	// Watches end early at these times: they are reset, or fall silent until they are given up.
	WatchResets, WatchSilences []time.Duration
	Changes                    []time.Duration // of the list, in order
	Moves                      []time.Duration // SIGHUPs with another address of discovery, in order
	Renumberings               []time.Duration // discovery counts its versions from lower on
	Stalls                     []Stall         // in order, apart from each other
	Start                      time.Duration   // of the process, with the list of the beginning
	AskEvery                   time.Duration   // ask_every_ms of the settings; 0 for the default
	WholeLists                 float64         // the share of answers that are the whole list, asked for or not
	Literal                    bool            // two older sentences are judged by their letter, too
}

const (
	// callLatency is until a call that meets nothing amiss begins to be answered.
	callLatency = time.Millisecond
	// linePatience is how long discovery lets a call wait until it turns it away, and dialPatience how long a dial stays silent.
	queueTimeout = 2 * time.Second
	dialTimeout  = time.Second
	// slowest is the longest that a call waits in line, and latest that an answer is written behind its decision.
	maxQueueDelay, maxWriteDelay = 3 * time.Second, 3 * time.Second
	// longestWay is the longest that an answer is on its way, which the grace has to cover, and latestDial until a late connection comes up.
	maxTransitDelay, maxDialDelay = 300 * time.Millisecond, 1500 * time.Millisecond
	// longestHoldUp is of the process, and allowedHoldUp the longest that the pages allow for.
	maxStall, maxAllowedStall = 3 * time.Second, 150 * time.Millisecond
	// balancerMost is the longest that the balancer waits until it asks for a watch again.
	maxWatchDelay = time.Second
	// quietTime at the end of a course nothing is amiss in.
	faultFreeEnd = 15 * time.Second
	// defaultAskEvery is ask_every_ms where a course does not say it.
	defaultAskEvery = 10 * time.Second
)
