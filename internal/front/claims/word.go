package claims

import "time"

// word is a claim as it stands in a slot: the fingerprint in the upper bits, then the time of its expiry in ticks of the
// clock that all processes of the machine share, and in the last bit whether its request is open. 0 is no claim.
type word uint64

const (
	// tick is the resolution of expiry times, which wrap around after expiryMask ticks.
	tick            = 100 * time.Millisecond
	expiryBits      = 23
	expiryMask      = 1<<expiryBits - 1
	fingerprintBits = 64 - expiryBits - 1
	// maxOpen is when the claim of an open request expires. It matters if the process was killed. No message of the
	// protocol's maximum size takes longer at the lowest rate.
	maxOpen = 3 * time.Hour
)

// newWord returns the word of a claim that expires at the given time. Only the upper bits of the fingerprint are used.
func newWord(fingerprint uint64, expiry time.Duration, open bool) word {
	w := truncate(fingerprint)<<(expiryBits+1) | uint64(expiry/tick)&expiryMask<<1
	if open {
		w |= 1
	}
	return word(w)
}

// truncate returns the bits of a fingerprint that a word holds. They are not all 0.
func truncate(fingerprint uint64) uint64 {
	return max(fingerprint>>(64-fingerprintBits), 1)
}

func (w word) matches(fingerprint uint64) bool {
	return uint64(w)>>(expiryBits+1) == truncate(fingerprint)
}

// fingerprint returns a fingerprint that matches w.
func (w word) fingerprint() uint64 { return uint64(w) &^ (1<<(expiryBits+1) - 1) }

func (w word) open() bool { return w&1 != 0 }

// left returns how long a claim is still in force. It is negative if there is none or it has expired.
func (w word) left(now time.Duration) time.Duration {
	if w == 0 {
		return -1
	}
	ticks := (uint64(w)>>1 - uint64(now/tick)) & expiryMask
	if left := time.Duration(ticks) * tick; left <= maxOpen {
		return left
	}
	return -1
}
