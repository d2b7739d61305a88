package handover

// Part is what of the proxy's limits is this process's own.
type Part struct {
	Callers float64 // of the callers' connections
	Rest    float64 // of the backends' connections, the memory and the budget for cold servers
}

// Alone is the part of a process that is the whole proxy.
var Alone = Part{1, 1}

// half is what each of two processes has of what both can do without.
const half = 0.5

// Elder decides what a running process does about the one that follows it. It is not safe for concurrent use.
type Elder struct {
	stateRequested, successorReady, shuttingDown bool
}

// Asked takes in that a new process has asked for what this one knows. held is how many callers' connections this one
// holds, of so many that it may: it need not let go of any, for each has a caller that may write on it now.
func (e *Elder) Asked(conns, maxConns int) Part {
	e.stateRequested, e.successorReady = true, false
	share := Part{min(max(half, heldShare(conns, maxConns)), 1), half}
	if e.shuttingDown {
		share.Rest = 0
	}
	return share
}

func heldShare(conns, maxConns int) float64 { return float64(conns) / float64(max(maxConns, 1)) }

// Ready takes in that the new process takes clients.
func (e *Elder) Ready() { e.successorReady = e.stateRequested }

// Gone takes in that the new process is not there any more. Before this one has been told to go it is alone again,
// whatever the other had said.
func (e *Elder) Gone() Part {
	e.stateRequested, e.successorReady = false, false
	return Alone
}

// Leave takes in that this process has been told to go. It reports whether another takes the callers: then this one
// accepts no more of them, and lets those it has come over with their next answer.
func (e *Elder) Leave() (handedOver bool) {
	e.shuttingDown = true
	return e.successorReady
}

// leastCallers of the callers' connections are a new process's at least.
const minCallers = 0.25

// Joined is the part of a new process beside one that holds so many callers' connections, of most.
func Joined(conns, maxConns int) Part {
	return Part{max(min(half, 1-heldShare(conns, maxConns)), minCallers), half}
}

// Left is its part once the old one has been told to go: what that still holds of callers' connections stays its own
// until it has gone, and it sends nothing new to cold servers.
func Left(p Part) Part { return Part{p.Callers, 1} }
