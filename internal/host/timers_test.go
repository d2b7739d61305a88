package host

import (
	"slices"
	"sync"
	"testing"
	"time"
)

// TestTimersCallInOrderOnce sets thousands of timers in no order and checks that each is called once and not early.
func TestTimersCallInOrderOnce(t *testing.T) {
	const n = 5000
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	var mu sync.Mutex
	var got []uint64
	early := 0
	due := make([]time.Duration, n)
	all := make(chan struct{})
	ts := newTimers(now, func(at time.Duration, token uint64) {
		mu.Lock()
		defer mu.Unlock()
		if at < due[token] {
			early++
		}
		if got = append(got, token); len(got) == n {
			close(all)
		}
	})
	defer ts.stop()
	mu.Lock()
	for i := range n {
		delay := time.Duration(i*7919%50) * time.Millisecond
		due[i] = now() + delay
		ts.set(delay, uint64(i))
	}
	mu.Unlock()
	<-all
	mu.Lock()
	defer mu.Unlock()
	if early > 0 {
		t.Errorf("%d calls were made too early", early)
	}
	slices.Sort(got)
	for i, token := range got {
		if token != uint64(i) {
			t.Fatalf("call %d is for token %d: a call is missing or was made twice", i, token)
		}
	}
}

// TestAnEarlierTimerIsNotHeldUp sets a distant timer first; the runtime timer must then be moved for the earlier one.
func TestAnEarlierTimerIsNotHeldUp(t *testing.T) {
	start := time.Now()
	first := make(chan uint64, 2)
	ts := newTimers(func() time.Duration { return time.Since(start) }, func(_ time.Duration, token uint64) { first <- token })
	defer ts.stop()
	ts.set(time.Hour, 1)
	ts.set(0, 2)
	if token := <-first; token != 2 {
		t.Errorf("token %d was called first", token)
	}
}

func TestNoCallAfterTheEnd(t *testing.T) {
	start := time.Now()
	ts := newTimers(func() time.Duration { return time.Since(start) }, func(_ time.Duration, token uint64) { t.Errorf("call for %d", token) })
	ts.set(5*time.Millisecond, 1)
	ts.stop()
	ts.set(0, 2)
	ts.fireDue()
}

// TestACallMaySetATimer sets timers from within a call, as the balancer does.
func TestACallMaySetATimer(t *testing.T) {
	start := time.Now()
	done := make(chan struct{})
	var ts *timers
	ts = newTimers(func() time.Duration { return time.Since(start) }, func(_ time.Duration, token uint64) {
		if token == 10 {
			close(done)
			return
		}
		ts.set(0, token+1)
	})
	defer ts.stop()
	ts.set(0, 1)
	<-done
}
