package handover

// Share is a process's share of the proxy's limits.
type Share struct {
	Callers float64 // share of the callers' connections
	Other   float64 // share of the connections to backends, the memory and the budget for cold servers
}

// FullShare is the share of a proxy's only process.
var FullShare = Share{1, 1}

// half is the share of each of two processes in limits that both can share.
const half = 0.5

// OldProcess is the state of a running process toward its successor. It is not safe for concurrent use.
type OldProcess struct {
	stateRequested, successorReady, shuttingDown bool
}

// StateRequested records that a new process has requested the state, and returns this process's share from now on.
// conns is the number of callers' connections that this process has, and maxConns their limit. It need not close any of
// them, because a caller may be sending a request on each one.
func (o *OldProcess) StateRequested(conns, maxConns int) Share {
	o.stateRequested, o.successorReady = true, false
	share := Share{min(max(half, heldShare(conns, maxConns)), 1), half}
	if o.shuttingDown {
		share.Other = 0
	}
	return share
}

func heldShare(conns, maxConns int) float64 { return float64(conns) / float64(max(maxConns, 1)) }

// SuccessorReady records that the new process accepts clients.
func (o *OldProcess) SuccessorReady() { o.successorReady = o.stateRequested }

// SuccessorGone records that the new process has gone. Unless this process is already shutting down, it is the only one
// again, whatever the other has reported before.
func (o *OldProcess) SuccessorGone() Share {
	o.stateRequested, o.successorReady = false, false
	return FullShare
}

// Shutdown records that this process is to shut down. It reports whether another process accepts the callers. In that
// case this one accepts no more of them, and closes their connections after the next response so that they reconnect to
// the other.
func (o *OldProcess) Shutdown() (handedOver bool) {
	o.shuttingDown = true
	return o.successorReady
}

// minCallers is the minimum share of a new process in the callers' connections.
const minCallers = 0.25

// NewProcessShare returns the share of a new process. conns is the number of callers' connections that the old process has,
// and maxConns their limit.
func NewProcessShare(conns, maxConns int) Share {
	return Share{max(min(half, 1-heldShare(conns, maxConns)), minCallers), half}
}

// ShareAfterShutdown returns the new process's share once the old one is shutting down. The old process keeps its share
// of the callers' connections until it exits, and sends no new requests to cold servers.
func ShareAfterShutdown(p Share) Share { return Share{p.Callers, 1} }
