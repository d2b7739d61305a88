// Package logging writes the program's log at a bounded rate.
package logging

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"

	"golang.org/x/time/rate"

	"brasswell/internal/operator"
)

// Options say what is logged, and how much.
type Options struct {
	Level, Format string
	// PerSecond lines are written, and Burst at once. Callers, backends and discovery can all cause lines, and
	// none of them may fill a disk or take the core.
	PerSecond, Burst int
}

// DefaultOptions log little.
func DefaultOptions() Options { return Options{Level: "info", Format: "text", PerSecond: 5, Burst: 50} }

// Section describes the options to the operator file.
func (o *Options) Section() operator.Section {
	return operator.Section{
		Name:   "log",
		Doc:    "What is written to standard error, and how much of it.",
		Absent: "the defaults apply.",
		Keys: []operator.Key{
			operator.Choice("level", &o.Level, []string{"debug", "info", "warn", "error"}, "The lowest level that is written.").OnReload(),
			operator.Choice("format", &o.Format, []string{"text", "json"}, "Text lines for people, or JSON for programs."),
			operator.Int("per_second", &o.PerSecond, 1, 10000, "How many lines may be written per second; the others are counted and dropped.").OnReload(),
			operator.Int("burst", &o.Burst, 1, 100000, "How many lines may be written at once.").OnReload(),
		},
		Check: func() []operator.Problem {
			if o.Burst < o.PerSecond {
				return []operator.Problem{{Key: "burst", Text: "below per_second, so that rate could never be reached; raise it"}}
			}
			return nil
		},
	}
}

// Log is a logger whose options can change while it is in use.
type Log struct {
	*slog.Logger
	level *slog.LevelVar
	limit *rate.Limiter
}

// New returns a log to w. It is safe for concurrent use.
func New(w io.Writer, o Options) *Log {
	l := &Log{level: &slog.LevelVar{}, limit: rate.NewLimiter(rate.Limit(o.PerSecond), o.Burst)} // starts full
	l.SetOptions(o)
	handlerOptions := &slog.HandlerOptions{Level: l.level}
	var h slog.Handler = slog.NewTextHandler(w, handlerOptions)
	if o.Format == "json" {
		h = slog.NewJSONHandler(w, handlerOptions)
	}
	l.Logger = slog.New(&limited{h, l.limit, &atomic.Int64{}})
	return l
}

// SetOptions changes all but the format.
func (l *Log) SetOptions(o Options) {
	var level slog.Level
	level.UnmarshalText([]byte(o.Level)) // one of the words that Section allows
	l.level.Set(level)
	l.limit.SetLimit(rate.Limit(o.PerSecond))
	l.limit.SetBurst(o.Burst)
}

// limited drops the lines that exceed the log's rate, or that its writer has no room for; the next one that is written tells how
// many.
type limited struct {
	slog.Handler
	limit   *rate.Limiter
	dropped *atomic.Int64
}

func (h *limited) Handle(ctx context.Context, r slog.Record) error {
	if !h.limit.Allow() {
		h.dropped.Add(1)
		return nil
	}
	dropped := h.dropped.Swap(0)
	if dropped > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int64("lines_dropped_before", dropped))
	}
	err := h.Handler.Handle(ctx, r)
	if err != nil {
		h.dropped.Add(dropped + 1)
	}
	return err
}

func (h *limited) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limited{h.Handler.WithAttrs(attrs), h.limit, h.dropped}
}

func (h *limited) WithGroup(name string) slog.Handler {
	return &limited{h.Handler.WithGroup(name), h.limit, h.dropped}
}
