package rig_test

import (
	"testing"
	"time"

	"brasswell/internal/rig/scale"
	"brasswell/internal/rig/scale/result"
)

// TestScaleShortForm plays two events of a scale run with few members, and looks at counts, not times.
func TestScaleShortForm(t *testing.T) {
	t.Parallel()
	for _, event := range []scale.Event{scale.Change, scale.Machine} {
		t.Run(string(event), func(t *testing.T) {
			t.Parallel()
			c := scale.DefaultConfig()
			c.Members, c.Event, c.Length, c.Numbers = 60, event, 4*time.Second, false
			c.Period = 500 * time.Millisecond // on a machine that is busy with other tests nobody is to be held dead
			c.Lease = 3 * time.Second
			c.Bans, c.Classes = 4, 2
			c.Program, c.Folder = program.Path, t.TempDir()
			run, err := scale.Run(t.Context(), c)
			if err != nil {
				t.Fatal(err)
			}
			checkScaleRun(t, run, event)
		})
	}
}

// checkScaleRun looks for all that must be so where nothing is lost but what the event kills.
func checkScaleRun(t *testing.T, run *result.Run, event scale.Event) {
	t.Helper()
	living, phases := run.Settings.Members, 3
	if event == scale.Machine {
		living, phases = living-5, 1
	}
	if run.Interrupted || len(run.Trouble) > 0 {
		t.Errorf("interrupted %v, trouble %q", run.Interrupted, run.Trouble)
	}
	if len(run.Changes) != phases {
		t.Errorf("%d phases: %+v", len(run.Changes), run.Changes)
	}
	for _, p := range run.Changes {
		if p.Proposed == 0 || p.Agreed != p.Proposed || p.Never != 0 || p.InForceS.Count != p.Agreed {
			t.Errorf("%s: %d proposed, %d agreed, %d never in force, %d in force everywhere", p.Name, p.Proposed, p.Agreed, p.Never, p.InForceS.Count)
		}
	}
	if v := run.Views; v.FalseDeaths != 0 || v.Wrong != 0 || v.RightS == nil {
		t.Errorf("views: %d false deaths, %d wrong at the end, right after %v", v.FalseDeaths, v.Wrong, v.RightS)
	}
	if l := run.Leases; l.Members != living || l.Held != living || l.AllAfterS == nil {
		t.Errorf("leases: %d of %d held at the end, and %d should live; all held after %v", l.Held, l.Members, living, l.AllAfterS)
	}
	if len(run.Roles) != 3 || run.Settings.Bans != 4 || run.Settings.Classes != 2 {
		t.Errorf("roles %+v, settings %+v", run.Roles, run.Settings)
	}
}
