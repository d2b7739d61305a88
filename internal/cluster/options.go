package cluster

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"brasswell/internal/operator"
)

// Options are an operator's settings for the view of the fleet.
type Options struct {
	Enabled bool // whether the operator file has the section

	Name       string // of the fleet
	Listen     string
	Advertise  string
	Seeds      []string
	Networks   []string
	Period     time.Duration
	MaxMembers int
	Folder     string
}

// DefaultOptions returns the values of keys that the section leaves out.
func DefaultOptions() Options {
	return Options{Networks: []string{"127.0.0.0/8"}, Period: 300 * time.Millisecond, MaxMembers: 4096}
}

// Section returns the operator file's section for the options.
func (o *Options) Section() operator.Section {
	return operator.Section{
		Name:    "fleet",
		Doc:     "The fleet's membership, which the proxies maintain themselves. Nothing in their messages is secret, and they are not signed.",
		Absent:  "this proxy exchanges no messages with others and opens no sockets for them.",
		Present: &o.Enabled,
		Keys: []operator.Key{
			operator.Name("name", &o.Name, "The fleet's name, the same at all its proxies. Messages from other fleets are dropped.").MustBeSet(),
			operator.Address("listen", &o.Listen, "The address at which other proxies reach this one, by UDP and TCP: an IPv4 address of this machine that is not on a public network.").MustBeSet(),
			operator.Text("advertise", &o.Advertise, "The address that this proxy announces to others, if it differs from `listen` because of network address translation. Empty to announce `listen`."),
			operator.List("seeds", &o.Seeds, checkAddress, "Addresses of some proxies of the fleet, through which this one finds the others. Its own may be among them. Three that do not fail together are enough.").OnReload(),
			operator.List("networks", &o.Networks, checkNetwork, "The networks from which messages are accepted, such as 10.1.0.0/16. Messages from others are dropped unread."),
			operator.Duration("period", &o.Period, 20*time.Millisecond, time.Minute, "The time between two probes of other proxies; the same at all proxies. A dead proxy is detected within about ten periods."),
			operator.Int("most", &o.MaxMembers, 2, 65536, "How many proxies the view holds at most, including ones that are gone. Each takes about 1 KiB at most."),
			operator.Path("folder", &o.Folder, "A persistent folder, used by this proxy alone, that stores the addresses of other proxies for the next start. Empty for none: a start then uses only the seeds."),
		},
		Check: o.check,
	}
}

// check validates the values in combination; each of them is valid by itself.
func (o *Options) check() []operator.Problem {
	var problems []operator.Problem
	bad := func(key, format string, a ...any) {
		problems = append(problems, operator.Problem{Key: key, Text: fmt.Sprintf(format, a...)})
	}
	at, err := netip.ParseAddrPort(o.Listen)
	switch {
	case err != nil || !at.Addr().Is4():
		bad("listen", "%q does not contain an IPv4 address; write one of this machine's, such as \"127.0.0.1:7946\"", o.Listen)
		return problems
	case at.Addr().IsUnspecified():
		bad("listen", "%s stands for all addresses of the machine; write the one that the fleet uses", at.Addr())
	case !o.inNetworks(at.Addr()):
		bad("networks", "this proxy's own address %s is in none of them; add its network", at.Addr())
	}
	if o.Advertise != "" {
		at, err := netip.ParseAddrPort(o.Advertise)
		switch {
		case err != nil || !at.Addr().Is4() || at.Port() == 0:
			bad("advertise", "%q is not an address that others can reach; write an IPv4 address and a port", o.Advertise)
		case !o.inNetworks(at.Addr()):
			bad("networks", "the advertised address %s is in none of them; add its network", at.Addr())
		}
	} else if at.Port() == 0 {
		bad("listen", "port 0 selects a different port at each start; write a fixed port, or set advertise")
	}
	for i, s := range o.Seeds {
		if at, err := netip.ParseAddrPort(s); err == nil && !o.inNetworks(at.Addr()) {
			bad("seeds", "entry %d: %s is in none of the networks, so it could not be contacted; add its network", i+1, s)
		}
	}
	if len(o.Seeds) == 0 && o.Folder == "" {
		bad("seeds", "with neither seeds nor a folder this proxy cannot find the fleet; add the addresses of some of its proxies")
	}
	return problems
}

// inNetworks reports whether an address is in one of the networks.
func (o *Options) inNetworks(a netip.Addr) bool {
	return slices.ContainsFunc(o.prefixes(), func(p netip.Prefix) bool { return p.Contains(a) })
}

// prefixes returns the parsed networks, which checkNetwork has validated.
func (o *Options) prefixes() []netip.Prefix {
	var all []netip.Prefix
	for _, n := range o.Networks {
		if p, err := netip.ParsePrefix(n); err == nil {
			all = append(all, p)
		}
	}
	return all
}

func checkAddress(text string) string {
	if at, err := netip.ParseAddrPort(text); err != nil || !at.Addr().Is4() || at.Port() == 0 {
		return fmt.Sprintf("%q is not an address; write an IPv4 address and a port, such as \"127.0.0.1:7946\" (names are not resolved)", text)
	}
	return ""
}

func checkNetwork(text string) string {
	if p, err := netip.ParsePrefix(text); err != nil || !p.Addr().Is4() {
		return fmt.Sprintf("%q is not a network; write an IPv4 address and a length, such as \"10.1.0.0/16\"", text)
	}
	return ""
}
