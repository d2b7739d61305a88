// Package model runs schedules of calls between a follower of package plan and a discovery service under adversarial
// faults, on a virtual clock. It checks, by the operators' notice rules alone, whether the list was acted on after a
// change that counts as notified.
//
// An answer has three times: when discovery decides its content, when discovery writes it, and when the process
// reads it.
package model

import "time"

// Outcome is what happens to a call.
type Outcome string

// The outcomes.
const (
	Normal        Outcome = "well"         // answered at once, or as soon as there is a change that the call waits for
	Queued        Outcome = "slow"         // waits in discovery's queue, and is answered then
	WrittenLate   Outcome = "lagged"       // its answer is decided at once, and written later
	DeliveredLate Outcome = "delayed"      // its answer is written at once, and arrives later
	Truncated     Outcome = "cut"          // its connection ends within the answer
	StalledAnswer Outcome = "stalled"      // the answer stops before its end
	NoResponse    Outcome = "silent"       // no answer
	Reset         Outcome = "reset"        // its connection ends without an answer
	RefusedAtOnce Outcome = "refused"      // refused at once
	RefusedLate   Outcome = "refused-late" // refused after a wait
	DialRefused   Outcome = "dial-refused" // no connection is established: no process is listening
	DialTimeout   Outcome = "dial-silent"  // no connection is established: the dial times out
	DialLate      Outcome = "dial-late"    // its connection is established late, or too late
)

// Outcomes returns all outcomes.
func Outcomes() []Outcome {
	return []Outcome{Normal, Queued, WrittenLate, DeliveredLate, Truncated, StalledAnswer, NoResponse, Reset, RefusedAtOnce, RefusedLate, DialRefused, DialTimeout, DialLate}
}

// unreachable reports whether no connection is established.
func (o Outcome) unreachable() bool { return o == DialRefused || o == DialTimeout }

// Outage is a period in which discovery is down for all processes. Changes that happen in it can be reported from
// its end on.
type Outage struct {
	From, To time.Duration
	Outcome  Outcome // of the calls
}

// Share is the fraction of the calls that have an outcome.
type Share struct {
	Outcome  Outcome
	Fraction float64
}

// Phase sets, from a time on, the shares of the calls that have an outcome other than Normal. Discovery is running,
// and other processes can reach it.
type Phase struct {
	From   time.Duration
	Shares []Share
}

// Stall is a period in which the process does not run.
type Stall struct{ From, For time.Duration }

// Schedule is the input of one run.
type Schedule struct {
	Seed         uint64
	Pushed       bool
	Length       time.Duration
	CallOutcomes []Outcome // of the first calls, in order; Phases applies to the others
	Phases       []Phase   // in order of time
	Outages      []Outage
	// Watches end early at these times: they are reset, or stay silent until the process gives them up.
	WatchResets, WatchSilences []time.Duration
	Changes                    []time.Duration // times at which the list changes, in order
	Moves                      []time.Duration // SIGHUPs that set another address of discovery, in order
	Renumberings               []time.Duration // times at which discovery restarts its version count from a lower number
	Stalls                     []Stall         // in order, not overlapping
	Start                      time.Duration   // of the process, which has the initial list then
	AskEvery                   time.Duration   // ask_every_ms of the settings; 0 for the default
	WholeLists                 float64         // fraction of the answers that contain the whole list, requested or not
	Literal                    bool            // AfterWait and BetweenCalls are checked as well
}

const (
	// callLatency is the time before the answer to a call without faults begins.
	callLatency = time.Millisecond
	// queueTimeout is how long discovery lets a call wait before it refuses the call, and dialTimeout how long a
	// dial without a response lasts.
	queueTimeout = 2 * time.Second
	dialTimeout  = time.Second
	// maxQueueDelay is the longest that a call waits in the queue, and maxWriteDelay the longest time between the
	// decision of an answer and its writing.
	maxQueueDelay, maxWriteDelay = 3 * time.Second, 3 * time.Second
	// maxTransitDelay is the longest that an answer is in transit, which the grace has to cover, and maxDialDelay
	// the longest time before a late connection is established.
	maxTransitDelay, maxDialDelay = 300 * time.Millisecond, 1500 * time.Millisecond
	// maxStall is the longest stall of the process, and maxAllowedStall the longest that the operators' pages allow
	// for.
	maxStall, maxAllowedStall = 3 * time.Second, 150 * time.Millisecond
	// maxWatchDelay is the longest that the balancer waits before it requests a watch again.
	maxWatchDelay = time.Second
	// faultFreeEnd is the length of the period at the end of a schedule that has no faults.
	faultFreeEnd = 15 * time.Second
	// defaultAskEvery is ask_every_ms if a schedule does not set it.
	defaultAskEvery = 10 * time.Second
)
