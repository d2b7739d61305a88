package front

import (
	"time"

	"brasswell/internal/body"
	"brasswell/internal/operator"
)

// Options are the limits on what callers may do.
type Options struct {
	HeadTimeout  time.Duration // for a request's head, and for the silence after a connection is opened
	BodyTimeout  time.Duration // longest silence within the body
	BodyRate     int64         // minimum bytes per second of a body, not counting BodyGrace
	BodyGrace    time.Duration
	IdleTimeout  time.Duration // how long a connection may be idle between requests
	OnceIdle     time.Duration // the same after a single request, once new connections arrive
	ParkAfter    time.Duration // idle time before a connection is parked; 0 for never
	WriteTimeout time.Duration // how long a caller may leave its answer unread
	// StreamTimeout is how long a caller may read nothing of a streamed answer, and StreamRate how slowly it may
	// read one, in bytes per second. They are separate from WriteTimeout because streamed answers are long, and no
	// other proxy or backend can supply the rest.
	StreamTimeout time.Duration
	StreamRate    int64
	MaxHead       int64 // bytes
}

// DefaultOptions returns options that fit the platform: a faulty caller has to be answered within 3 s, and a correct
// one may take 2 s for a head and may send a body at 64 kB/s.
func DefaultOptions() Options {
	return Options{
		HeadTimeout: 2600 * time.Millisecond, BodyTimeout: 900 * time.Millisecond, IdleTimeout: 10 * time.Second,
		BodyRate: 16 << 10, BodyGrace: 1500 * time.Millisecond, StreamTimeout: 10 * time.Second, StreamRate: 4 << 10,
		OnceIdle: 3 * time.Second, WriteTimeout: 2 * time.Second, MaxHead: 16 << 10,
	}
}

// Section describes the options to the operator file.
func (o *Options) Section() operator.Section {
	return operator.Section{
		Name:   "callers",
		Doc:    "Limits on how long callers may take and how much they may send.",
		Absent: "the defaults apply.",
		Keys: []operator.Key{
			operator.Duration("head_timeout", &o.HeadTimeout, 50*time.Millisecond, time.Minute,
				"How long a request's head may take, and how long a new connection may send nothing."),
			operator.Duration("body_timeout", &o.BodyTimeout, 50*time.Millisecond, time.Minute,
				"How long a request's body may stall.").OnReload(),
			operator.Size("body_rate", &o.BodyRate, 1, 1<<30,
				"How much of a body must arrive per second, on average; a slower body is abandoned.").OnReload(),
			operator.Duration("body_grace", &o.BodyGrace, 0, time.Hour,
				"How long a body may take in addition to the time that body_rate allows.").OnReload(),
			operator.Duration("idle_timeout", &o.IdleTimeout, 100*time.Millisecond, time.Hour,
				"How long a connection may be idle between requests."),
			operator.Duration("once_idle", &o.OnceIdle, 100*time.Millisecond, time.Hour,
				"How long a connection that has carried a single request may be idle once new connections arrive.").OnReload(),
			operator.Duration("park_after", &o.ParkAfter, 0, time.Hour,
				"How long a connection is idle before it is parked, which frees its buffers and goroutines but makes its next request more expensive. 0 parks none."),
			operator.Duration("write_timeout", &o.WriteTimeout, 50*time.Millisecond, time.Minute,
				"How long a caller may leave its response unread.").OnReload(),
			operator.Duration("stream_timeout", &o.StreamTimeout, 100*time.Millisecond, time.Hour,
				"How long a caller may read nothing of a response over 64 KiB, which is streamed.").OnReload(),
			operator.Size("stream_rate", &o.StreamRate, 1, 1<<30,
				"How much of a streamed response a caller must read per second, on average.").OnReload(),
			operator.Size("max_head", &o.MaxHead, 1<<10, 1<<20, "The maximum size of a request's head."),
		},
		Check: func() []operator.Problem {
			if o.ParkAfter >= o.IdleTimeout {
				return []operator.Problem{{Key: "park_after", Text: "not below idle_timeout (" + o.IdleTimeout.String() +
					"), so it would have no effect; lower it or raise idle_timeout"}}
			}
			if o.ParkAfter > 0 && o.ParkAfter < minParkAfter {
				return []operator.Problem{{Key: "park_after", Text: "below " + minParkAfter.String() +
					", so connections whose callers are about to send another request would be parked; raise it, or set 0 to park none"}}
			}
			if o.OnceIdle > o.IdleTimeout {
				return []operator.Problem{{Key: "once_idle", Text: "longer than idle_timeout (" + o.IdleTimeout.String() +
					"), so it would have no effect; lower it or raise idle_timeout"}}
			}
			return nil
		},
	}
}

// minParkAfter is far longer than callers that use their connection pause between requests.
const minParkAfter = 100 * time.Millisecond

// streamGrace is the time that a slow caller may take beyond what StreamRate allows.
const streamGrace = 10 * time.Second

func (o *Options) bodyRate() body.MinDataRate {
	return body.MinDataRate{IdleTimeout: o.BodyTimeout, GracePeriod: o.BodyGrace, BytesPerSecond: o.BodyRate}
}

func (o *Options) streamRate() body.MinDataRate {
	return body.MinDataRate{IdleTimeout: o.StreamTimeout, GracePeriod: streamGrace, BytesPerSecond: o.StreamRate}
}
