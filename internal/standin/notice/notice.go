// Package notice decides when a change of the server list counts as told to one proxy, by the operators' sentences. Several sentences may
// apply to one change; the earliest holds. The package has no I/O and no clock: events come in with their time, in order, and answers come
// out. It knows nothing of the proxy, so it holds for any. docs/design/told.md lists the sentences and the questions that they leave open.
package notice

import (
	"cmp"
	"slices"
	"time"
)

// The operators' figures.
const (
	// Latest is how long after discovery had a change, and could be reached, the change counts as told at the latest.
	Latest = 6 * time.Second
	// AfterSIGHUP is how long after SIGHUP all that discovery has counts as told.
	AfterSIGHUP = 4 * time.Second
	// AfterSilence is how long after a watch fell silent the changes that it misses count as told.
	AfterSilence = 6 * time.Second
	// AfterWait is how long after the wait of a long poll the changes that it should have told count as told.
	AfterWait = 2 * time.Second
	// BetweenCalls is how soon after an answer the next call has to come for a watch to go on.
	BetweenCalls = 200 * time.Millisecond
	// FailedFactor stretches Settings.AskEvery behind a call that failed.
	FailedFactor = 4
)

// Sentence names the operators' sentence by which a change counts as told.
type Sentence string

// The sentences.
const (
	InFirstList  Sentence = "in the list that the process started with"
	Written      Sentence = "written to the proxy"
	BetweenPolls Sentence = "made between two calls of a watch"
	WithAgent    Sentence = "the agent has it"
	Reloaded     Sentence = "4 s after SIGHUP"
	SilentWatch  Sentence = "6 s after its watch fell silent"
	WaitOver     Sentence = "2 s after the wait of a long poll"
	NotAsked     Sentence = "no watch, and not asked for long"
	AtTheLatest  Sentence = "6 s after discovery had it"
)

// Settings are what the settings of a deployment say about discovery.
type Settings struct {
	Pushed   bool          // an agent beside the proxy is sent the list; otherwise discovery is asked
	AskEvery time.Duration // how long a proxy with no watch is held to its list; 0 for not looked at
}

// List is what a proxy has been given: at its start, or by an answer.
type List struct {
	Whole   bool // servers that are not named are gone
	Entries []Entry
}

// Entry is the state of one server.
type Entry struct {
	Server string
	Off    bool // it drains or is gone
}

// tells says whether the list tells that a server drains or is gone.
func (l List) tells(server string) bool {
	for _, e := range l.Entries {
		if e.Server == server {
			return e.Off
		}
	}
	return l.Whole
}

// CallID identifies a call of the proxy to discovery.
type CallID uint64

// Told says from when on a change counts as told, and why.
type Told struct {
	Server   string
	At       time.Duration
	Sentence Sentence
}

// change is that a server drains or is gone.
type change struct {
	server    string
	available bool          // discovery has had it while it could be reached
	since     time.Duration // it was available from then on
	told      *Told         // to the process that runs; nil for not yet
	written   bool          // the process that runs has been given it
}

// call is a call to discovery that has not been answered.
type call struct {
	watch    bool
	began    time.Duration
	wait     time.Duration
	silent   bool
	silentAt time.Duration
	ended    bool
	endedAt  time.Duration // where ended
	failed   bool          // ended, and its caller could see that
}

// reload is a SIGHUP.
type reload struct {
	at      time.Duration
	heard   bool // a call that was made after it was answered
	heardAt time.Duration
}

// missed says whether a change came up before the call's end.
func (c *call) missed(x *change) bool { return !c.ended || x.since <= c.endedAt }

// waitEnd is when what the call may wait for counts as told.
func (c *call) waitEnd() time.Duration { return c.began + c.wait + AfterWait }

// Judge follows what one proxy is told. It is not safe for concurrent use; times must not step back.
type Judge struct {
	settings Settings

	changes map[string]*change
	fresh   []*change // told, and not yet named by Due

	down       bool
	returnedAt time.Duration // discovery came back last

	startedAt time.Duration // of the process that runs
	reloads   []reload
	calls     map[CallID]*call

	lastCall   CallID
	calledAt   time.Duration // when lastCall began
	failed     bool          // lastCall has failed
	watchedAt  time.Duration // when a watch was answered or failed last
	between    bool          // a watch has been answered, and no call has come since
	answeredAt time.Duration // where between
}

// NewJudge returns a judge for a proxy whose process has not started; discovery can be reached.
func NewJudge(s Settings) *Judge {
	return &Judge{settings: s, changes: map[string]*change{}, calls: map[CallID]*call{}}
}

