package handover

// Part is what of the proxy's limits is this process's own.
type Share struct {
	Callers float64 // of the callers' connections
	Other   float64 // of the backends' connections, the memory and the budget for cold servers
}

// Alone is the part of a process that is the whole proxy.
var FullShare = Share{1, 1}

// half is what each of two processes has of what both can do without.
const half = 0.5

// Elder decides what a running process does about the one that follows it. It is not safe for concurrent use.
type OldProcess struct {
	asked, ready, leaving bool
}

// Asked takes in that a new process has asked for what this one knows. held is how many callers' connections this one
// holds, of so many that it may: it need not let go of any, for each has a caller that may write on it now.
func (e *OldProcess) StateRequested(held, most int) Share {
	e.asked, e.ready = true, false
	own := Share{min(max(half, share(held, most)), 1), half}
	if e.leaving {
		own.Other = 0
	}
	return own
}

func share(held, most int) float64 { return float64(held) / float64(max(most, 1)) }

// Ready takes in that the new process takes clients.
func (e *OldProcess) SuccessorReady() { e.ready = e.asked }

// Gone takes in that the new process is not there any more. Before this one has been told to go it is alone again,
// whatever the other had said.
func (e *OldProcess) SuccessorGone() Share {
	e.asked, e.ready = false, false
	return FullShare
}

// Leave takes in that this process has been told to go. It reports whether another takes the callers: then this one
// accepts no more of them, and lets those it has come over with their next answer.
func (e *OldProcess) Shutdown() (handed bool) {
	e.leaving = true
	return e.ready
}

// leastCallers of the callers' connections are a new process's at least.
const leastCallers = 0.25

// Joined is the part of a new process beside one that holds so many callers' connections, of most.
func NewProcessShare(held, most int) Share {
	return Share{max(min(half, 1-share(held, most)), leastCallers), half}
}

// Left is its part once the old one has been told to go: what that still holds of callers' connections stays its own
// until it has gone, and it sends nothing new to cold servers.
func ShareAfterShutdown(p Share) Share { return Share{p.Callers, 1} }
