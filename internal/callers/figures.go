package callers

import "brasswell/internal/figures"

// closeCounts counts the connections that the Set closed by itself since its start, by reason.
type closeCounts struct {
	noSocket int64 // new ones, because all sockets are in use or the process ends
	noMemory int64 // new ones, because the account has no room
	evicted  [numKinds]int64
}

var kindNames = [numKinds]string{"silent", "once", "idle", "partial", "parked_once", "parked_idle"}

// AppendFigures appends to text how many connections were closed, by reason, one figure per line.
func (c *Set) AppendFigures(text []byte) []byte {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	text = figures.AppendLine(text, "callers_closed.no_socket", closed.noSocket, 'c')
	text = figures.AppendLine(text, "callers_closed.no_memory", closed.noMemory, 'c')
	for kind, name := range kindNames {
		text = figures.AppendLine(text, "callers_closed.evicted_"+name, closed.evicted[kind], 'c')
	}
	return text
}
