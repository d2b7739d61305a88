package proxy

import (
	"brasswell/internal/backends"
	"brasswell/internal/channel"
	"brasswell/internal/discovery"
	"brasswell/internal/front"
	"brasswell/internal/operator"
)

// Options are what an operator may set about a proxy.
type Options struct {
	Callers   front.Options
	Backends  backends.Options
	Discovery discovery.Options
	Channels  channel.Options
}

// DefaultOptions fit the platform.
func DefaultOptions() Options {
	return Options{front.DefaultOptions(), backends.DefaultOptions(), discovery.DefaultOptions(), channel.DefaultOptions()}
}

// Sections describes the options to the operator file.
func (o *Options) Sections() []operator.Section {
	return []operator.Section{o.Callers.Section(), o.Backends.Section(), o.Discovery.Section(), o.Channels.Section()}
}
