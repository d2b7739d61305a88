package fit

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"brasswell/internal/rig/scale/result"
)

// Series is what runs have in common that may be fitted together: they differ in the number of members alone.
type Series struct {
	Event    string  `json:"event"`
	RTTMS    float64 `json:"rtt_ms"`
	LeaseS   float64 `json:"lease_s"`
	PeriodMS float64 `json:"period_ms"`
	Bans     int     `json:"bans"`
	Classes  int     `json:"classes"`
	// Numbered: the members' own numbers were in the document as the measured part began.
	Numbered bool `json:"numbered"`
}

// String is the series for people.
func (s Series) String() string {
	numbers := "no numbers"
	if s.Numbered {
		numbers = "numbers"
	}
	return fmt.Sprintf("%s, round trip %s ms, lease %s s, period %s ms, document of %d bans, %d classes and %s", s.Event, digits(s.RTTMS),
		digits(s.LeaseS), digits(s.PeriodMS), s.Bans, s.Classes, numbers)
}

func seriesOf(s *result.Settings) Series {
	return Series{s.Event, s.RTTMS, s.LeaseS, s.PeriodMS, s.Bans, s.Classes, s.Numbers > 0}
}

func compareSeries(a, b Series) int {
	return cmp.Or(cmp.Compare(a.Event, b.Event), cmp.Compare(a.RTTMS, b.RTTMS), cmp.Compare(a.LeaseS, b.LeaseS),
		cmp.Compare(a.PeriodMS, b.PeriodMS), cmp.Compare(a.Bans, b.Bans), cmp.Compare(a.Classes, b.Classes),
		compareBool(a.Numbered, b.Numbered))
}

// compareBool puts false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// leftOut is why a run is not fitted; empty if it is.
func leftOut(run *result.Run) string {
	switch {
	case run.Interrupted:
		return "interrupted"
	case len(run.Trouble) > 0:
		return "trouble: " + run.Trouble[0]
	default:
		return ""
	}
}

// group sorts the runs that are fitted by series, those at rest apart. The series' order is that of compareSeries, the runs' within one
// that of the files.
func group(files []File) (atRest, others []Series, runs map[Series][]*result.Run) {
	runs = map[Series][]*result.Run{}
	for _, f := range files {
		if leftOut(f.Run) != "" {
			continue
		}
		s := seriesOf(&f.Run.Settings)
		runs[s] = append(runs[s], f.Run)
	}
	for _, s := range slices.SortedFunc(maps.Keys(runs), compareSeries) {
		if s.Event == eventAtRest {
			atRest = append(atRest, s)
		} else {
			others = append(others, s)
		}
	}
	return atRest, others, runs
}
