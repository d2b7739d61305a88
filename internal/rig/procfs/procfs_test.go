package procfs

import (
	"os"
	"syscall"
	"testing"
	"time"
)

// TestProcessorTime: the clock of a process tells what getrusage tells.
func TestProcessorTime(t *testing.T) {
	own := func() time.Duration {
		var r syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
			t.Fatal(err)
		}
		return time.Duration(r.Utime.Nano() + r.Stime.Nano())
	}
	const rounding = 2 * time.Microsecond // getrusage counts in microseconds, user and system apart
	before := own()
	got, err := ProcessorTime(os.Getpid())
	after := own()
	if err != nil || got < before-rounding || got > after+rounding {
		t.Errorf("%v, want from %v to %v; %v", got, before, after, err)
	}
	for _, pid := range []int{0, -1, 1 << 22} { // the last is above any process's id
		if got, err := ProcessorTime(pid); err == nil {
			t.Errorf("process %d: %v", pid, got)
		}
	}
}
