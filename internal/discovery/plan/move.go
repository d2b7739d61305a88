package plan

import "time"

// Move takes in another address of discovery, which is gone over to at once or behind others that follow soon. The list that is held stays,
// and so does its version: what has changed since is asked for at the new address. The caller sees to it that a watch begins. told is when this process may have been told at the earliest.
func (f *Follower) Move(address string, told, now time.Duration) {
	f.Moved(told)
	if f.series.add(address, now) {
		f.goOver(now)
	}
}

// goOver goes over to the new address. A watch at the one before stays for a moment: discovery goes on with a process whose next call comes right
// behind an answer, and has all that open another call beside their watch begin anew, one after the other.
func (f *Follower) goOver(now time.Duration) {
	f.address = f.series.goOver(now)
	f.goesOn = false
	if f.awaitsWatch() {
		return
	}
	waiting := f.question != nil || f.pause.untilMove || f.pause.untilLeft
	f.leaveQuestion(now + leftTime)
	f.act(CloseIdleConns{})
	if f.watching && waiting {
		f.pause = pause{}
		f.ask(now)
	}
}

// awaitsWatch has the next call wait for the end of the watch that is open, and says whether there is one. It is not waited for where lists are
// pushed: an agent answers at once, and what it has counts as told.
func (f *Follower) awaitsWatch() bool {
	if f.pushed {
		return false
	}
	until := f.series.last.at + moveWait
	if f.pause.untilLeft {
		f.pause.until = min(f.pause.until, until)
		return true
	}
	q := f.question
	if q == nil || !q.watches() {
		return false
	}
	q.moved = true
	q.late = min(q.late, until)
	return true
}