// Started takes in that a process of the proxy starts with a list. What only an earlier process was told counts no more.
func (j *Judge) Started(now time.Duration, first List) {
	j.advance(now)
	j.startedAt, j.reloads, j.between, j.failed = now, nil, false, false
	j.lastCall, j.calledAt, j.watchedAt = 0, now, now
	clear(j.calls)
	j.fresh = nil
	for _, x := range j.changes {
		x.told, x.written = nil, false
	}
	j.advance(now) // what counts as told since before the start
	j.given(now, first, InFirstList)
}

// Off takes in that a server drains or is gone from now on, as discovery has it.
func (j *Judge) Off(now time.Duration, server string) {
	j.advance(now)
	if j.changes[server] != nil {
		return // draining and then gone: the first counts
	}
	j.changes[server] = &change{server: server, available: !j.down, since: now}
}

// On takes in that a server is in service again. deemed says that the change before counted as told to the process that runs though it
// had not been given it.
func (j *Judge) On(now time.Duration, server string) (deemed bool) {
	j.advance(now)
	x := j.changes[server]
	delete(j.changes, server)
	j.fresh = slices.DeleteFunc(j.fresh, func(f *change) bool { return f == x })
	return x != nil && x.told != nil && !x.written
}

// Reachable takes in whether discovery can be reached from now on, by everybody.
func (j *Judge) Reachable(now time.Duration, yes bool) {
	j.advance(now)
	if j.down != yes {
		return // as before
	}
	j.down = !yes
	if j.down {
		return
	}
	j.returnedAt = now
	for _, x := range j.changes {
		if !x.available {
			x.available, x.since = true, now
		}
	}
}

// SIGHUP takes in that the process that runs has been sent SIGHUP.
func (j *Judge) SIGHUP(now time.Duration) {
	j.advance(now)
	j.reloads = append(j.reloads, reload{at: now})
}

// Called takes in that a call begins. A watch may wait for as long as wait; calls that fetch the whole list do not wait.
func (j *Judge) Called(now time.Duration, id CallID, watch bool, wait time.Duration) {
	j.advance(now)
	j.calls[id] = &call{watch: watch, began: now, wait: wait}
	j.lastCall, j.calledAt, j.failed, j.between = id, now, false, false
}

// FellSilent takes in that a watch says nothing more, and stays open.
func (j *Judge) FellSilent(now time.Duration, id CallID) {
	j.advance(now)
	if c := j.calls[id]; c != nil && !c.silent {
		c.silent, c.silentAt = true, now
	}
}

// Answered takes in that an answer has been written whole.
func (j *Judge) Answered(now time.Duration, id CallID, l List) {
	j.advance(now)
	c := j.calls[id]
	if c == nil || c.ended {
		return // of an earlier process
	}
	delete(j.calls, id)
	j.hear(c)
	if c.watch {
		j.watchedAt, j.between, j.answeredAt = now, id == j.lastCall, now
	}
	j.given(now, l, Written)
}

// hear takes in that a call was answered whole: what it tells is of its sending or later.
func (j *Judge) hear(c *call) {
	for i := range j.reloads {
		if r := &j.reloads[i]; !r.heard && c.began > r.at {
			r.heard, r.heardAt = true, c.began
		}
	}
}

// Failed takes in that a call has ended with a refusal, a reset or a part of an answer, which its caller can see.
func (j *Judge) Failed(now time.Duration, id CallID) {
	j.advance(now)
	if c := j.end(now, id); c != nil {
		c.failed = true
		j.failed = j.failed || id == j.lastCall
	}
}

// GivenUp takes in that the proxy has ended a call by itself. What the call missed until then still counts by the call's clock.
func (j *Judge) GivenUp(now time.Duration, id CallID) {
	j.advance(now)
	j.end(now, id)
}

// end notes the end of a call with no answer, and returns the call; nil for one of an earlier process.
func (j *Judge) end(now time.Duration, id CallID) *call {
	c := j.calls[id]
	if c == nil || c.ended {
		return nil
	}
	c.ended, c.endedAt = true, now
	if c.watch {
		j.watchedAt = now
	}
	return c
}

// Due are the changes that count as told by now and have not been named before, in order.
func (j *Judge) Due(now time.Duration) (due []Told) {
	j.advance(now)
	for _, x := range j.fresh {
		due = append(due, *x.told)
	}
	j.fresh = nil
	slices.SortFunc(due, func(a, b Told) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Server, b.Server)) })
	return due
}

// ToldAt is from when on the change of a server counts as told to the process that runs, by which sentence; ok is false where it does not,
// as far as events have come.
func (j *Judge) ToldAt(server string) (told Told, ok bool) {
	x := j.changes[server]
	if x == nil || x.told == nil {
		return Told{}, false
	}
	return *x.told, true
}

// given notes what a list tells the process.
func (j *Judge) given(now time.Duration, l List, by Sentence) {
	for _, x := range j.changes {
		if !l.tells(x.server) {
			continue
		}
		x.written = true
		if x.told == nil {
			j.tell(x, now, by)
		}
	}
}

