package main

import (
	"context"
	"log/slog"

	"golang.org/x/time/rate"
)

// Lines a second that the log takes, and at once. Callers, backends and discovery can all cause lines, and
// none of them may fill a disk or take the core.
const logRate, logBurst = 5, 50

// limitedHandler drops the lines that exceed the log's rate.
type limitedHandler struct {
	slog.Handler
	limit *rate.Limiter
}

func newLimitedHandler(h slog.Handler) *limitedHandler {
	return &limitedHandler{h, rate.NewLimiter(logRate, logBurst)}
}

func (h *limitedHandler) Handle(ctx context.Context, r slog.Record) error {
	if !h.limit.Allow() {
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

func (h *limitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limitedHandler{h.Handler.WithAttrs(attrs), h.limit}
}

func (h *limitedHandler) WithGroup(name string) slog.Handler {
	return &limitedHandler{h.Handler.WithGroup(name), h.limit}
}
