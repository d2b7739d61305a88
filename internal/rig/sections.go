package rig

import (
	"fmt"
	"strings"
	"time"
)

// LogSection is the part of an operator file by which a process says all that a rig reads.
const LogSection = "[log]\nformat = \"json\"\nper_second = 10000\nburst = 100000\n"

// FleetSection is the part of an operator file about the view of the fleet.
func FleetSection(name, listen, advertise string, period time.Duration, folder string, seeds []string) string {
	return fmt.Sprintf("\n[fleet]\nname = %q\nlisten = %q\nadvertise = %q\nperiod = %q\nfolder = %q\nseeds = [\"%s\"]\n",
		name, listen, advertise, period, folder, strings.Join(seeds, "\", \""))
}

// RulesSection is the part of an operator file about agreed rules; more lines of it may follow.
func RulesSection(voters []string, folder, withoutLease string) string {
	return fmt.Sprintf("\n[rules]\nkeepers = [\"%s\"]\nfolder = %q\nwithout_lease = %q\n", strings.Join(voters, "\", \""), folder, withoutLease)
}
