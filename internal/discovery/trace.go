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

// TraceCall is the line that tells of each call that has ended: at level debug if it was answered, and at level info if not. `brasswell
// count` reads it.
const TraceCall = "call"

// endOf says how a call ended. cause is why its context was cancelled, if it was.
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

// logCall writes the line of a call that has ended.
func (d *Client) logCall(ctx context.Context, end plan.CallEnd, url string, begun time.Time, err error) {
	level := slog.LevelInfo
	if end == plan.Answered || end == plan.Superseded {
		level = slog.LevelDebug
	}
	if !d.log.Enabled(ctx, level) {
		return
	}
	d.log.Log(ctx, level, TraceCall, "took_ms", time.Since(begun).Milliseconds(), "seq", d.Seq(), "error", err,
		"end", string(end), "age_ms", d.Age().Milliseconds(), "url", url)
}

// logStanding writes the line of a change in how far the list can be relied on, with the calls that have failed since the start; mu is held.
func (d *Client) logStanding(standing plan.Status, now time.Duration) {
	fields := []any{"before", d.stood, "now", standing, "age_ms", d.plan.Age(now).Milliseconds(), "seq", d.plan.Version(), "failed_calls", d.failedCalls()}
	switch standing {
	case plan.Stale:
		d.log.Warn("the server list may be out of date: discovery gives no whole answer; nothing is sent until it does", fields...)
	case plan.Confirmed:
		d.log.Info("the server list is confirmed", fields...)
	}
}

// mostNamed bounds the ids in one line on news of the list.
const mostNamed = 8

// logNews writes which servers a list tells to drain, to be gone or to be in service.
func (d *Client) logNews(kind balance.ListKind, before, seq int64, entries []balance.Entry) {
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
			if count++; count <= mostNamed && (kind == balance.Delta || group.state != balance.InService) {
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
