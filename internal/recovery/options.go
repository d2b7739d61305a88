package recovery

import (
	"time"

	"brasswell/internal/operator"
)

// Options are what an operator may set about recovery.
type Options struct {
	Enabled bool // the file has the section

	Folder       string
	SaveInterval time.Duration
	JustStarted  time.Duration
}

// DefaultOptions hold where the file has the section and leaves a key out.
func DefaultOptions() Options {
	return Options{SaveInterval: 5 * time.Second, JustStarted: time.Minute}
}

// Section describes the options to the operator file.
func (o *Options) Section() operator.Section {
	return operator.Section{
		Name:    "recovery",
		Doc:     "What this proxy knows lasts, and a start tells a restart of one from a return of all after a power loss.",
		Absent:  "a start knows nothing of before, and lets all callers in as soon as there is a list.",
		Present: &o.Enabled,
		Keys: []operator.Key{
			operator.Path("folder", &o.Folder, "A folder that lasts, of this proxy alone; that of [fleet] will do. Backends out by hand are in it before their yes. It never keeps the proxy from starting or serving.").MustBeSet(),
			operator.Duration("every", &o.SaveInterval, time.Second, time.Hour, "Between two writes of what was learned: times, health, the list. A start goes on from the last."),
			operator.Duration("young", &o.JustStarted, time.Second, time.Hour, "How long a proxy counts as just started. Where most that can be asked have just started, it is a return of all: every backend counts as cold, and classes are let in by worth as they get warm."),
		},
	}
}
