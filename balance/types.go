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
)

func name(n int, names []string) string {
	if n < 0 || n >= len(names) {
		return strconv.Itoa(n)
	}
	return names[n]
}

// Effect says what running a request more than once would do.
type Effect int

// The effects of a class.
const (
	Idempotent   Effect = iota // may run, and be refused, any number of times
	Deduplicated               // repeats are dropped by the servers of one group, within a window
	AtMostOnce                 // must never run twice
)

// Group says which servers drop the repeats of a Guarded request.
type DedupScope int

// The groups of servers that share what they know of repeats.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// State is what the server list says of a server.
type State int

// The states of a server in a list.
const (
	InService State = iota
	Draining        // finishing its work; nothing new may go to it
	Gone            // removed; seen only among changes
)

// ListKind says how an Update's entries relate to the list already held.
type ListKind int

// The kinds of list update.
const (
	Delta      ListKind = iota // only the entries that changed, maybe none: it shows that the watch stands
	Full                       // the whole list; who is missing is gone
	Cached                     // the whole list as last seen before a restart, maybe stale
	ListFailed                 // a Watch failed or its subscription dropped; no entries
)

func (k ListKind) String() string { return name(int(k), listKindNames) }

// Outcome is how one attempt ended.
type Outcome int

// The outcomes of an attempt. QueueFull, ConnectError and Ignored prove that it never ran. Rejected is the
// server's word that the request itself is at fault, which says nothing about the server.
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

func (o Outcome) String() string { return name(int(o), outcomeNames) }

// ProvesUnrun reports whether the outcome proves that the attempt had no effect.
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
	Aim           time.Duration // an answer after this is worth only LateWorth
	ClientTimeout time.Duration // how long a client waits over all its tries
	Effect        Effect
	DedupScope    DedupScope
	DedupWindow   time.Duration // how long a Guarded repeat is dropped, from the first send that might have run
	Value         float64
	LateValue     float64 // share of Worth that an answer after Aim still earns
}

// Tenant describes one tenant; QuotaPerSecond holds for all instances together.
type Tenant struct {
	QuotaPerSecond float64
}

// Settings is all that an instance is told at its start. The zero value of a limit is taken literally.
type Settings struct {
	Self      int // own number, 0 to Instances-1
	Instances int // instances of this tier
	Tier      int // the tier sent to; 0 is the one that clients reach
	Classes   []Class
	Tenants   []Tenant

	OverQuotaValue float64 // worth of a request beyond its tenant's quota, as a share of its class's
	MaxAttempts    int
	CanCancel      bool
	AskForList     bool          // the list comes only to who watches it
	AskEvery       time.Duration // without a watch, this long after asking one counts as told

	RetryAfter    bool          // callers are told how long to stay away
	MaxRetryAfter time.Duration // the longest that they heed

	ColdCapacity     float64 // a server starts with at least this share of its capacity
	WarmUp           time.Duration
	OverloadMultiple float64 // a cold server sent this many times its capacity for FallTime falls over
	OverloadTime     time.Duration
}

// Validate reports the first thing in the settings that cannot be.
func (s *Settings) Validate() error {
	switch {
	case s.Instances < 1:
		return fmt.Errorf("settings: %d instances", s.Instances)
	case s.Self < 0 || s.Self >= s.Instances:
		return fmt.Errorf("settings: own number %d is outside 0..%d", s.Self, s.Instances-1)
	case len(s.Classes) == 0:
		return errors.New("settings: no request classes")
	case s.MaxAttempts < 1:
		return fmt.Errorf("settings: at most %d attempts", s.MaxAttempts)
	case s.ColdCapacity < 0 || s.ColdCapacity > 1 || s.WarmUp < 0 || s.OverloadTime < 0 || s.OverloadMultiple < 0:
		return errors.New("settings: impossible figures for cold servers")
	}
	for i, c := range s.Classes {
		if c.Effect < Idempotent || c.Effect > AtMostOnce || c.DedupScope < DedupAll || c.DedupScope > DedupCell {
			return fmt.Errorf("settings: class %d has an unknown effect or group", i)
		}
		if c.Aim <= 0 || c.ClientTimeout <= 0 || c.DedupWindow < 0 || c.Value < 0 {
			return fmt.Errorf("settings: class %d has impossible times or worth", i)
		}
	}
	return nil
}

// Request is one request as it arrives. ID is never used again.
type Request struct {
	ID        string
	Class     int
	Tenant    int
	Remaining time.Duration // until the client gives this try up; from Received on if it is still arriving
	// Within is how long this instance can work on it, where that may be less than Left; 0 for no bound. Left alone
	// tells what the client does.
	LocalBudget time.Duration
	// Arriving requests are sent on while their body still comes in. A server begins once it has all of it.
	BodyPending bool
}

// Result is how one attempt ended. Finished is set when the request is over, by this outcome or earlier.
type Result struct {
	ID           string
	Attempt      int
	Outcome      Outcome
	Latency      time.Duration
	Finished     bool
	BodyConsumed bool // the body is no longer whole here: the request cannot be sent again
}

// Host carries out what an instance decides, in the order of the calls, at the time of the event being
// handled. It must not call back into the Balancer from within a call.
type Host interface {
	// Send starts the next attempt of a request; attempts count from 0. It ends in one Result. The timeout
	// counts from Received for a request that is still arriving, and no longer once the answer has Started.
	Send(id, server string, timeout time.Duration)
	// Refuse is a final answer that lets the client try again without harm, after a wait if it is above 0.
	Refuse(id string, wait time.Duration)
	// Fail is a final answer without any promise.
	Fail(id string)
	// Cancel stops waiting for an attempt; its Result still comes.
	Cancel(id string, attempt int)
	// SetTimer asks for one Timer event with this token.
	SetTimer(delay time.Duration, token uint64)
	// Watch subscribes to changes of the server list; one Update answers it.
	Watch()
	// Log adds a line for people to read.
	Log(line string)
}
