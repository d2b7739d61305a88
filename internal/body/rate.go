package body

import "time"

// MinDataRate is the minimum rate at which a peer must send or receive a message. It distinguishes slow peers from
// stalled ones, and bounds how long a slow peer may use resources: a transfer of n bytes takes at most GracePeriod plus
// n/BytesPerSecond.
//
// It protects against peers that send or read a byte now and then without end, and against those that stop within a
// message. It may affect peers whose network connection stalls for longer than IdleTimeout.
type MinDataRate struct {
	IdleTimeout    time.Duration // maximum time without a byte
	GracePeriod    time.Duration // time that a transfer may take in addition to what BytesPerSecond allows
	BytesPerSecond int64         // average over the whole transfer
}

// Transfer is one transfer under a MinDataRate. All times are offsets from the same fixed moment, which may be any.
type Transfer struct {
	rate             MinDataRate
	start, lastMoved time.Duration
	bytes            int64
}

// Begin starts a transfer.
func (p MinDataRate) Begin(now time.Duration) Transfer {
	return Transfer{rate: p, start: now, lastMoved: now}
}

// AddBytes records that bytes were sent or received.
func (t *Transfer) AddBytes(now time.Duration, bytes int) {
	if bytes > 0 {
		t.lastMoved, t.bytes = now, t.bytes+int64(bytes)
	}
}

// Deadline returns when the next byte must have been sent or received.
func (t *Transfer) Deadline() time.Duration {
	byRate := t.start + t.rate.GracePeriod + time.Duration(float64(t.bytes)/float64(t.rate.BytesPerSecond)*float64(time.Second))
	return min(t.lastMoved+t.rate.IdleTimeout, byRate)
}
