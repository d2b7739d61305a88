package discovery

import (
	"math/rand/v2"
	"time"
)

const (
	// crowdedWait for a place in discovery's line, or a call that was turned away, shows that discovery is crowded. A client then asks
	// with calls that do not hold, and rests between two of them for most of the time that the last one waited: a watch that is answered
	// at each change, and made again at once, keeps the line full for those that are turned away. So rests grow with the line, and a
	// rest and a wait stay within toldWithin as long as discovery can answer everybody in that time.
	crowdedWait = 700 * time.Millisecond
	// leastRestShare of the wait is rested, and up to all of it.
	leastRestShare = 0.6
	// crowdedOverdue is when a call that does not hold is overdue where discovery is crowded: beyond what one waits in a full line, and
	// no later than a watch is.
	crowdedOverdue = 3100 * time.Millisecond
	// starvedAfter without an answer, a client that is turned away asks again within starvedPause, until starvedFor: who has waited
	// longest asks most often. Beyond, discovery is down for all, and who asks often would meet all others at its return.
	starvedAfter = 1500 * time.Millisecond
	starvedFor   = 8 * time.Second
	starvedPause = 150 * time.Millisecond
)

// line is what a client knows of the line in which its calls wait for discovery. It is not safe for concurrent use.
type line struct {
	crowded bool
	asking  time.Time     // since when there is a question with no answer; zero for none
	moved   chan struct{} // closed at the next move
}

func newLine() line { return line{moved: make(chan struct{})} }

// ask notes that there is a question, and says whether its calls are not to hold.
func (l *line) ask(now time.Time) (crowded bool) {
	if l.asking.IsZero() {
		l.asking = now
	}
	return l.crowded
}

// answered notes that a call was answered which has waited for its place so long, and returns for how long to rest before the next; 0
// where the watch is to go on.
func (l *line) answered(waited time.Duration) (rest time.Duration) {
	l.asking = time.Time{}
	l.crowded = waited > crowdedWait
	if !l.crowded {
		return 0
	}
	share := leastRestShare + (1-leastRestShare)*rand.Float64()
	return time.Duration(share * float64(waited))
}

// turnedAway notes that a call was turned away, and says whether that has gone on for so long that another is to follow soon.
func (l *line) turnedAway(now time.Time) (soon bool) {
	l.crowded = true
	waited := now.Sub(l.asking)
	return waited >= starvedAfter && waited < starvedFor
}

// move notes that discovery has moved. Who crowds it is taken to move with it.
func (l *line) move() {
	l.asking = time.Time{}
	close(l.moved)
	l.moved = make(chan struct{})
}
