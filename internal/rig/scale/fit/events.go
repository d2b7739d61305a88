package fit

import (
	"fmt"
	"strconv"
	"strings"

	"brasswell/internal/rig/scale/result"
)

// eventWithReturn is the event in which members die together and return later.
const eventWithReturn = "zone"

// EventRow is one run in which something happened, as it was measured.
type EventRow struct {
	File        string          `json:"file"`
	Members     int             `json:"members"`
	Event       string          `json:"event"`
	RTTMS       float64         `json:"rtt_ms"`
	Changes     []result.Phase  `json:"changes"`
	LeasesLost  int             `json:"leases_lost"`
	FalseDeaths int             `json:"false_deaths"`
	Views       result.Views    `json:"views"`
	Service     *result.Service `json:"service,omitempty"` // nil without real proxies
	Remarks     []string        `json:"remarks,omitempty"`
}

// eventRow is the row of a run; ok is false for one at rest.
func eventRow(f File) (row EventRow, ok bool) {
	run := f.Run
	if run.Settings.Event == eventAtRest {
		return EventRow{}, false
	}
	row = EventRow{
		File: f.Name, Members: run.Settings.Members, Event: run.Settings.Event, RTTMS: run.Settings.RTTMS, Changes: run.Changes,
		LeasesLost: run.Leases.LostAwake, FalseDeaths: run.Views.FalseDeaths, Views: run.Views, Service: run.Service,
	}
	if why := leftOut(run); why != "" {
		row.Remarks = append(row.Remarks, why)
	}
	if run.Service != nil && !run.Service.RulesKept {
		row.Remarks = append(row.Remarks, "rules broken: "+run.Service.RulesBroke)
	}
	return row, true
}

func eventsText(rows []EventRow) string {
	t := newTable("Members", "Event", "Round trip (ms)", "Changes proposed, agreed, never in force", "In force, median, 99th, worst (s)", "In force after the cut (s)",
		"Leases lost", "False deaths", "Views right after (s)", "Views wrong at the end", "Requests asked", "Served", "Share (%)", "Remarks", "File")
	for _, r := range rows {
		cells := []string{integer(r.Members), r.Event, digits(r.RTTMS), r.counts(), r.inForce(), r.healed(), integer(r.LeasesLost), integer(r.FalseDeaths),
			r.viewsRight(), integer(r.Views.Wrong)}
		cells = append(cells, serviceCells(r.Service)...)
		t.row(append(cells, joined(r.Remarks), r.File)...)
	}
	return t.String()
}

// counts are those of changes, by phase.
func (r *EventRow) counts() string {
	return r.byPhase(func(p *result.Phase) string { return fmt.Sprintf("%d, %d, %d", p.Proposed, p.Agreed, p.Never) })
}

// inForce is when changes were in force at all reachable members, by phase.
func (r *EventRow) inForce() string {
	return r.byPhase(func(p *result.Phase) string {
		if p.InForceS.Count == 0 {
			return ""
		}
		return fmt.Sprintf("%s, %s, %s", digits(p.InForceS.Median), digits(p.InForceS.P99), digits(p.InForceS.Worst))
	})
}

// healed is when changes were in force at the members that had been cut off, by phase, counted from the end of the cut.
func (r *EventRow) healed() string {
	return r.byPhase(func(p *result.Phase) string {
		if p.HealedS == nil {
			return ""
		}
		return digits(*p.HealedS)
	})
}

// byPhase is what each phase has, behind its name; phases without are left out.
func (r *EventRow) byPhase(of func(*result.Phase) string) string {
	var parts []string
	for i := range r.Changes {
		if text := of(&r.Changes[i]); text != "" {
			parts = append(parts, r.Changes[i].Name+": "+text)
		}
	}
	if len(parts) == 0 {
		return "–"
	}
	return strings.Join(parts, "; ")
}

// viewsRight is when all views were right: once after the event, or about the dead and about their return.
func (r *EventRow) viewsRight() string {
	if r.Event != eventWithReturn {
		return orNever(r.Views.RightS)
	}
	return fmt.Sprintf("deaths: %s; return: %s", orNever(r.Views.DeadRightS), orNever(r.Views.RightS))
}

// orNever is a time that may not have come.
func orNever(s *float64) string {
	if s == nil {
		return "never"
	}
	return digits(*s)
}

// serviceCells are the requests of a run with real proxies.
func serviceCells(s *result.Service) []string {
	const shareDigits = 3
	if s == nil {
		return []string{"–", "–", "–"}
	}
	return []string{strconv.FormatInt(s.Asked, 10), strconv.FormatInt(s.Served, 10), strconv.FormatFloat(100*s.Share, 'f', shareDigits, 64)}
}
