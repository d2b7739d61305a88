package discovery

import (
	"fmt"
	"time"

	"brasswell/internal/discovery/plan"
	"brasswell/internal/operator"
)

// Options say how discovery is asked.
type Options struct {
	// Hold is how long a watch asks discovery to wait for news. A watch that has fallen silent is found out only
	// Slack after that, and what changed meanwhile is missed until then: with 20 s a whole release went by. The
	// shorter, the more calls discovery has to serve; an answer without news holds no entries.
	Hold time.Duration
	// Slack on top of Hold is when a call counts as overdue: a machine that is cut off says nothing. What changed
	// meanwhile counts as told, so by then another call must have asked.
	Slack time.Duration
}

const (
	toldWithin = plan.NotifiedWithin
	// answerRoom of that is left for the answer of the call that gets one.
	answerRoom = 900 * time.Millisecond
)

// lastCall is how long after a watch was opened the third call of its round begins at the latest: the first two may stay
// silent, and what has changed meanwhile is still told in time.
func (o *Options) lastCall() time.Duration { return o.Hold + o.Slack + plan.HedgeDelay }

func (o *Options) settings() plan.Settings { return plan.Settings{Hold: o.Hold, Slack: o.Slack} }

// DefaultOptions find a silent discovery within the time after which its news counts as told.
func DefaultOptions() Options {
	return Options{Hold: 2500 * time.Millisecond, Slack: 800 * time.Millisecond}
}

// Section describes the options to the operator file.
func (o *Options) Section() operator.Section {
	return operator.Section{
		Name:   "discovery",
		Doc:    "How the server list is asked for.",
		Absent: "the defaults hold.",
		Keys: []operator.Key{
			operator.Duration("hold", &o.Hold, 50*time.Millisecond, time.Minute,
				"How long a watch waits for news. Shorter finds a silent discovery sooner and costs it more calls.").OnReload(),
			operator.Duration("slack", &o.Slack, 50*time.Millisecond, 10*time.Second,
				"How long after that a call counts as silent and is made again.").OnReload(),
		},
		Check: func() []operator.Problem {
			if most := toldWithin - answerRoom - plan.HedgeDelay; o.Hold+o.Slack > most {
				return []operator.Problem{{Key: "slack", Text: fmt.Sprintf("hold and slack must stay within %v together: what changed counts as told %v after it did, and by then "+
					"two more calls must have asked; lower either", most, toldWithin)}}
			}
			return nil
		},
	}
}
