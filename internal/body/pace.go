package body

import "time"

// Pace is how slowly bytes may come or go before their sender or reader is given up. It tells who is slow and moves
// from who has fallen silent, and bounds how long the slow may hold what they use: a transfer of n bytes takes Grace
// and n/Rate at most.
//
// It guards against peers that send or read a byte now and then for ever, and should catch those that stop within a
// message. It might harm a peer behind a line that stalls for longer than Silence.
type MinDataRate struct {
	IdleTimeout    time.Duration // without a byte
	GracePeriod    time.Duration // that a transfer may take beyond what Rate allows
	BytesPerSecond int64         // bytes a second, over the whole transfer
}

// Transfer is one transfer under a Pace. Times are since any fixed moment, but of one clock.
type Transfer struct {
	pace        MinDataRate
	begun, last time.Duration
	bytes       int64
}

// Begin begins a transfer.
func (p MinDataRate) Begin(now time.Duration) Transfer {
	return Transfer{pace: p, begun: now, last: now}
}

// Moved takes in that bytes have come or gone.
func (t *Transfer) AddBytes(now time.Duration, bytes int) {
	if bytes > 0 {
		t.last, t.bytes = now, t.bytes+int64(bytes)
	}
}

// Deadline is by when the next byte has to come or go.
func (t *Transfer) Deadline() time.Duration {
	byRate := t.begun + t.pace.GracePeriod + time.Duration(float64(t.bytes)/float64(t.pace.BytesPerSecond)*float64(time.Second))
	return min(t.last+t.pace.IdleTimeout, byRate)
}
