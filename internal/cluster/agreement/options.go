package agreement

import (
	"fmt"
	"slices"
	"time"

	"brasswell/internal/cluster/accord"
	"brasswell/internal/cluster/lists"
	"brasswell/internal/operator"
)

// Options are what an operator may set about agreed rules.
type Options struct {
	Enabled bool // the file has the section

	Voters        []string
	Folder        string
	Lease         time.Duration
	WithoutLease  string
	MaxListDrop   float64
	AssignNumbers bool
}

// The values of Options.Alone.
const (
	Serve  = "serve"
	Refuse = "refuse"
)

// DefaultOptions hold where the file has the section and leaves a key out.
func DefaultOptions() Options {
	return Options{Lease: accord.DefaultTimes().Lease, WithoutLease: Serve, MaxListDrop: lists.DefaultSettings().MaxDropShare, AssignNumbers: true}
}

// Section describes the options to the operator file.
func (o *Options) Section() operator.Section {
	return operator.Section{
		Name:    "rules",
		Doc:     "Rules that the proxies of the fleet agree on: backends taken out everywhere, and settings with versions. It needs [fleet].",
		Absent:  "this proxy acts on its own files and on what is said at its own console.",
		Present: &o.Enabled,
		Keys: []operator.Key{
			operator.List("keepers", &o.Voters, checkKeeper, "The names of 3, 5 or 7 proxies that hold the rules, the same list in the same order at all. The first founds. Put them where they do not fail together.").MustBeSet(),
			operator.Path("folder", &o.Folder, "A folder that lasts, of this proxy alone. A keeper needs it; others know from it at a start what they last acted on.").MustBeSet(),
			operator.Duration("lease", &o.Lease, 500*time.Millisecond, time.Minute, "How long a proxy acts on rules that no keeper has vouched for since; the same at all. A shorter one makes changes quicker while a proxy is lost, and costs more messages."),
			operator.Float("list_drop", &o.MaxListDrop, 0.01, 1, "The share of the backends in service that lists may leave out within a minute. What leaves out more is held back, and all are gone on with, until ctl rules drop accepts it, they are listed again, or traffic finds them gone. Backends that drain are always left at once. 1 holds nothing back."),
			operator.Bool("numbers", &o.AssignNumbers, "The proxies' own numbers, by which each cuts its backends, follow who lives: 10 s after some have died or come back, the free numbers are dealt out anew. Set it alike at all keepers."),
			operator.Choice("without_lease", &o.WithoutLease, []string{Serve, Refuse}, "What a proxy does whose lease has run out. serve: it goes on with what it last knew, and repeats no request that may have run. refuse: it refuses all, so that it can never act against a newer rule."),
		},
		Check: o.check,
	}
}

func checkKeeper(text string) string {
	if text == "" || len(text) > 64 {
		return fmt.Sprintf("%.40q is no proxy's name; write that of its RELAY_NAME, of 64 bytes at most", text)
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

// Times are those that follow from the lease's.
func (o *Options) Times() accord.Times {
	t := accord.DefaultTimes()
	scale := float64(o.Lease) / float64(t.Lease)
	of := func(d time.Duration) time.Duration { return time.Duration(scale * float64(d)) }
	return accord.Times{Lease: o.Lease, Renew: of(t.Renew), Heartbeat: of(t.Heartbeat), Election: of(t.Election), RequestTimeout: of(t.RequestTimeout), MaxDrift: t.MaxDrift}
}

// keeps says whether a proxy is a keeper.
func (o *Options) keeps(name string) bool { return slices.Contains(o.Voters, name) }
