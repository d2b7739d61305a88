package backends

import (
	"time"

	"brasswell/internal/operator"
)

// Options are what is expected of backends.
type Options struct {
	// AnswerTimeout is how long an answer that has begun and of which nothing has been passed on may be silent.
	// One that falls silent there will not go on, and the time that is left may do for another attempt. It
	// would harm backends that send an answer as they compute it.
	AnswerTimeout time.Duration
	// StreamSilence is how long a backend may be silent, or take nothing, within a message that is passed on
	// while it comes. There is no other attempt then, so it is only against peers that will never go on.
	StreamIdleTimeout time.Duration
	// Settle is how long a connection rests after an answer before it carries another request. What a backend
	// sends too much mostly comes right behind its answer; on a connection already in use again it would pass
	// for the next answer. Against what comes later than that this is no help.
	SettleTime time.Duration
}

// DefaultOptions fit backends that may answer with more than belongs to them.
func DefaultOptions() Options {
	return Options{AnswerTimeout: 400 * time.Millisecond, StreamIdleTimeout: 10 * time.Second, SettleTime: 5 * time.Millisecond}
}

// Section describes the options to the operator file.
func (o *Options) Section() operator.Section {
	return operator.Section{
		Name:   "backends",
		Doc:    "What is expected of backends' answers and connections.",
		Absent: "the defaults hold.",
		Keys: []operator.Key{
			operator.Duration("answer_timeout", &o.AnswerTimeout, 10*time.Millisecond, time.Minute,
				"How long an answer that has begun may be silent before it is given up. Raise it for backends that send an answer as they compute it.").OnReload(),
			operator.Duration("stream_silence", &o.StreamIdleTimeout, 100*time.Millisecond, time.Hour,
				"How long a backend may be silent, or take nothing, within a message over 64 KiB, which is passed on while it comes.").OnReload(),
			operator.Duration("settle", &o.SettleTime, 0, time.Second,
				"How long a connection rests after an answer, so that stray bytes behind it cannot pass for the next one. 0 trusts the backends.").OnReload(),
		},
	}
}
