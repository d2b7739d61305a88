package fit

import (
	"errors"
	"fmt"
	"math"

	"brasswell/internal/rig/scale/result"
)

// checkRun says which figure of a run makes no sense, by its place in the file.
func checkRun(run *result.Run) error {
	if err := checkSettings(&run.Settings); err != nil {
		return err
	}
	if err := checkNumber("host.load", run.Host.Load); err != nil {
		return err
	}
	if err := checkOutcome(run); err != nil {
		return err
	}
	if leftOut(run) != "" {
		return nil // its usage is not shown
	}
	seen := map[result.Role]bool{}
	for i := range run.Roles {
		u := &run.Roles[i]
		if err := checkUsage(u, run.Settings.Members); err != nil {
			return err
		}
		if seen[u.Role] {
			return fmt.Errorf("roles: %s stands twice", u.Role)
		}
		seen[u.Role] = true
	}
	return checkHostCost(run.HostCost)
}

// checkOutcome looks at what is shown of a run whether or not it is left out of the fits.
func checkOutcome(run *result.Run) error {
	for i := range run.Changes {
		if err := checkPhase(&run.Changes[i]); err != nil {
			return err
		}
	}
	for _, one := range []struct {
		place string
		value int
	}{
		{"views.false_deaths", run.Views.FalseDeaths}, {"views.wrong", run.Views.Wrong}, {"leases.lost", run.Leases.LostAwake},
	} {
		if one.value < 0 {
			return fmt.Errorf("%s is %d", one.place, one.value)
		}
	}
	if err := checkTime("views.right_s", run.Views.RightS); err != nil {
		return err
	}
	if err := checkTime("views.dead_right_s", run.Views.DeadRightS); err != nil {
		return err
	}
	return checkService(run.Service)
}

// checkService takes the requests of a run; service may be nil.
func checkService(service *result.Service) error {
	if service == nil {
		return nil
	}
	if service.Asked < 0 || service.Served < 0 || service.Served > service.Asked {
		return fmt.Errorf("service: %d of %d served", service.Served, service.Asked)
	}
	if service.Share < 0 || service.Share > 1 {
		return fmt.Errorf("service.share is %v, must be between 0 and 1", service.Share)
	}
	return nil
}

func checkSettings(s *result.Settings) error {
	if s.Members < 1 {
		return fmt.Errorf("settings.members is %d, must be at least 1", s.Members)
	}
	if s.Event == "" {
		return fmt.Errorf("settings.event is empty")
	}
	for _, one := range []struct {
		place string
		value float64
	}{
		{"settings.rtt_ms", s.RTTMS}, {"settings.lease_s", s.LeaseS}, {"settings.period_ms", s.PeriodMS}, {"settings.length_s", s.LengthS},
		{"settings.bans", float64(s.Bans)}, {"settings.classes", float64(s.Classes)}, {"settings.numbers", float64(s.Numbers)},
	} {
		if err := checkNumber(one.place, one.value); err != nil {
			return err
		}
	}
	return nil
}

func checkUsage(u *result.Usage, members int) error {
	switch u.Role {
	case result.Member, result.Proxy, result.Leader, result.Voter:
	default:
		return fmt.Errorf("roles: unknown role %q", u.Role)
	}
	if u.Members < 1 || u.Members > members {
		return fmt.Errorf("roles.%s.members is %d, must be between 1 and settings.members, %d", u.Role, u.Members, members)
	}
	for _, f := range usageFigures {
		if err := checkQuantiles(fmt.Sprintf("roles.%s.%s", u.Role, f.field), f.of(u)); err != nil {
			return err
		}
	}
	return nil
}

// checkHostCost takes any difference of two measurements, which may be below 0, but no such measurement; cost may be nil.
func checkHostCost(cost *result.HostCost) error {
	if cost == nil {
		return nil
	}
	const place = "host_cost.one_member."
	return errors.Join(checkNumber(place+"cpu_cores", cost.OneMember.CPU), checkNumber(place+"rss_bytes", cost.OneMember.Memory))
}

func checkPhase(p *result.Phase) error {
	if p.Name == "" {
		return fmt.Errorf("changes: a phase has no name")
	}
	place := "changes." + p.Name
	if p.Proposed < 0 || p.Agreed < 0 || p.Never < 0 || p.Agreed > p.Proposed || p.Never > p.Agreed {
		return fmt.Errorf("%s: proposed %d, agreed %d, never in force %d", place, p.Proposed, p.Agreed, p.Never)
	}
	for _, f := range phaseFigures {
		if err := checkQuantiles(place+"."+f.field, f.of(p)); err != nil {
			return err
		}
	}
	return checkTime(place+".healed_s", p.HealedS)
}

// checkTime takes a time that may never have come.
func checkTime(place string, s *float64) error {
	if s == nil {
		return nil
	}
	return checkNumber(place, *s)
}

func checkQuantiles(place string, q result.Quantiles) error {
	if q.Count < 0 {
		return fmt.Errorf("%s.count is %d", place, q.Count)
	}
	for _, one := range quantiles {
		if err := checkNumber(place+"."+one.field, one.of(q)); err != nil {
			return err
		}
	}
	if q.Median > q.P99 || q.P99 > q.Worst {
		return fmt.Errorf("%s: median %v, p99 %v and worst %v do not ascend", place, q.Median, q.P99, q.Worst)
	}
	return nil
}

// checkNumber takes what a count, a rate or a time may be.
func checkNumber(place string, value float64) error {
	if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		return fmt.Errorf("%s is %v, must be finite and not negative", place, value)
	}
	return nil
}
