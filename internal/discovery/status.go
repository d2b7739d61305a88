package discovery

import (
	"brasswell/internal/discovery/plan"
	"brasswell/internal/figures"
)

// Fresh reports whether requests may be sent according to the held list. It is called for each request, and more than
// once.
func (d *Client) Fresh() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	status := d.plan.Status(now)
	if status != d.lastStatus {
		d.logStatus(status, now)
		d.lastStatus = status
	}
	return status != plan.Stale
}

// Ready reports whether the process should receive requests.
func (d *Client) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.plan.Ready(d.now())
}

// failedCalls returns the number of calls without a complete answer by outcome; mu is held.
func (d *Client) failedCalls() map[plan.CallEnd]int64 {
	failed := map[plan.CallEnd]int64{}
	for end, n := range d.calls {
		if end != plan.Answered && end != plan.Superseded {
			failed[end] = n
		}
	}
	return failed
}

// AppendFigures appends the age of the list, whether it is stale, and the number of ended calls by outcome.
func (d *Client) AppendFigures(text []byte) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	status := d.plan.Status(now)
	text = figures.AppendLine(text, "list_age_ms", d.plan.Age(now).Milliseconds(), 'g')
	text = figures.AppendLine(text, "list_stale", boolToInt(status == plan.Stale), 'g')
	for _, end := range plan.CallEnds() {
		text = figures.AppendLine(text, "list_calls."+string(end), d.calls[end], 'c')
	}
	return text
}

func boolToInt(yes bool) int64 {
	if yes {
		return 1
	}
	return 0
}
