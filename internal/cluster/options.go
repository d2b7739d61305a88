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
		Doc:     "A view of the fleet that the proxies keep themselves: who else is there. Nothing in it is secret, and nothing is signed.",
		Absent:  "this proxy talks to no other, and opens nothing for it.",
		Present: &o.Enabled,
		Keys: []operator.Key{
			operator.Name("name", &o.Name, "The fleet's name, the same at all its proxies. What comes from another fleet is dropped.").MustBeSet(),
			operator.Address("listen", &o.Listen, "Where the other proxies reach this one, by UDP and TCP: an IPv4 address of this machine, on no public network.").MustBeSet(),
			operator.Text("advertise", &o.Advertise, "The address that others are told, where that is another one (behind a translation of addresses). Empty for `listen`."),
			operator.List("seeds", &o.Seeds, checkAddress, "Addresses of some proxies of the fleet, by which this one finds it. Its own may be among them. Three that do not fail together are enough.").OnReload(),
			operator.List("networks", &o.Networks, checkNetwork, "The networks whose members may talk to this one, such as 10.1.0.0/16. What comes from others is dropped unread."),
			operator.Duration("period", &o.Period, 20*time.Millisecond, time.Minute, "Between two questions to other proxies; the same at all. A dead proxy is found within ten of them or so."),
			operator.Int("most", &o.MaxMembers, 2, 65536, "How many proxies are kept in mind, those that are gone included. Each takes about 1 KiB at most."),
			operator.Path("folder", &o.Folder, "A folder that lasts, of this proxy alone, where addresses of others are kept for the next start. Empty for none: then only seeds help."),
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
		bad("listen", "%q has no IPv4 address written out; write one of this machine's, such as \"127.0.0.1:7946\"", o.Listen)
		return problems
	case at.Addr().IsUnspecified():
		bad("listen", "%s is every network of the machine; name the one address on which the fleet talks", at.Addr())
	case !o.inNetworks(at.Addr()):
		bad("networks", "the own address %s is of none of them; add its network", at.Addr())
	}
	if o.Advertise != "" {
		at, err := netip.ParseAddrPort(o.Advertise)
		switch {
		case err != nil || !at.Addr().Is4() || at.Port() == 0:
			bad("advertise", "%q is no address that others can reach; write an IPv4 address and a port", o.Advertise)
		case !o.inNetworks(at.Addr()):
			bad("networks", "the advertised address %s is of none of them; add its network", at.Addr())
		}
	} else if at.Port() == 0 {
		bad("listen", "port 0 is another one at each start; name the port, or set advertise")
	}
	for i, s := range o.Seeds {
		if at, err := netip.ParseAddrPort(s); err == nil && !o.inNetworks(at.Addr()) {
			bad("seeds", "entry %d: %s is of none of the networks, so it could not be asked; add its network", i+1, s)
		}
	}
	if len(o.Seeds) == 0 && o.Folder == "" {
		bad("seeds", "with no seeds and no folder this proxy finds nobody; name some proxies of the fleet")
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
		return fmt.Sprintf("%q is no address; write an IPv4 address and a port, such as \"127.0.0.1:7946\" (names are not looked up)", text)
	}
	return ""
}

func checkNetwork(text string) string {
	if p, err := netip.ParsePrefix(text); err != nil || !p.Addr().Is4() {
		return fmt.Sprintf("%q is no network; write an IPv4 address and a length, such as \"10.1.0.0/16\"", text)
	}
	return ""
}
