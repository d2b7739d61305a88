package fit

import (
	"strings"
	"testing"

	"brasswell/internal/rig/scale/result"
)

// withService is a synthetic run with six real proxies, which served all but one request in a thousand.
func withService(event string, members int) *result.Run {
	run := syntheticRun(event, members, 1)
	run.Settings.Real = 6
	proxies := run.Roles[0]
	proxies.Role, proxies.Members, proxies.Processes, proxies.CPU = result.Proxy, 6, 6, flat(0.04)
	run.Roles = []result.Usage{proxies}
	run.Service = &result.Service{Asked: 6000, Served: 5994, Share: 0.999, RulesKept: true}
	return run
}

// regionRun is one whose region was cut off and healed.
func regionRun() *result.Run {
	run := withService("region", 1400)
	healed, right := 4.5, 12.25
	run.Changes = []result.Phase{
		{Name: "during the cut", Proposed: 30, Agreed: 29, Never: 1, InForceS: flat(3), KnownS: flat(0.2), HealedS: &healed},
		{Name: "after the cut", Proposed: 10},
	}
	run.Leases.LostAwake, run.Views = 7, result.Views{FalseDeaths: 2, RightS: &right, Wrong: 3}
	return run
}

// zoneRun is one whose dead members returned, with the moments at which the views were right; nil for never.
func zoneRun(dead, returned *float64) *result.Run {
	run := syntheticRun("zone", 1400, 1)
	run.Views = result.Views{DeadRightS: dead, RightS: returned}
	return run
}

// eventsFolder holds runs of events, most with real proxies, and one that is left out of the fits.
func eventsFolder(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	for _, members := range []int{60, 250, 1000, 1400} {
		write(t, folder, "machine-"+integer(members)+".json", withService("machine", members))
	}
	write(t, folder, "region.json", regionRun())
	dead, returned := 20.5, 8.0
	write(t, folder, "zone.json", zoneRun(&dead, &returned))
	troubled := withService("restart", 1400)
	troubled.Trouble, troubled.Service.RulesKept, troubled.Service.RulesBroke = []string{"3 of 1400 members had no lease"}, false, "no repeats: 2"
	write(t, folder, "restart.json", troubled)
	return folder
}

// TestEventRows: each run in which something happened has one row, also one that is left out of the fits, and those at rest have none.
func TestEventRows(t *testing.T) {
	r, err := Folder(eventsFolder(t))
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Events) != 7 || len(r.Runs) != 7 {
		t.Fatalf("%d rows of %d runs", len(r.Events), len(r.Runs))
	}
	if first, last := r.Events[0], r.Events[6]; first.File != "machine-60.json" || last.File != "zone.json" {
		t.Errorf("from %s to %s", first.File, last.File)
	}
	region, restart := r.Events[4], r.Events[5]
	if region.Event != "region" || region.LeasesLost != 7 || region.FalseDeaths != 2 || region.Changes[0].Never != 1 || region.Service.Served != 5994 || len(region.Remarks) != 0 {
		t.Errorf("%+v", region)
	}
	if got := strings.Join(restart.Remarks, "; "); got != "trouble: 3 of 1400 members had no lease; rules broken: no repeats: 2" {
		t.Errorf("%q", got)
	}
	if atRest := report([]File{{"rest.json", syntheticRun("rest", 60, 1)}}); len(atRest.Events) != 0 {
		t.Errorf("at rest: %+v", atRest.Events)
	}
}

// TestViewsRight: where the dead return, the table tells when the views were right about each, also where one never came.
func TestViewsRight(t *testing.T) {
	dead, returned := 20.5, 8.0
	for _, c := range []struct {
		run  *result.Run
		want string
	}{
		{zoneRun(&dead, &returned), "deaths: 20.5; return: 8"},
		{zoneRun(nil, &returned), "deaths: never; return: 8"},
		{zoneRun(&dead, nil), "deaths: 20.5; return: never"},
		{regionRun(), "12.25"},
		{syntheticRun("machine", 60, 1), "never"},
	} {
		row, ok := eventRow(File{"a.json", c.run})
		if got := row.viewsRight(); !ok || got != c.want {
			t.Errorf("%q, %v; %q is right", got, ok, c.want)
		}
	}
}

// TestRealProxiesOfEachEvent: their usage is fitted in events too, each apart, and that of hollow members only at rest.
func TestRealProxiesOfEachEvent(t *testing.T) {
	r := report([]File{{"a", withService("rest", 60)}, {"b", withService("machine", 60)}, {"c", syntheticRun("change", 60, 1)}})
	series := map[string]int{}
	for _, row := range r.Usage {
		if row.Role != result.Proxy {
			t.Errorf("%+v", row)
		}
		series[row.Series.Event]++
	}
	rows := len(usageFigures) * len(quantiles)
	if len(series) != 2 || series["rest"] != rows || series["machine"] != rows {
		t.Errorf("%v", series)
	}
}
