package front

import (
	"errors"
	"log/slog"
	"sync/atomic"

	"golang.org/x/time/rate"
)

const (
	// unservedLinesPerSecond and unservedLineBurst bound the lines about single requests: a process that is overloaded refuses
	// thousands per second, and the log has a rate for all lines.
	unservedLinesPerSecond, unservedLineBurst = 1, 5
)

// What is logged of a request that the balancer ended. Its reasons are in the trace.
var (
	errRefused = errors.New("refused by the balancer")
	errFailed  = errors.New("no attempt has served it")
)

// unservedLog logs some of the requests that are not served, with their IDs and why. Without them a client's report cannot be
// matched with what this process did.
type unservedLog struct {
	log     *slog.Logger
	limit   *rate.Limiter
	omitted atomic.Int64 // requests that were not logged since the last line
}

func newUnservedLog(log *slog.Logger) *unservedLog {
	return &unservedLog{log: log, limit: rate.NewLimiter(unservedLinesPerSecond, unservedLineBurst)}
}

// add logs a request that was answered with a status, or whose answer broke off behind one.
func (l *unservedLog) add(info requestInfo, status int, reason error) {
	if !l.limit.Allow() {
		l.omitted.Add(1)
		return
	}
	l.log.Info("request not served", "txn", info.id, "class", info.class, "status", status, "reason", reason, "omitted_before", l.omitted.Swap(0))
}

// SetLog sets the log of requests that are not served. It must be called before the front serves requests.
func (s *Front) SetLog(log *slog.Logger) { s.unserved = newUnservedLog(log) }
