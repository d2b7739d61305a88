package standin

import (
	"net/http"
	"strconv"
	"time"
)

// CallFault is what becomes of one call to discovery.
type CallFault string

// The faults of calls.
const (
	CallWell       CallFault = "well"
	CallRefused    CallFault = "refused"     // 503 at once
	CallTurnedAway CallFault = "turned-away" // waits in line for a while, and then 503
	CallSlow       CallFault = "slow"        // answered a while later
	CallCut        CallFault = "cut"         // its connection ends within the answer
	CallStalled    CallFault = "stalled"     // stops within the answer, and is reset a while later
	CallHung       CallFault = "hung"        // no answer, and reset a while later
	CallReset      CallFault = "reset"       // reset at once
	CallOld        CallFault = "old"         // answered a while later, with the list as it was before that while
	CallBehind     CallFault = "behind"      // answered a while behind the next answer to another call of its proxy, with the list as it is then
)

// Call is the fate of one call.
type Call struct {
	Fault CallFault
	For   time.Duration // of the faults that take a while
}

// answers says whether the caller gets all that discovery knows.
func (c Call) answers() bool {
	switch c.Fault {
	case CallWell, CallSlow, CallOld, CallBehind, "":
		return true
	}
	return false
}

// refuses says whether discovery has no room for the call. It has for one that goes on with a watch.
func (c Call) refuses() bool { return c.Fault == CallRefused || c.Fault == CallTurnedAway }

// DrawCalls has draw say what becomes of each call of a proxy from now on; nil for nothing amiss. draw is called by one call at a time.
func (d *Discovery) DrawCalls(draw func(proxy string) Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.draw = draw
}

// fate draws what becomes of a proxy's next call.
func (d *Discovery) fate(proxy string) Call {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.draw == nil {
		return Call{Fault: CallWell}
	}
	return d.draw(proxy)
}

// unheard plays the faults of a call that discovery does not work on, and says whether it was one.
func (c Call) unheard(w http.ResponseWriter, r *http.Request) bool {
	switch c.Fault {
	case CallRefused:
		w.WriteHeader(http.StatusServiceUnavailable)
	case CallTurnedAway:
		if pause(r.Context(), c.For) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	case CallHung:
		pause(r.Context(), c.For)
		resetCall(w)
	case CallReset:
		resetCall(w)
	default:
		return false
	}
	return true
}

// breakOff writes half of an answer and ends the connection, at once or after a while.
func (c Call) breakOff(w http.ResponseWriter, r *http.Request, text []byte) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n"
	write(conn, head+string(text[:len(text)/2]))
	if c.Fault == CallStalled {
		pause(r.Context(), c.For)
		reset(conn)
		return
	}
	conn.Close()
}

// resetCall ends a call's connection with no answer.
func resetCall(w http.ResponseWriter) {
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		reset(conn)
	}
}
