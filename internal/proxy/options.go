package proxy

import (
	"brasswell/internal/backends"
	"brasswell/internal/channel"
	"brasswell/internal/discovery"
	"brasswell/internal/front"
	"brasswell/internal/operator"
)

// Options are the settings of a proxy that an operator may change.
type Options struct {
	Callers   front.Options
	Backends  backends.Options
	Discovery discovery.Options
	Channels  channel.Options
}

// DefaultOptions returns defaults that fit the platform.
func DefaultOptions() Options {
	return Options{front.DefaultOptions(), backends.DefaultOptions(), discovery.DefaultOptions(), channel.DefaultOptions()}
}

// Sections returns the sections of the operator file that set these options.
func (o *Options) Sections() []operator.Section {
	return []operator.Section{o.Callers.Section(), o.Backends.Section(), o.Discovery.Section(), o.Channels.Section()}
}