func (j *Judge) tell(x *change, at time.Duration, by Sentence) {
	x.told = &Told{Server: x.server, At: at, Sentence: by}
	j.fresh = append(j.fresh, x)
}

// advance notes the changes that have come to count as told by now. The state has been as it is since the last event.
func (j *Judge) advance(now time.Duration) {
	for _, x := range j.changes {
		if x.told != nil || !x.available {
			continue
		}
		if at, by := j.earliest(x); at <= now {
			j.tell(x, at, by)
		}
	}
	j.forget(now)
}

// earliest is when a change counts as told if nothing more happens, and by which sentence.
func (j *Judge) earliest(x *change) (time.Duration, Sentence) {
	at, by := j.atTheLatest(x), AtTheLatest
	for _, s := range []struct {
		sentence Sentence
		when     func(*change) (time.Duration, bool)
	}{
		{WithAgent, j.withAgent}, {Reloaded, j.reloaded}, {BetweenPolls, j.betweenPolls}, {SilentWatch, j.silentWatch}, {WaitOver, j.waitOver},
		{NotAsked, j.notAsked},
	} {
		if when, ok := s.when(x); ok && when < at {
			at, by = when, s.sentence
		}
	}
	return at, by
}

// atTheLatest holds for each change, for processes that start later as well. An outage that begins behind the change does not suspend it.
func (j *Judge) atTheLatest(x *change) time.Duration { return x.since + Latest }

// withAgent: what the agent has counts at once, also with no watch and from the first moment of a process, but for a time behind SIGHUP, and
// but for what a silent watch misses, which has its own clock.
func (j *Judge) withAgent(x *change) (time.Duration, bool) {
	if !j.settings.Pushed || j.missedInSilence(x) {
		return 0, false
	}
	at := max(x.since, j.startedAt)
	for _, r := range j.reloads {
		if at >= r.at {
			at = max(at, r.at+AfterSIGHUP)
		}
	}
	return at, true
}

// reloaded: all that discovery has by then counts so long after each SIGHUP; a second SIGHUP does not suspend the first one's time. What
// changes behind a whole answer to a call that was made after the SIGHUP is told as ever.
func (j *Judge) reloaded(x *change) (time.Duration, bool) {
	for _, r := range j.reloads {
		if at := r.at + AfterSIGHUP; x.since <= at && (!r.heard || x.since <= r.heardAt) {
			return at, true
		}
	}
	return 0, false
}

// betweenPolls: what changes between an answer on a watch and the next call, if that comes in time, or until it is too late.
func (j *Judge) betweenPolls(x *change) (time.Duration, bool) {
	if !j.between || x.since < j.answeredAt || x.since > j.answeredAt+BetweenCalls {
		return 0, false
	}
	return x.since, true
}

// silentWatch: what a watch misses that has fallen silent.
func (j *Judge) silentWatch(x *change) (first time.Duration, ok bool) {
	for _, c := range j.calls {
		if !c.silent || !c.missed(x) {
			continue
		}
		at := max(x.since, c.silentAt+AfterSilence, c.waitEnd())
		if !ok || at < first {
			first, ok = at, true
		}
	}
	return first, ok
}

// missedInSilence says whether a silent watch misses a change.
func (j *Judge) missedInSilence(x *change) bool {
	for _, c := range j.calls {
		if c.silent && c.missed(x) {
			return true
		}
	}
	return false
}

// waitOver: what a long poll has not told although its wait is over.
func (j *Judge) waitOver(x *change) (first time.Duration, ok bool) {
	for _, c := range j.calls {
		if c.wait == 0 || c.failed || !c.missed(x) || x.since > c.began+c.wait {
			continue
		}
		if at := c.waitEnd(); !ok || at < first {
			first, ok = at, true
		}
	}
	return first, ok
}

// notAsked: a proxy with no watch is held to its list for a time from its last call, and is told each change so long after that.
func (j *Judge) notAsked(x *change) (time.Duration, bool) {
	if j.settings.Pushed || j.settings.AskEvery == 0 || j.watching() {
		return 0, false
	}
	held := j.settings.AskEvery
	if j.failed {
		held *= FailedFactor
	}
	return max(x.since, j.startedAt, j.calledAt, j.watchedAt, j.returnedAt) + held, true
}

// watching says whether a watch is out.
func (j *Judge) watching() bool {
	for _, c := range j.calls {
		if c.watch && !c.ended {
			return true
		}
	}
	return false
}

// forget drops what can tell nothing any more.
func (j *Judge) forget(now time.Duration) {
	j.reloads = slices.DeleteFunc(j.reloads, func(r reload) bool { return now > r.at+AfterSIGHUP })
	for id, c := range j.calls {
		if c.ended && now > max(c.endedAt, c.silentAt+AfterSilence, c.waitEnd()) {
			delete(j.calls, id)
		}
	}
}
