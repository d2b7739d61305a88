package balance

import (
	"fmt"
	"testing"
	"time"
)

// discardHost carries out nothing and only counts the sends.
type discardHost struct{ sent int }

func (h *discardHost) Send(string, string, time.Duration) { h.sent++ }
func (*discardHost) Refuse(string, time.Duration)         {}
func (*discardHost) Fail(string)                          {}
func (*discardHost) Cancel(string, int)                   {}
func (*discardHost) SetTimer(time.Duration, uint64)       {}
func (*discardHost) Watch()                               {}
func (*discardHost) Log(string)                           {}

// BenchmarkRequest measures all that the module does for one request: its submission, one send and its result. The cost
// must not grow with the list.
//
//	go test ./balance -run - -bench Request
func BenchmarkRequest(b *testing.B) {
	for _, servers := range []int{20, 60, 1000, 10_000} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			set := testSettings()
			set.Instances = max(servers/2, 1)
			h := &discardHost{}
			bal, err := New(set, 1, h)
			if err != nil {
				b.Fatal(err)
			}
			now := time.Hour
			bal.Update(now, Full, testServers(servers))
			ids := make([]string, 1<<12)
			for i := range ids {
				ids[i] = fmt.Sprint("r", i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := ids[i%len(ids)]
				now += 100 * time.Microsecond
				bal.Submit(now, Request{ID: id, Remaining: time.Second})
				bal.Result(now+5*time.Millisecond, Result{ID: id, Outcome: OK, Latency: 5 * time.Millisecond, Finished: true})
			}
			b.StopTimer()
			if h.sent == 0 || len(bal.requests) != 0 || len(bal.timers) > 2 {
				b.Fatalf("%d sent; %d records and %d timers are left", h.sent, len(bal.requests), len(bal.timers))
			}
		})
	}
}
