package proxy

import (
	"log/slog"
	"time"

	"golang.org/x/time/rate"

	"brasswell/internal/memory"
)

// memoryLogInterval is the shortest time between two lines about refusals for lack of memory.
const memoryLogInterval = time.Second

// logRefusals logs that an account refuses something, and what it holds then. Without it, a process whose callers are refused looks
// like one whose backends are busy.
func logRefusals(a *memory.Account, log *slog.Logger) {
	lines := rate.Sometimes{Interval: memoryLogInterval}
	a.OnRefused(func(u memory.Use) {
		lines.Do(func() {
			s := a.Status()
			log.Warn("memory limit reached", "refused", u.String(), "held_bytes", s.Held, "size_bytes", s.Size, "uses", s.Uses)
		})
	})
}
