//go:build race

package model

// slow reports that the race detector is on. Under it the long simulations take minutes and find nothing, since they use a single
// goroutine.
const slow = true
