package discovery

import (
	"log/slog"
	"testing"
	"time"

	"brasswell/balance"
)

// TestSeqIsVersionOfListInUse: another process continues from the version and the list of this one. With the version
// of a list that is not in use yet, it would never learn of the changes between the two.
func TestSeqIsVersionOfListInUse(t *testing.T) {
	address, _ := scripted(t, answerOf(list(1, true, host("a", "127.0.0.1:1", "up"))), answerOf(drainUpdate()))
	var d *Client
	inUse := int64(-1)
	delivered := make(chan int64, 2)
	d = New(address, []string{"kita"}, DefaultOptions(), slog.New(slog.DiscardHandler), func(kind balance.ListKind, _ []balance.Entry, _ map[string]string) {
		if kind == balance.ListFailed {
			return
		}
		if seq := d.Seq(); seq != inUse {
			t.Errorf("Seq is %d while the list of version %d is in use", seq, inUse)
		}
		inUse = 1
		if kind == balance.Delta {
			inUse = 2
		}
		delivered <- inUse
	})
	go d.Watch(t.Context())
	for range 2 {
		select {
		case <-delivered:
		case <-time.After(10 * time.Second):
			t.Fatal("no list is delivered")
		}
	}
}
