//go:build !race

package balance

const raceEnabled = false
