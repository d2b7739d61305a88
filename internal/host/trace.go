package host

import (
	"context"
	"log/slog"
	"time"

	"brasswell/balance"
)

// Messages of the debug log lines that trace what one proxy did. No single proxy's log shows what many proxies do
// together, so `brasswell count` reads these lines from all of them. It depends on their messages and fields: change
// both together.
const (
	TraceAttempt  = "attempt"  // an attempt that has ended
	TraceBasis    = "act"      // the agreed rules by which an ended attempt was sent
	TraceUnserved = "unserved" // a request that was refused or failed
	TraceList     = "list"     // an update of the server list

	// TraceSlowAnswer is logged at level info.
	TraceSlowAnswer = "slow answer" // an answer that has begun is given up, or passed on before it is whole
)

// tracing reports whether trace lines are logged. The check costs less than building the fields of a line.
func (i *Instance) tracing() bool { return i.log.Enabled(context.Background(), slog.LevelDebug) }

func (i *Instance) traceAttempt(a *attempt, outcome balance.Outcome, now time.Duration) {
	if !i.tracing() {
		return
	}
	i.log.Debug(TraceAttempt, "id", a.request.id, "n", a.number, "class", a.request.message.Class,
		"backend", a.to.Server, "outcome", outcome.String(), "sent_ms", a.sent.Milliseconds(),
		"took_ms", (now - a.sent).Milliseconds())
	if a.dispatched && i.agreedRules != nil {
		i.log.Debug(TraceBasis, "backend", a.to.Server, "at_us", a.checkedAt.Microseconds(), "version", a.basis.Version, "leased", a.basis.Leased)
	}
}

// unservedCause names what decided that a request is not served.
type unservedCause string

// The causes of an unserved request.
const (
	causeBalancer      unservedCause = "balancer"     // no capacity, no time left, or its attempts failed
	causeAdmissionGate unservedCause = "recovery"     // the proxy admits only a part of the requests after a start
	causeAgreedRules   unservedCause = "agreed rules" // its class is closed, or the rules allow no attempt
	causeStaleList     unservedCause = "stale list"   // the server list was not confirmed for too long
	causeCallerGone    unservedCause = "caller's end" // the caller gave the request up
)

// traceSlowAnswer logs that an attempt is given up or passed on because its answer is slow. Without this line, an answer that a
// backend goes on writing and a caller never gets leaves no trace at the usual level.
func (i *Instance) traceSlowAnswer(a *attempt, s balance.SlowAnswer, d balance.SlowDecision, now time.Duration) {
	if d.Action == balance.KeepWaiting {
		return
	}
	q := a.request
	i.log.Info(TraceSlowAnswer, "txn", q.message.ID, "n", a.number, "class", q.message.Class, "backend", a.to.Server, "action", d.Action.String(),
		"stalled", s.Stalled, "took_ms", (now - a.sent).Milliseconds(), "left_ms", (a.deadline - now).Milliseconds())
}

func (i *Instance) traceUnserved(q *Request, outcome Outcome, cause unservedCause) {
	if q.answered {
		return
	}
	if cause == causeStaleList {
		i.staleListUnserved.Add(1)
	}
	if i.tracing() {
		i.log.Debug(TraceUnserved, "id", q.id, "class", q.message.Class, "refused", outcome == Refused, "attempts", len(q.attempts), "by", string(cause))
	}
}

func (i *Instance) traceList(kind balance.ListKind, entries []balance.Entry) {
	if !i.tracing() || kind == balance.Delta && len(entries) == 0 {
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
