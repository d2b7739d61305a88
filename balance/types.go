package balance

import (
	"errors"
	"fmt"
	"strconv"
	"time"
)

var (
	outcomeNames  = []string{"ok", "failed", "queue_full", "timed_out", "connect_error", "reset", "canceled", "ignored", "rejected"}
	listKindNames = []string{"delta", "full", "cached", "failed"}

	slowActionNames = []string{"keep_waiting", "pass_on", "give_up"}
)

func enumName(n int, names []string) string {
	if n < 0 || n >= len(names) {
		return strconv.Itoa(n)
	}
	return names[n]
}

// Effect describes what happens if a request runs more than once.
type Effect int

// Effects of a request class.
const (
	Idempotent   Effect = iota // may run and be refused any number of times
	Deduplicated               // repeats are dropped by the servers of one scope, within a window
	AtMostOnce                 // must never run twice
)

// DedupScope identifies the servers that drop the repeats of a Deduplicated request.
type DedupScope int

// Scopes within which servers share their record of repeats.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// State is the state of a server in the server list.
type State int

// Server states.
const (
	InService State = iota
	Draining        // finishing its current requests; receives no new ones
	Gone            // removed; appears only in deltas
)

// ListKind tells how an update's entries relate to the current list.
type ListKind int

// Kinds of list updates.
const (
	Delta      ListKind = iota // only the entries that changed; an empty delta shows that the watch works
	Full                       // the whole list; a server that is missing from it is gone
	Cached                     // the whole list as last seen before a restart; may be stale
	ListFailed                 // a Watch failed or its subscription dropped; no entries
)

func (k ListKind) String() string { return enumName(int(k), listKindNames) }

// Outcome is how one attempt ended.
type Outcome int

// Outcomes of an attempt. QueueFull, ConnectError and Ignored prove that it never ran. Rejected means that the server
// found the request itself at fault, which says nothing about the server's health.
const (
	OK Outcome = iota
	Failed
	QueueFull
	TimedOut
	ConnectError
	Reset
	Canceled
	Ignored
	Rejected
)

func (o Outcome) String() string { return enumName(int(o), outcomeNames) }

// ProvesNotExecuted reports whether the outcome proves that the attempt had no effect.
func (o Outcome) ProvesNotExecuted() bool {
	return o == QueueFull || o == ConnectError || o == Ignored
}

// Entry is one server in a list.
type Entry struct {
	ID    string
	Zone  int
	Cell  int
	State State
	Boot  time.Duration // clock time of its last start; 0 means long ago
}

// Class describes one class of requests.
type Class struct {
	Aim           time.Duration // an answer after this time earns only LateValue
	ClientTimeout time.Duration // how long a client waits over all its tries
	Effect        Effect
	DedupScope    DedupScope
	DedupWindow   time.Duration // how long repeats are dropped, from the first send that may have run
	Value         float64
	LateValue     float64 // share of Value that an answer after Aim still earns
}

// Tenant describes one tenant. All instances share QuotaPerSecond.
type Tenant struct {
	QuotaPerSecond float64
}

// Settings configures an instance. The zero value of a limit is taken literally, not as a default.
type Settings struct {
	Self      int // own number, 0 to Instances-1
	Instances int // instances of this tier
	Tier      int // the tier that requests are sent to; clients reach tier 0
	Classes   []Class
	Tenants   []Tenant

	OverQuotaValue float64 // value of a request beyond its tenant's quota, as a share of its class's value
	MaxAttempts    int
	CanCancel      bool
	AskForList     bool          // the list is sent only to instances that watch it
	AskEvery       time.Duration // an instance without a watch counts as notified this long after it asked

	RetryAfter    bool          // refusals tell callers how long to wait
	MaxRetryAfter time.Duration // the longest wait that callers respect

	ColdCapacity     float64 // a server starts with at least this share of its capacity
	WarmUp           time.Duration
	OverloadMultiple float64 // a cold server fails if it is sent this many times its capacity for OverloadTime
	OverloadTime     time.Duration
}

