// Package procfs reads what processes of this machine have used, as proc(5) tells it.
package procfs

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// tick is the unit of processor time: USER_HZ is 100 on Linux.
const tick = 10 * time.Millisecond

// ProcessorTime is what a process has used in user and system mode; ok is false where there is none.
func ProcessorTime(pid int) (used time.Duration, ok bool) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, false
	}
	_, rest, _ := strings.Cut(string(text), ") ") // the name may hold blanks
	fields := strings.Fields(rest)
	const user, system = 11, 12 // counted from the state on
	if len(fields) <= system {
		return 0, false
	}
	u, _ := strconv.ParseInt(fields[user], 10, 64)
	s, _ := strconv.ParseInt(fields[system], 10, 64)
	return time.Duration(u+s) * tick, true
}

// ResidentMemory is what a process holds in memory, in bytes; 0 where there is none.
func ResidentMemory(pid int) uint64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := bytes.Fields(text)
	const resident = 1 // in pages
	if len(fields) <= resident {
		return 0
	}
	pages, _ := strconv.ParseUint(string(fields[resident]), 10, 64)
	return pages * uint64(os.Getpagesize())
}
