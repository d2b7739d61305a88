package callresult

import "fmt"

// Unanswered counts the calls of one side that did not get the backend's answer, by how they ended.
type Unanswered struct {
	Refused          int64 `json:"refused"`           // status 503
	Failed           int64 `json:"failed"`            // another status, or an answer that is not the backend's
	TimedOut         int64 `json:"timed_out"`         // no answer in time
	ConnectionErrors int64 `json:"connection_errors"` // could not be opened, or ended before the answer
	NotSent          int64 `json:"not_sent"`          // too many others were out
	// DuringWarmUp is how many of these all were due before calls were recorded.
	DuringWarmUp int64 `json:"during_warm_up"`
}

// Total is the number of all calls without an answer.
func (u Unanswered) Total() int64 {
	return u.Refused + u.Failed + u.TimedOut + u.ConnectionErrors + u.NotSent
}

// Plus is the sum of both.
func (u Unanswered) Plus(other Unanswered) Unanswered {
	u.Refused += other.Refused
	u.Failed += other.Failed
	u.TimedOut += other.TimedOut
	u.ConnectionErrors += other.ConnectionErrors
	u.NotSent += other.NotSent
	u.DuringWarmUp += other.DuringWarmUp
	return u
}

// String is for people.
func (u Unanswered) String() string {
	return fmt.Sprintf("%d refused, %d failed, %d timed out, %d connection errors, %d not sent; %d of them during warm-up",
		u.Refused, u.Failed, u.TimedOut, u.ConnectionErrors, u.NotSent, u.DuringWarmUp)
}

// check says what makes no sense beside the number of calls that were sent and not answered.
func (u Unanswered) check(missing int64) error {
	least := min(u.Refused, u.Failed, u.TimedOut, u.ConnectionErrors, u.NotSent, u.DuringWarmUp)
	if least < 0 || u.Total() != missing || u.DuringWarmUp > missing {
		return fmt.Errorf("%d calls not answered: %v", missing, u)
	}
	return nil
}

// UnansweredByEnd adds all sides up by how the calls ended. Older files do not tell: their calls are not in it.
func (r *Run) UnansweredByEnd() (sum Unanswered) {
	for _, c := range r.Cases {
		for _, p := range c.Pairs {
			sum = sum.Plus(p.Direct.unanswered()).Plus(p.Proxied.unanswered())
		}
	}
	return sum
}

// unanswered is how the side's calls without an answer ended, as far as the file tells.
func (s Side) unanswered() Unanswered {
	if s.Unanswered == nil {
		return Unanswered{}
	}
	return *s.Unanswered
}
