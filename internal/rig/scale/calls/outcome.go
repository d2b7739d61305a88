package calls

import (
	"errors"
	"fmt"
	"net"
	"net/http"

	"brasswell/internal/rig/scale/callresult"
)

// errNotSent ends a call that is not sent, as too many others are out.
var errNotSent = errors.New("too many calls are out")

// wrongAnswer is an answer that is not the backend's own.
type wrongAnswer struct {
	status int
	text   []byte
}

func (w *wrongAnswer) Error() string { return fmt.Sprintf("status %d, %q", w.status, w.text) }

// unansweredCall counts one call that ended with an error.
func unansweredCall(err error, duringWarmUp bool) callresult.Unanswered {
	var u callresult.Unanswered
	if duringWarmUp {
		u.DuringWarmUp = 1
	}
	var wrong *wrongAnswer
	var slow net.Error
	switch {
	case errors.Is(err, errNotSent):
		u.NotSent = 1
	case errors.As(err, &wrong) && wrong.status == http.StatusServiceUnavailable:
		u.Refused = 1
	case errors.As(err, &wrong):
		u.Failed = 1
	case errors.As(err, &slow) && slow.Timeout():
		u.TimedOut = 1
	default:
		u.ConnectionErrors = 1
	}
	return u
}