// Validate returns an error that describes the first invalid setting, or nil.
func (s *Settings) Validate() error {
	switch {
	case s.Instances < 1:
		return fmt.Errorf("settings: %d instances", s.Instances)
	case s.Self < 0 || s.Self >= s.Instances:
		return fmt.Errorf("settings: instance number %d is outside 0..%d", s.Self, s.Instances-1)
	case len(s.Classes) == 0:
		return errors.New("settings: no request classes")
	case s.MaxAttempts < 1:
		return fmt.Errorf("settings: max attempts is %d, want at least 1", s.MaxAttempts)
	case s.ColdCapacity < 0 || s.ColdCapacity > 1 || s.WarmUp < 0 || s.OverloadTime < 0 || s.OverloadMultiple < 0:
		return errors.New("settings: invalid values for cold servers")
	}
	for i, c := range s.Classes {
		if c.Effect < Idempotent || c.Effect > AtMostOnce || c.DedupScope < DedupAll || c.DedupScope > DedupCell {
			return fmt.Errorf("settings: class %d has an unknown effect or group", i)
		}
		if c.Aim <= 0 || c.ClientTimeout <= 0 || c.DedupWindow < 0 || c.Value < 0 {
			return fmt.Errorf("settings: class %d has an invalid time or worth", i)
		}
	}
	return nil
}

// Request is an incoming request. IDs are never reused.
type Request struct {
	ID        string
	Class     int
	Tenant    int
	Remaining time.Duration // until the client gives up this try; starts at BodyReceived if BodyPending
	// LocalBudget is how long this instance can work on the request, if that may be less than Remaining; 0 means no
	// bound. Only Remaining describes what the client does.
	LocalBudget time.Duration
	// BodyPending requests are sent to a server while their body is still being received. The server starts work once
	// it has the whole body.
	BodyPending bool
}

// Result describes how one attempt ended. Finished is set if the request is over, because of this outcome or an
// earlier event.
type Result struct {
	ID           string
	Attempt      int
	Outcome      Outcome
	Latency      time.Duration
	Finished     bool
	BodyConsumed bool // the body is no longer complete here, so the request cannot be sent again
}

// SlowAnswer is an attempt whose answer has begun and is not complete.
type SlowAnswer struct {
	ID      string
	Attempt int
	// Stalled is set if nothing has arrived for as long as the host expects an answer to pause.
	Stalled bool
	// Passable is set if a part of the body has arrived that can be passed on before its end is known.
	Passable bool
	// HeadPassable is set if the head can be passed on before any of the body.
	HeadPassable bool
	// Committed is set if the attempt must not be given up for another one: the answer is known to be long,
	// or the request's body is a stream.
	Committed bool
}

// SlowAction is what to do with a slow answer.
type SlowAction int

// Actions on a slow answer.
const (
	KeepWaiting SlowAction = iota
	PassOn                 // pass on what has arrived, and the rest as it arrives
	GiveUp                 // end the attempt: another one has been sent in its place
)

func (a SlowAction) String() string { return enumName(int(a), slowActionNames) }

// SlowDecision is the decision about a slow answer.
type SlowDecision struct {
	Action SlowAction
	// AskAgain is after which time to ask again at the latest if the answer is still incomplete then; 0 for no
	// such time.
	AskAgain time.Duration
	// Deadline is the time until which the attempt may continue, which may have moved.
	Deadline time.Duration
}

// Host carries out the decisions of an instance, in the order of the calls, at the time of the event being handled.
// Its methods must not call back into the Balancer.
type Host interface {
	// Send starts the next attempt of a request. Attempts are numbered from 0, and each ends in exactly one Result.
	// The timeout starts at BodyReceived if the body is pending, and no longer applies after ResponseStarted.
	Send(id, server string, timeout time.Duration)
	// Refuse gives a final answer that lets the client safely try again, after wait if that is above 0.
	Refuse(id string, wait time.Duration)
	// Fail gives a final answer without that promise.
	Fail(id string)
	// Cancel stops waiting for an attempt. Its Result still arrives.
	Cancel(id string, attempt int)
	// SetTimer requests one Timer event with this token after delay.
	SetTimer(delay time.Duration, token uint64)
	// Watch subscribes to changes of the server list. One Update answers it.
	Watch()
	// Log writes a line for operators.
	Log(line string)
}
