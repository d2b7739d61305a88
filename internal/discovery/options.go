package discovery

import (
	"fmt"
	"time"

	"brasswell/internal/discovery/plan"
	"brasswell/internal/operator"
)

// Options define how discovery is polled.
type Options struct {
	// Hold is how long a watch asks discovery to wait for a change. A watch that gets no response is only detected
	// Slack after that, and changes are missed until then: with 20 s a whole release was missed. A shorter Hold costs
	// discovery more calls; an answer without changes contains no entries.
	Hold time.Duration
	// Slack is the time after Hold at which a call counts as overdue: a machine that is cut off sends nothing. Changes
	// since then count as notified, so another call has to be made in time.
	Slack time.Duration
}

const (
	notifiedWithin = plan.NotifiedWithin
	// answerReserve is the part of notifiedWithin that is left for the answer of the call that gets one.
	answerReserve = 900 * time.Millisecond
)

// thirdCallDeadline is how long after the start of a watch the third call of its query begins at the latest: the
// first two may get no response, and changes since then are still delivered in time.
func (o *Options) thirdCallDeadline() time.Duration { return o.Hold + o.Slack + plan.HedgeDelay }

func (o *Options) settings() plan.Settings { return plan.Settings{Hold: o.Hold, Slack: o.Slack} }

// DefaultOptions returns options that detect an unresponsive discovery within the time after which its changes count
// as notified.
func DefaultOptions() Options {
	return Options{Hold: 2500 * time.Millisecond, Slack: 800 * time.Millisecond}
}

// Section describes the options for the operator file.
func (o *Options) Section() operator.Section {
	return operator.Section{
		Name:   "discovery",
		Doc:    "How the server list is requested.",
		Absent: "the defaults apply.",
		Keys: []operator.Key{
			operator.Duration("hold", &o.Hold, 50*time.Millisecond, time.Minute,
				"How long a watch waits for a change. A shorter time detects an unresponsive discovery sooner and costs it more calls.").OnReload(),
			operator.Duration("slack", &o.Slack, 50*time.Millisecond, 10*time.Second,
				"How long after hold a call without an answer counts as overdue and is made again.").OnReload(),
		},
		Check: func() []operator.Problem {
			if most := notifiedWithin - answerReserve - plan.HedgeDelay; o.Hold+o.Slack > most {
				return []operator.Problem{{Key: "slack", Text: fmt.Sprintf("hold plus slack must not exceed %v: a change counts as notified %v after it was made, and by then "+
					"two more calls must have been made; lower either", most, notifiedWithin)}}
			}
			return nil
		},
	}
}
