package recovery

import (
	"time"

	"brasswell/internal/operator"
)

// Options are the settings of the [recovery] section of the operator file.
type Options struct {
	Enabled bool // the file has the section

	Folder       string
	SaveInterval time.Duration
	JustStarted  time.Duration
}

// DefaultOptions returns the values of keys that the section leaves out.
func DefaultOptions() Options {
	return Options{SaveInterval: 5 * time.Second, JustStarted: time.Minute}
}

// Section describes the options for the operator file.
func (o *Options) Section() operator.Section {
	return operator.Section{
		Name:    "recovery",
		Doc:     "This proxy's state is kept on disk, and a start distinguishes a restart of this proxy from a restart of the whole fleet after a power loss.",
		Absent:  "a start has no state from before, and admits all callers as soon as there is a server list.",
		Present: &o.Enabled,
		Keys: []operator.Key{
			operator.Path("folder", &o.Folder, "A persistent folder, used by this proxy alone; it may be that of [fleet]. Backends that the operator takes out are stored in it before the command is confirmed. An error in the folder never prevents the proxy from starting or serving.").MustBeSet(),
			operator.Duration("every", &o.SaveInterval, time.Second, time.Hour, "The time between two writes of the learned state: response times, health, the server list. A start continues from the last write."),
			operator.Duration("young", &o.JustStarted, time.Second, time.Hour, "How long a proxy counts as just started. If most of the proxies that can be reached have just started, the whole fleet has restarted: every backend counts as cold, and classes are admitted in order of value as the backends warm up."),
		},
	}
}
