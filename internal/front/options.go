package front

import (
	"time"

	"brasswell/internal/operator"
)

// Options are the limits on what callers may do.
type Options struct {
	HeadTimeout  time.Duration // for a request's head, and how long a connection may stay silent at first
	BodyTimeout  time.Duration // for the body behind a head
	IdleTimeout  time.Duration // how long a connection may idle between requests
	OnceIdle     time.Duration // the same for one that has carried a single request, once others come
	WriteTimeout time.Duration // how long a caller may leave its answer untaken
	MaxHead      int64         // bytes
}

// DefaultOptions fit the platform: HeadTimeout and BodyTimeout together stay below the 3 s after which a bad
// caller is owed a word, and callers send bodies of 64 KiB at most, at once.
func DefaultOptions() Options {
	return Options{
		HeadTimeout: 2 * time.Second, BodyTimeout: 700 * time.Millisecond, IdleTimeout: 10 * time.Second,
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
				"How long the body behind a head may take.").OnReload(),
			operator.Duration("idle_timeout", &o.IdleTimeout, 100*time.Millisecond, time.Hour,
				"How long a connection may idle between requests."),
			operator.Duration("once_idle", &o.OnceIdle, 100*time.Millisecond, time.Hour,
				"How long a connection that has carried a single request may idle once others come.").OnReload(),
			operator.Duration("write_timeout", &o.WriteTimeout, 50*time.Millisecond, time.Minute,
				"How long a caller may leave its answer untaken.").OnReload(),
			operator.Size("max_head", &o.MaxHead, 1<<10, 1<<20, "The longest head of a request."),
		},
		Check: func() []operator.Problem {
			if o.OnceIdle > o.IdleTimeout {
				return []operator.Problem{{Key: "once_idle", Text: "longer than idle_timeout (" + o.IdleTimeout.String() +
					"), so it would never count; lower it or raise idle_timeout"}}
			}
			return nil
		},
	}
}
