package discovery

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"syscall"
	"time"

	"brasswell/balance"
	"brasswell/internal/discovery/plan"
)

// TraceCall is the message of the log line for each call that has ended, at level debug if it was answered or
// superseded, and otherwise at level info. `brasswell count` reads it.
const TraceCall = "call"

// endOf returns how a call ended. cause is why its context was canceled, if it was.
func endOf(err, cause error) plan.CallEnd {
	var dial *net.OpError
	var timeout net.Error
	switch {
	case err == nil:
		return plan.Answered
	case errors.Is(cause, context.Canceled):
		return plan.Superseded
	case errors.Is(err, errTurnedAway):
		return plan.TurnedAway
	case errors.Is(err, errCutOff):
		return plan.CutOff
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ENOBUFS), errors.Is(err, syscall.ENOMEM),
		errors.Is(err, syscall.EADDRNOTAVAIL):
		return plan.NoResources
	case errors.As(err, &dial) && dial.Op == "dial", errors.Is(err, syscall.ECONNREFUSED):
		return plan.Unreachable
	case errors.As(err, &timeout) && timeout.Timeout():
		return plan.TimedOut
	}
	return plan.NoAnswer
}

// logCall logs a call that has ended.
func (d *Client) logCall(ctx context.Context, end plan.CallEnd, url string, started time.Time, err error) {
	level := slog.LevelInfo
	if end == plan.Answered || end == plan.Superseded {
		level = slog.LevelDebug
	}
	if !d.log.Enabled(ctx, level) {
		return
	}
	d.log.Log(ctx, level, TraceCall, "took_ms", time.Since(started).Milliseconds(), "seq", d.Seq(), "error", err,
		"end", string(end), "age_ms", d.Age().Milliseconds(), "url", url)
}

// logStatus logs a change of the status of the list, with the number of calls that have failed since the start; mu is
// held.
func (d *Client) logStatus(status plan.Status, now time.Duration) {
	fields := []any{"before", d.lastStatus, "now", status, "age_ms", d.plan.Age(now).Milliseconds(), "seq", d.plan.Version(), "failed_calls", d.failedCalls()}
	switch status {
	case plan.Stale:
		d.log.Warn("the server list may be out of date: discovery gives no complete answer; nothing is sent until it does", fields...)
	case plan.Confirmed:
		d.log.Info("the server list is confirmed", fields...)
	}
}

// maxLoggedIDs bounds the IDs in one log line on an update of the list.
const maxLoggedIDs = 8

// logListUpdate logs which servers are draining, gone or in service according to a list.
func (d *Client) logListUpdate(kind balance.ListKind, before, seq int64, entries []balance.Entry) {
	if kind == balance.Delta && len(entries) == 0 || !d.log.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	fields := []any{"kind", kind.String(), "seq", seq, "before", before, "age_ms", d.Age().Milliseconds(), "entries", len(entries)}
	for _, group := range []struct {
		name  string
		state balance.State
	}{{"up", balance.InService}, {"draining", balance.Draining}, {"gone", balance.Gone}} {
		count := 0
		var named []string
		for _, e := range entries {
			if e.State != group.state {
				continue
			}
			if count++; count <= maxLoggedIDs && (kind == balance.Delta || group.state != balance.InService) {
				named = append(named, e.ID)
			}
		}
		fields = append(fields, group.name, count)
		if len(named) > 0 {
			fields = append(fields, group.name+"_ids", named)
		}
	}
	d.log.Info("server list", fields...)
}
