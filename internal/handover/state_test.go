package handover

import "testing"

func TestOldProcess(t *testing.T) {
	var o OldProcess
	if o.Shutdown() {
		t.Error("handed over without a new process")
	}
	o = OldProcess{}
	if p := o.StateRequested(10, 100); p != (Share{0.5, 0.5}) {
		t.Errorf("with a new process: %+v", p)
	}
	if o.Shutdown() {
		t.Error("handed over to a process that is not ready")
	}
	o = OldProcess{}
	o.StateRequested(10, 100)
	o.SuccessorReady()
	if p := o.SuccessorGone(); p != FullShare {
		t.Errorf("after the end of the new process: %+v", p)
	}
	if o.Shutdown() {
		t.Error("handed over to a process that has ended")
	}
	o = OldProcess{}
	o.SuccessorReady() // from a process that has not requested the state
	if o.Shutdown() {
		t.Error("handed over to a process that has not requested the state")
	}
	o = OldProcess{}
	o.StateRequested(10, 100)
	o.SuccessorReady()
	if !o.Shutdown() {
		t.Error("not handed over")
	}
	if p := o.StateRequested(10, 100); p.Other != 0 {
		t.Errorf("a process that shuts down keeps %+v", p)
	}
	// A second new process replaces the first.
	o = OldProcess{}
	o.StateRequested(1, 100)
	o.SuccessorReady()
	o.StateRequested(1, 100)
	if o.Shutdown() {
		t.Error("the first process's Ready counted for the second")
	}
}

// TestSharesDoNotExceedTheWhole tries every number of connections that the old process may have.
func TestSharesDoNotExceedTheWhole(t *testing.T) {
	const maxConns = 100
	for conns := range 3 * maxConns / 2 {
		var o OldProcess
		old, next := o.StateRequested(conns, maxConns), NewProcessShare(conns, maxConns)
		if float64(conns) <= maxConns && old.Callers*maxConns < float64(conns)-0.001 {
			t.Errorf("%d connections: the old process may keep %.0f", conns, old.Callers*maxConns)
		}
		if next.Callers < minCallers {
			t.Errorf("%d connections: the new process has a share of %.2f", conns, next.Callers)
		}
		if sum := old.Callers + next.Callers; sum > 1.0001 && next.Callers > minCallers {
			t.Errorf("%d connections: shares of callers' connections add up to %.2f", conns, sum)
		}
		if old.Other+next.Other > 1 {
			t.Errorf("%d connections: shares of other limits add up to %.2f", conns, old.Other+next.Other)
		}
	}
	if p := ShareAfterShutdown(Share{0.4, 0.5}); p != (Share{0.4, 1}) {
		t.Errorf("after shutdown of the old process: %+v", p)
	}
}
