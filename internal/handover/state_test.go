package handover

import "testing"

func TestOldProcess(t *testing.T) {
	var e Elder
	if e.Leave() {
		t.Error("handed over to nobody")
	}
	e = Elder{}
	if p := e.Asked(10, 100); p != (Part{0.5, 0.5}) {
		t.Errorf("beside a new one: %+v", p)
	}
	if e.Leave() {
		t.Error("handed over to one that is not ready")
	}
	e = Elder{}
	e.Asked(10, 100)
	e.Ready()
	if p := e.Gone(); p != Alone {
		t.Errorf("after the new one died: %+v", p)
	}
	if e.Leave() {
		t.Error("handed over to one that has died")
	}
	e = Elder{}
	e.Ready() // of one that has asked for nothing
	if e.Leave() {
		t.Error("handed over to one that has not asked")
	}
	e = Elder{}
	e.Asked(10, 100)
	e.Ready()
	if !e.Leave() {
		t.Error("not handed over")
	}
	if p := e.Asked(10, 100); p.Rest != 0 {
		t.Errorf("a process that leaves keeps %+v", p)
	}
	// A second new process in place of the first.
	e = Elder{}
	e.Asked(1, 100)
	e.Ready()
	e.Asked(1, 100)
	if e.Leave() {
		t.Error("the first one's word counted for the second")
	}
}

// TestPartsDoNotExceedTheWhole goes through every number of connections that the old process may hold.
func TestSharesDoNotExceedTheWhole(t *testing.T) {
	const maxConns = 100
	for conns := range 3 * maxConns / 2 {
		var e Elder
		old, next := e.Asked(conns, maxConns), Joined(conns, maxConns)
		if float64(conns) <= maxConns && old.Callers*maxConns < float64(conns)-0.001 {
			t.Errorf("holding %d, the old one may keep %.0f", conns, old.Callers*maxConns)
		}
		if next.Callers < minCallers {
			t.Errorf("beside %d, the new one has %.2f", conns, next.Callers)
		}
		if sum := old.Callers + next.Callers; sum > 1.0001 && next.Callers > minCallers {
			t.Errorf("beside %d: %.2f of the callers' connections", conns, sum)
		}
		if old.Rest+next.Rest > 1 {
			t.Errorf("beside %d: %.2f of the rest", conns, old.Rest+next.Rest)
		}
	}
	if p := Left(Part{0.4, 0.5}); p != (Part{0.4, 1}) {
		t.Errorf("beside one that leaves: %+v", p)
	}
}
