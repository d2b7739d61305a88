//go:build race

package balance

// raceEnabled is whether the race detector is on. The simulations run in one goroutine, so the detector finds nothing
// in them and makes them many times slower. internal/host and internal/proxy test the module under its lock with the
// detector.
const raceEnabled = true
