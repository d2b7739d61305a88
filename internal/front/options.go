package front

import (
	"time"

	"brasswell/internal/body"
	"brasswell/internal/operator"
)

// Options are the limits on what callers may do.
type Options struct {
	HeadTimeout  time.Duration // for a request's head, and how long a connection may stay silent at first
	BodyTimeout  time.Duration // how long the body behind a head may bring nothing
	BodyRate     int64         // bytes a second that a body must bring, BodyGrace aside
	BodyGrace    time.Duration
	IdleTimeout  time.Duration // how long a connection may idle between requests
	OnceIdle     time.Duration // the same for one that has carried a single request, once others come
	ParkAfter    time.Duration // how long it idles before it is parked; 0 for never
	WriteTimeout time.Duration // how long a caller may leave its answer untaken
	// How long a caller may take nothing of an answer that streams, and how slowly it may take it: those are long,
	// and nobody else can give the rest.
	StreamTimeout time.Duration
	StreamRate    int64
	MaxHead       int64 // bytes
}

// DefaultOptions fit the platform: a bad caller is owed a word after 3 s, and good ones may take 2 s for a head and
// send a body at 64 kB/s.
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
		Doc:    "How long callers may take, and how much they may send.",
		Absent: "the defaults hold.",
		Keys: []operator.Key{
			operator.Duration("head_timeout", &o.HeadTimeout, 50*time.Millisecond, time.Minute,
				"How long a request's head may take, and how long a connection may stay silent at first."),
			operator.Duration("body_timeout", &o.BodyTimeout, 50*time.Millisecond, time.Minute,
				"How long the body behind a head may bring nothing.").OnReload(),
			operator.Size("body_rate", &o.BodyRate, 1, 1<<30,
				"How much of a body must come in a second, on the whole; a body that comes more slowly is given up.").OnReload(),
			operator.Duration("body_grace", &o.BodyGrace, 0, time.Hour,
				"How long a body may take beyond what body_rate allows.").OnReload(),
			operator.Duration("idle_timeout", &o.IdleTimeout, 100*time.Millisecond, time.Hour,
				"How long a connection may idle between requests."),
			operator.Duration("once_idle", &o.OnceIdle, 100*time.Millisecond, time.Hour,
				"How long a connection that has carried a single request may idle once others come.").OnReload(),
			operator.Duration("park_after", &o.ParkAfter, 0, time.Hour,
				"How long a connection idles before it is held without buffers and goroutines, for a dearer next request. 0 holds none so."),
			operator.Duration("write_timeout", &o.WriteTimeout, 50*time.Millisecond, time.Minute,
				"How long a caller may leave its answer untaken.").OnReload(),
			operator.Duration("stream_timeout", &o.StreamTimeout, 100*time.Millisecond, time.Hour,
				"How long a caller may take nothing of an answer over 64 KiB, which is passed on while it comes.").OnReload(),
			operator.Size("stream_rate", &o.StreamRate, 1, 1<<30,
				"How much of such an answer a caller must take in a second, on the whole.").OnReload(),
			operator.Size("max_head", &o.MaxHead, 1<<10, 1<<20, "The longest head of a request."),
		},
		Check: func() []operator.Problem {
			if o.ParkAfter >= o.IdleTimeout {
				return []operator.Problem{{Key: "park_after", Text: "not below idle_timeout (" + o.IdleTimeout.String() +
					"), so it would never count; lower it or raise idle_timeout"}}
			}
			if o.ParkAfter > 0 && o.ParkAfter < leastParkAfter {
				return []operator.Problem{{Key: "park_after", Text: "below " + leastParkAfter.String() +
					", so that callers who are about to ask again would be parked; raise it, or set 0 to park none"}}
			}
			if o.OnceIdle > o.IdleTimeout {
				return []operator.Problem{{Key: "once_idle", Text: "longer than idle_timeout (" + o.IdleTimeout.String() +
					"), so it would never count; lower it or raise idle_timeout"}}
			}
			return nil
		},
	}
}

// leastParkAfter is far longer than callers pause who use their connection.
const leastParkAfter = 100 * time.Millisecond

// streamGrace is what a slow caller may take beyond what StreamRate allows.
const streamGrace = 10 * time.Second

func (o *Options) bodyPace() body.MinDataRate {
	return body.MinDataRate{IdleTimeout: o.BodyTimeout, GracePeriod: o.BodyGrace, BytesPerSecond: o.BodyRate}
}

func (o *Options) streamPace() body.MinDataRate {
	return body.MinDataRate{IdleTimeout: o.StreamTimeout, GracePeriod: streamGrace, BytesPerSecond: o.StreamRate}
}
