package discovery

import (
	"brasswell/internal/discovery/plan"
	"brasswell/internal/figures"
)

// Fresh says whether requests may be sent by the list that is held. It is asked for each request, and more than once.
func (d *Client) Fresh() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	standing := d.plan.Status(now)
	if standing != d.stood {
		d.logStanding(standing, now)
		d.stood = standing
	}
	return standing != plan.Stale
}

// Ready says whether the process should be given requests.
func (d *Client) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.plan.Ready(d.now())
}

// failedCalls counts the calls without a whole answer, by their ends; mu is held.
func (d *Client) failedCalls() map[plan.CallEnd]int64 {
	failed := map[plan.CallEnd]int64{}
	for end, n := range d.calls {
		if end != plan.Answered && end != plan.Superseded {
			failed[end] = n
		}
	}
	return failed
}

// AppendFigures writes the age of the list, whether it may be acted on, and the calls that have ended by how they did.
func (d *Client) AppendFigures(text []byte) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	standing := d.plan.Status(now)
	text = figures.AppendLine(text, "list_age_ms", d.plan.Age(now).Milliseconds(), 'g')
	text = figures.AppendLine(text, "list_stale", oneIf(standing == plan.Stale), 'g')
	for _, end := range plan.CallEnds() {
		text = figures.AppendLine(text, "list_calls."+string(end), d.calls[end], 'c')
	}
	return text
}

func oneIf(yes bool) int64 {
	if yes {
		return 1
	}
	return 0
}
