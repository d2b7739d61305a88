//go:build race

package balance

// raced is whether the race detector is on. One goroutine plays a day, so the detector finds nothing in it and takes
// many times as long; the module under its lock is played with the detector in internal/host and internal/proxy.
const raced = true
