package backends

import (
	"time"

	"brasswell/internal/operator"
)

// Options configures the handling of backends' responses and connections.
type Options struct {
	// AnswerTimeout is how long a response may stall after it has begun, as long as none of it has been forwarded. The balancer
	// then decides: it gives the attempt up if another one may still be answered in time, and waits for this one otherwise. It does
	// not apply to a response that is known to be over body.MaxBufferedBytes long, nor to one whose request is streamed.
	AnswerTimeout time.Duration
	// StreamIdleTimeout is how long a backend may send or accept nothing within a message that is streamed. No other
	// attempt is possible then, so this only ends connections whose peer will never continue.
	StreamIdleTimeout time.Duration
	// SettleTime is how long a connection stays unused after a response before it carries another request. Excess bytes
	// mostly arrive right after a response; on a connection already in use again they would be mistaken for the next
	// response. It does not protect against bytes that arrive later.
	SettleTime time.Duration
}

// DefaultOptions returns options for backends that may send excess bytes after a response.
func DefaultOptions() Options {
	return Options{AnswerTimeout: 400 * time.Millisecond, StreamIdleTimeout: 10 * time.Second, SettleTime: 5 * time.Millisecond}
}

// Section describes the options for the operator file.
func (o *Options) Section() operator.Section {
	return operator.Section{
		Name:   "backends",
		Doc:    "Time limits for backends' responses and connections.",
		Absent: "the defaults apply.",
		Keys: []operator.Key{
			operator.Duration("answer_timeout", &o.AnswerTimeout, 10*time.Millisecond, time.Minute,
				"How long a response may stall after it has begun before its attempt is given up, if another attempt may still be answered in time; otherwise the response is waited for. It does not apply to a response with a length over 64 KiB. Raise it for backends that send a response while they compute it.").OnReload(),
			operator.Duration("stream_silence", &o.StreamIdleTimeout, 100*time.Millisecond, time.Hour,
				"How long a backend may send nothing, or accept nothing, within a message over 64 KiB, which is streamed.").OnReload(),
			operator.Duration("settle", &o.SettleTime, 0, time.Second,
				"How long a connection stays unused after a response, so that excess bytes after it cannot be mistaken for the next response. 0 trusts the backends to send none.").OnReload(),
		},
	}
}
