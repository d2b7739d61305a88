package agreement

import (
	"fmt"
	"slices"
	"time"

	"brasswell/internal/cluster/accord"
	"brasswell/internal/cluster/lists"
	"brasswell/internal/operator"
)

// Options are the operator's settings for agreed rules.
type Options struct {
	Enabled bool // whether the file has the section

	Voters        []string
	Folder        string
	Lease         time.Duration
	WithoutLease  string
	MaxListDrop   float64
	AssignNumbers bool
}

// The values of Options.WithoutLease.
const (
	Serve  = "serve"
	Refuse = "refuse"
)

// DefaultOptions returns the values of keys that the section leaves out.
func DefaultOptions() Options {
	return Options{Lease: accord.DefaultTimes().Lease, WithoutLease: Serve, MaxListDrop: lists.DefaultSettings().MaxDropShare, AssignNumbers: true}
}

// Section describes the options to the operator file.
func (o *Options) Section() operator.Section {
	return operator.Section{
		Name:    "rules",
		Doc:     "Rules that the proxies of the fleet agree on: backends taken out everywhere, and settings with versions. It requires [fleet].",
		Absent:  "this proxy uses only its own files and the commands given at its own console.",
		Present: &o.Enabled,
		Keys: []operator.Key{
			operator.List("keepers", &o.Voters, checkVoterName, "The names of the 3, 5 or 7 proxies that store the rules and vote on them, the same list in the same order at all proxies. The first one creates the log of the rules. Place them where they do not fail together.").MustBeSet(),
			operator.Path("folder", &o.Folder, "A persistent folder, used by this proxy alone. A keeper requires it; other proxies read from it at a start which rules they last applied.").MustBeSet(),
			operator.Duration("lease", &o.Lease, 500*time.Millisecond, time.Minute, "How long a proxy applies rules without a renewal from the keepers; the same at all proxies. A shorter lease makes changes faster while a proxy is unreachable, and costs more messages."),
			operator.Float("list_drop", &o.MaxListDrop, 0.01, 1, "The share of the backends in service that lists may leave out within a minute. If they leave out more, the missing backends are all kept in use until ctl rules drop accepts their removal, they are listed again, or traffic shows that they are gone. Backends that the list marks as draining are always left at once. 1 switches this off."),
			operator.Bool("numbers", &o.AssignNumbers, "Whether the proxies' own numbers, from which each computes its subset of the backends, follow which proxies are alive: 10 s after some have failed or returned, the free numbers are reassigned. Set it to the same value at all keepers."),
			operator.Choice("without_lease", &o.WithoutLease, []string{Serve, Refuse}, "What a proxy does once its lease has expired. serve: it continues with the rules that it last knew, and repeats no request that may have been executed. refuse: it refuses all requests, so that it can never violate a newer rule."),
		},
		Check: o.check,
	}
}

func checkVoterName(text string) string {
	if text == "" || len(text) > 64 {
		return fmt.Sprintf("%.40q is not a proxy name; use the RELAY_NAME of the proxy, of 64 bytes at most", text)
	}
	return ""
}

func (o *Options) check() []operator.Problem {
	settings := accord.Settings{Name: "any", Voters: o.Voters, Times: o.Times()}
	if err := settings.Validate(); err != nil {
		return []operator.Problem{{Key: "keepers", Text: err.Error()}}
	}
	return nil
}

// Times returns the protocol's times, scaled from the defaults by the length of the lease.
func (o *Options) Times() accord.Times {
	t := accord.DefaultTimes()
	scale := float64(o.Lease) / float64(t.Lease)
	scaled := func(d time.Duration) time.Duration { return time.Duration(scale * float64(d)) }
	return accord.Times{Lease: o.Lease, Renew: scaled(t.Renew), Heartbeat: scaled(t.Heartbeat), Election: scaled(t.Election), RequestTimeout: scaled(t.RequestTimeout), MaxDrift: t.MaxDrift}
}

// isVoter reports whether a proxy is a voter.
func (o *Options) isVoter(name string) bool { return slices.Contains(o.Voters, name) }
