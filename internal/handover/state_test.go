package handover

import "testing"

func TestElder(t *testing.T) {
	var e OldProcess
	if e.Shutdown() {
		t.Error("handed over to nobody")
	}
	e = OldProcess{}
	if p := e.StateRequested(10, 100); p != (Share{0.5, 0.5}) {
		t.Errorf("beside a new one: %+v", p)
	}
	if e.Shutdown() {
		t.Error("handed over to one that is not ready")
	}
	e = OldProcess{}
	e.StateRequested(10, 100)
	e.SuccessorReady()
	if p := e.SuccessorGone(); p != FullShare {
		t.Errorf("after the new one died: %+v", p)
	}
	if e.Shutdown() {
		t.Error("handed over to one that has died")
	}
	e = OldProcess{}
	e.SuccessorReady() // of one that has asked for nothing
	if e.Shutdown() {
		t.Error("handed over to one that has not asked")
	}
	e = OldProcess{}
	e.StateRequested(10, 100)
	e.SuccessorReady()
	if !e.Shutdown() {
		t.Error("not handed over")
	}
	if p := e.StateRequested(10, 100); p.Other != 0 {
		t.Errorf("a process that leaves keeps %+v", p)
	}
	// A second new process in place of the first.
	e = OldProcess{}
	e.StateRequested(1, 100)
	e.SuccessorReady()
	e.StateRequested(1, 100)
	if e.Shutdown() {
		t.Error("the first one's word counted for the second")
	}
}

// TestPartsDoNotExceedTheWhole goes through every number of connections that the old process may hold.
func TestPartsDoNotExceedTheWhole(t *testing.T) {
	const most = 100
	for held := range 3 * most / 2 {
		var e OldProcess
		old, next := e.StateRequested(held, most), NewProcessShare(held, most)
		if float64(held) <= most && old.Callers*most < float64(held)-0.001 {
			t.Errorf("holding %d, the old one may keep %.0f", held, old.Callers*most)
		}
		if next.Callers < leastCallers {
			t.Errorf("beside %d, the new one has %.2f", held, next.Callers)
		}
		if sum := old.Callers + next.Callers; sum > 1.0001 && next.Callers > leastCallers {
			t.Errorf("beside %d: %.2f of the callers' connections", held, sum)
		}
		if old.Other+next.Other > 1 {
			t.Errorf("beside %d: %.2f of the rest", held, old.Other+next.Other)
		}
	}
	if p := ShareAfterShutdown(Share{0.4, 0.5}); p != (Share{0.4, 1}) {
		t.Errorf("beside one that leaves: %+v", p)
	}
}
