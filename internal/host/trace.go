package host

import (
	"context"
	"log/slog"
	"time"

	"brasswell/balance"
)

// The lines that tell what one proxy did, at level debug. What many proxies do together shows in no single one: `brasswell
// count` reads these lines from all of them. Their names and fields are read there, so a change here is one there.
const (
	TraceAttempt  = "attempt"  // one that has ended
	TraceBasis    = "act"      // on what the sending of one that has ended rested
	TraceUnserved = "unserved" // a request refused or failed
	TraceList     = "list"     // news of the server list
)

// traces says whether the lines are wanted; the fields of one cost more than it does.
func (i *Instance) traces() bool { return i.log.Enabled(context.Background(), slog.LevelDebug) }

func (i *Instance) traceAttempt(a *attempt, outcome balance.Outcome, now time.Duration) {
	if !i.traces() {
		return
	}
	i.log.Debug(TraceAttempt, "id", a.request.id, "n", a.number, "class", a.request.message.Class,
		"backend", a.to.Server, "outcome", outcome.String(), "sent_ms", a.sent.Milliseconds(),
		"took_ms", (now - a.sent).Milliseconds())
	if a.begun && i.gate != nil {
		i.log.Debug(TraceBasis, "backend", a.to.Server, "at_us", a.asked.Microseconds(), "version", a.ground.Version, "leased", a.ground.Leased)
	}
}

// unservedBy is who decided that a request is not served.
type unservedBy string

// Those who decide so.
const (
	byBalancer  unservedBy = "balancer"     // no room, no time left, or its attempts failed
	byDoor      unservedBy = "recovery"     // the proxy is on its way back from a start
	byRules     unservedBy = "agreed rules" // its class is closed, or no act is allowed
	byStaleList unservedBy = "stale list"   // the server list could not be confirmed for too long
	byCaller    unservedBy = "caller's end" // the caller has gone
)

func (i *Instance) traceUnserved(q *Request, v Verdict, by unservedBy) {
	if q.answered {
		return
	}
	if by == byStaleList {
		i.heldBack.Add(1)
	}
	if i.traces() {
		i.log.Debug(TraceUnserved, "id", q.id, "class", q.message.Class, "refused", v == Refused, "attempts", len(q.attempts), "by", string(by))
	}
}

func (i *Instance) traceList(kind balance.ListKind, entries []balance.Entry) {
	if !i.traces() || kind == balance.Delta && len(entries) == 0 {
		return
	}
	var up, draining, gone int
	for _, e := range entries {
		switch e.State {
		case balance.InService:
			up++
		case balance.Draining:
			draining++
		case balance.Gone:
			gone++
		}
	}
	i.log.Debug(TraceList, "kind", kind.String(), "up", up, "draining", draining, "gone", gone)
}
