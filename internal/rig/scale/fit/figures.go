package fit

import "brasswell/internal/rig/scale/result"

// usageFigure is one figure of a role's usage.
type usageFigure struct {
	name, unit string
	field      string  // in the file
	scale      float64 // from the file's unit to unit
	of         func(*result.Usage) result.Quantiles
}

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
)

var usageFigures = []usageFigure{
	{"processor time", "millicores", "cpu_cores", 1e3, func(u *result.Usage) result.Quantiles { return u.CPU }},
	{"memory", "MiB", "rss_bytes", 1.0 / mebibyte, func(u *result.Usage) result.Quantiles { return u.Memory }},
	{"messages sent", "/s", "messages_sent", 1, func(u *result.Usage) result.Quantiles { return u.MessagesSent }},
	{"messages received", "/s", "messages_received", 1, func(u *result.Usage) result.Quantiles { return u.MessagesReceived }},
	{"bytes sent", "KiB/s", "bytes_sent", 1.0 / kibibyte, func(u *result.Usage) result.Quantiles { return u.BytesSent }},
	{"bytes received", "KiB/s", "bytes_received", 1.0 / kibibyte, func(u *result.Usage) result.Quantiles { return u.BytesReceived }},
}

// phaseFigure is one figure of the changes of a phase.
type phaseFigure struct {
	name, unit string
	field      string // in the file
	of         func(*result.Phase) result.Quantiles
}

var phaseFigures = []phaseFigure{
	{"known to all after", "s", "known_s", func(p *result.Phase) result.Quantiles { return p.KnownS }},
	{"in force at all after", "s", "in_force_s", func(p *result.Phase) result.Quantiles { return p.InForceS }},
}

// quantile is one of result.Quantiles.
type quantile struct {
	name  string
	field string // in the file
	of    func(result.Quantiles) float64
}

var quantiles = []quantile{
	{"median", "median", func(q result.Quantiles) float64 { return q.Median }},
	{"99th", "p99", func(q result.Quantiles) float64 { return q.P99 }},
	{"worst", "worst", func(q result.Quantiles) float64 { return q.Worst }},
}

// roles are all, in the order of the tables.
var roles = []result.Role{result.Member, result.Proxy, result.Leader, result.Voter}
