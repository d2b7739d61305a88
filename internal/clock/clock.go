// Package clock owns the reading of clocks other than the monotonic one that package time keeps. A machine's wall clock may be stepped at
// any moment, by seconds or by an hour, so nothing that waits, expires or is compared across processes may go by it: it is for people, for
// stamps of what lasts beyond a start of the machine, and for the one reading at the start of a process.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Wall is Unix time as the machine's wall clock shows it now.
func Wall() time.Duration { return time.Duration(time.Now().UnixNano()) }

// FromWall is the moment of a reading of Wall, for people.
func FromWall(wall time.Duration) time.Time { return time.Unix(0, int64(wall)).UTC() }

// Steady shows Unix time as the wall clock had it when the Steady was made, and goes on by the monotonic clock: no step reaches it.
type Steady struct {
	started time.Time
	wall    time.Duration
}

// NewSteady reads the wall clock.
func NewSteady() Steady {
	now := time.Now()
	return Steady{started: now, wall: time.Duration(now.UnixNano())}
}

// Now is the clock's time.
func (s Steady) Now() time.Duration { return s.wall + time.Since(s.started) }

// Shared is a time that all processes of this machine have in common, from its start on, sleep included; 0 where the system does not say.
func Shared() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Reading is a Steady's time beside the shared one, for another process that has a Steady of its own.
type Reading struct {
	Steady time.Duration `cbor:"1,keyasint"`
	Shared time.Duration `cbor:"2,keyasint"` // 0 where it is not known
}

// Read reads both.
func (s Steady) Read() Reading { return Reading{Steady: s.Now(), Shared: Shared()} }

// Ahead is how far a clock of which now is a reading stands ahead of another process's on the same machine, by an earlier reading of that;
// 0 where that cannot be told. They differ by the steps of the wall clock between the starts of both.
func (now Reading) Ahead(earlier Reading) time.Duration {
	if now.Shared == 0 || earlier.Shared == 0 {
		return 0
	}
	return (now.Steady - now.Shared) - (earlier.Steady - earlier.Shared)
}
