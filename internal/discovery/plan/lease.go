// Package plan decides for a client of discovery. Events in, answers out, the time as an argument: it has no I/O, no lock, and reads no
// clock. Times are spans of the process's steady clock.
package plan

import "time"

const (
	// ToldWithin is when what discovery had while it could be reached counts as told, whatever became of the calls.
	ToldWithin = 6 * time.Second
	// moveToldWithin is when an agent's news count as told behind a move to it.
	moveToldWithin = 4 * time.Second
	// leaseSlack is the part of the grace behind a notice, 500 ms, for which the list is still acted on. The rest is for a process that is
	// held up between this decision and its write.
	leaseSlack = 300 * time.Millisecond
	// LeaseTime is for how long a whole answer lets the list be acted on.
	LeaseTime = ToldWithin + leaseSlack
	// outageDials in a row that fail are an outage, whoever took a call before them. One may be this machine's own trouble.
	outageDials = 3
	// ServiceFailed is how long no call may have been answered, whatever else they met, until the old list is acted on again: a fleet that
	// serves by an old list is better then than one that serves nobody.
	ServiceFailed = 5 * time.Minute
)

// CallEnd is how a call for the server list ended.
type CallEnd string

// The ends of calls.
const (
	Answered    CallEnd = "answered"
	TurnedAway  CallEnd = "turned_away" // discovery had no room for it, or is down
	CutOff      CallEnd = "cut_off"     // its answer broke off, or cannot be read
	NoAnswer    CallEnd = "no_answer"   // its connection ended with no answer begun
	Unreachable CallEnd = "unreachable" // no connection came up
	TimedOut    CallEnd = "timed_out"   // it was given up for staying silent
	Superseded  CallEnd = "superseded"  // another call of the same question was answered or is made in its place
	Moved       CallEnd = "moved"       // discovery has another address now
	NoMeans     CallEnd = "no_means"    // this process has no descriptor, port or memory for it now
)

// CallEnds are all of them.
func CallEnds() []CallEnd {
	return []CallEnd{Answered, TurnedAway, CutOff, NoAnswer, Unreachable, TimedOut, Superseded, Moved, NoMeans}
}

// Standing is how far the list that is held can be relied on.
type Standing string

// The standings.
const (
	Confirmed   Standing = "confirmed"   // discovery gave a whole answer recently enough
	Unconfirmed Standing = "unconfirmed" // it did not, and the list is acted on since discovery is out of reach
	Stale       Standing = "stale"       // it did not, though it may be there: the list is not acted on
)

// Lease says whether the server list may be acted on. A whole answer of discovery grants it for LeaseTime, and so does a dial that fails:
// what changes while discovery is out of reach counts as told from its return on. A dial is believed if no call has got past its own since
// the answer, or if it is one of several in a row, and if nothing can have counted as told before it. Whoever takes a call and gives no
// whole answer, be it with silence, a reset or a refusal, may be a discovery that is down or one that is there and has news, and the list
// is not acted on by a guess.
type Lease struct {
	pushed   bool
	granted  time.Duration // when the lease began
	answered time.Duration // when discovery last gave a whole answer
	listened bool          // someone took a call since then
	failed   int           // dials in a row
	outage   time.Duration // when the first of them began
	moved    time.Duration
	spoke    bool          // an agent has met a call with something other than silence or a whole answer, since its last one
	told     time.Duration // when what it had then counts as told
	dropped  bool          // an answer was thrown away that counts as told
	drop     time.Duration
}

// NewLease returns the lease of a process that starts at a time. pushed says that the address is an agent on this machine, which answers at
// once with what it has, or is silent while discovery is down.
func NewLease(now time.Duration, pushed bool) *Lease {
	return &Lease{pushed: pushed, granted: now, answered: now, moved: now - moveToldWithin}
}

// Answered takes in a whole answer that began at a time and was acted on.
func (l *Lease) Answered(begun time.Duration) {
	*l = Lease{pushed: l.pushed, granted: begun, answered: begun, moved: l.moved}
}

// Dropped takes in a whole answer that was thrown away: what it said counts as told.
func (l *Lease) Dropped(begun time.Duration) {
	if !l.dropped {
		l.dropped, l.drop = true, begun
	}
	l.taken()
}

// Moved takes in that discovery has another address.
func (l *Lease) Moved(now time.Duration) { l.moved = now }

// Connected takes in that a connection for a call came up. goesOn says that the call goes on with a watch that was answered right before:
// its connection is a part of that answer.
func (l *Lease) Connected(goesOn bool) {
	if !goesOn {
		l.taken()
	}
}

// AnswerBegun takes in the first byte of an answer, whatever it says.
func (l *Lease) AnswerBegun() { l.taken() }

// Ended takes in the end of a call without a whole answer, which began at a time.
func (l *Lease) Ended(end CallEnd, begun, now time.Duration) {
	switch end {
	case Unreachable:
		l.dialFailed(begun)
	case TurnedAway, CutOff, NoAnswer:
		if !l.spoke {
			l.spoke, l.told = true, max(now, l.moved+moveToldWithin)
		}
	}
}

func (l *Lease) taken() { l.listened, l.failed = true, 0 }

func (l *Lease) dialFailed(begun time.Duration) {
	if l.failed == 0 {
		l.outage = begun
	}
	l.failed++
	believed := !l.listened || l.failed >= outageDials
	if believed && l.outage < l.granted+ToldWithin {
		l.granted = max(l.granted, begun)
	}
}

// Standing says how far the list can be relied on.
func (l *Lease) Standing(now time.Duration) Standing {
	switch {
	case now < l.ends():
		if now < l.answered+LeaseTime {
			return Confirmed
		}
		return Unconfirmed
	case now >= l.answered+ServiceFailed:
		return Unconfirmed
	}
	return Stale
}

// Age is for how long discovery has given no whole answer, or since the start.
func (l *Lease) Age(now time.Duration) time.Duration { return now - l.answered }

// never is later than any time.
const never = time.Duration(1<<63 - 1)

// ends is until when the list may be acted on.
func (l *Lease) ends() time.Duration {
	end := l.granted + LeaseTime
	if l.pushed {
		end = never // its silence is an outage
		if l.spoke {
			end = l.told + leaseSlack
		}
	}
	if l.dropped {
		end = min(end, l.drop+leaseSlack)
	}
	return end
}
