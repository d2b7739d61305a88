package soak

import (
	"slices"
	"time"

	"brasswell/internal/standin"
)

const (
	// leastLag to mostLag is how old the list in an old answer is.
	leastLag, mostLag = time.Second, 3 * time.Second
	// leastSilence to mostSilence is for how long discovery tells nothing about a drain.
	leastSilence, mostSilence = 7 * time.Second, 10 * time.Second
	// leastGone to mostGone is how long a process that was killed is not there.
	leastGone, mostGone = 500 * time.Millisecond, 4 * time.Second
	// neverAnswered is longer than any call waits.
	neverAnswered = 30 * time.Second
	// crossing is how far from the news a call is given up, at most.
	crossing = 8 * time.Millisecond
	// shortlyBefore is how long before a drain something is under way that is to meet it.
	shortlyBefore = 50 * time.Millisecond
)

// drawNoticeFaults adds the events of the faults that put to the test when a change counts as told, all of them about the first drain. An
// agent that lists are pushed to has none of them: it answers at once, or is down.
func (d *drawing) drawNoticeFaults() {
	if !d.plan.Ask {
		return
	}
	for _, one := range []struct {
		fault Fault
		add   func(drain time.Duration)
	}{
		{LateStarts, d.addLateStarts}, {OldAnswers, d.addOldAnswers}, {FullQueues, d.addFullQueues}, {MovesAtDrain, d.addMovesAtDrain},
		{CrossedNews, d.addCrossedNews},
	} {
		if d.has(one.fault) {
			one.add(d.firstDrain())
		}
	}
}

// addSilence has discovery answer no call that is made from a moment on, for a while.
func (d *drawing) addSilence(at time.Duration) {
	d.add(Event{
		At: max(at, 0), Do: ScriptCalls, For: d.between(leastSilence, mostSilence), Calls: []standin.Call{{Fault: standin.CallHung, For: neverAnswered}},
	})
}

func (d *drawing) addOldAnswers(drain time.Duration) {
	d.add(Event{
		At: max(drain-2*mostLag, 0), Do: ScriptCalls, For: drain, Calls: []standin.Call{{Fault: standin.CallOld, For: d.between(leastLag, mostLag)}},
	})
	d.addSilence(drain)
}

func (d *drawing) addFullQueues(drain time.Duration) {
	d.add(Event{At: max(drain-4*shortlyBefore, 0), Do: FillQueues, For: d.between(leastSilence, mostSilence)})
}

func (d *drawing) addMovesAtDrain(drain time.Duration) {
	d.addSilence(drain - 2*shortlyBefore)
	d.add(Event{At: max(drain-2*shortlyBefore, 0), Do: ResetWatches})
	for process := range d.plan.Processes {
		d.addMove(drain+d.between(0, shortlyBefore), process)
	}
}

func (d *drawing) addCrossedNews(drain time.Duration) {
	d.addSilence(drain - 4*shortlyBefore)
	for process := range d.plan.Processes {
		d.addMove(drain+d.between(-crossing, crossing), process)
	}
}

// addMove has a process get another address of discovery, unless it is killed: none gets SIGHUP in its first second.
func (d *drawing) addMove(at time.Duration, process int) {
	killed := func(e Event) bool { return e.Do == Kill && e.Process == process }
	if !slices.ContainsFunc(d.plan.Events, killed) {
		d.add(Event{At: max(at, 0), Do: Reload, Process: process})
	}
}

func (d *drawing) addLateStarts(drain time.Duration) {
	d.plan.FirstLists = true
	for process := range d.plan.Processes {
		if d.dice.IntN(10) < 7 {
			d.add(Event{At: max(drain-d.between(0, leastGone), 0), Do: Kill, Process: process, For: d.between(leastGone, mostGone)})
		}
	}
	d.add(Event{
		At: max(drain-shortlyBefore, 0), Do: SpoilCalls, For: d.between(leastSilence, mostSilence), Mix: Mix{TurnedAway: 0.8, Line: 2 * time.Second},
	})
}
