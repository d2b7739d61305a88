package soak

import (
	"encoding/json"
	"math"
	"slices"
	"testing"
	"time"
)

// TestDrawsAreTheSame: equal seeds draw equal runs, and all that is drawn makes sense.
func TestDrawsAreTheSame(t *testing.T) {
	const length = 30 * time.Second
	drawn := map[Fault]int{}
	for seed := range uint64(300) {
		p := Draw(seed, length, 0, Faults())
		one, err1 := json.Marshal(p)
		other, err2 := json.Marshal(Draw(seed, length, 0, Faults()))
		if err1 != nil || err2 != nil || string(one) != string(other) {
			t.Fatalf("seed %d draws\n%s\nand then\n%s", seed, one, other)
		}
		if p.Processes < leastProcesses || p.Processes > mostProcesses || p.Seed != seed || p.Length != length {
			t.Errorf("seed %d: %d processes for %v", seed, p.Processes, p.Length)
		}
		for _, f := range p.Faults {
			drawn[f]++
		}
		drained := map[int]bool{}
		for _, e := range p.Events {
			if e.At < 0 || e.At >= length || e.Process < 0 || e.Process >= p.Processes || e.Backend < 0 || e.Backend >= p.Backends {
				t.Errorf("seed %d: %+v", seed, e)
			}
			if e.Do == DrainBackend || e.Do == RemoveBackend {
				drained[e.Backend] = true
			}
		}
		if len(drained) > p.Backends/2 {
			t.Errorf("seed %d: %d of %d backends are drained", seed, len(drained), p.Backends)
		}
	}
	for _, f := range Faults() {
		mean, deviation := 300*f.chance(), math.Sqrt(300*f.chance()*(1-f.chance()))
		if off := math.Abs(float64(drawn[f]) - mean); off > 5.8*deviation {
			t.Errorf("%s is in %d of 300 runs, want %.0f", f, drawn[f], mean)
		}
	}
}

func TestOnlyWhatMayBeDrawnIs(t *testing.T) {
	for seed := range uint64(50) {
		p := Draw(seed, 30*time.Second, 3, []Fault{Moves, Drains})
		if p.Processes != 3 || slices.ContainsFunc(p.Faults, func(f Fault) bool { return f != Moves && f != Drains }) {
			t.Errorf("seed %d: %d processes, %v", seed, p.Processes, p.Faults)
		}
	}
}

func TestNamesOfFaults(t *testing.T) {
	if got, err := ParseFaults(nil); err != nil || !slices.Equal(got, Faults()) {
		t.Errorf("%v, %v", got, err)
	}
	if got, err := ParseFaults([]string{"moves", "crowd"}); err != nil || !slices.Equal(got, []Fault{Moves, Crowd}) {
		t.Errorf("%v, %v", got, err)
	}
	if _, err := ParseFaults([]string{"moves", "earthquake"}); err == nil {
		t.Error("an unknown fault is taken")
	}
}
