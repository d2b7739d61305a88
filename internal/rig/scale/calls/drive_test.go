package calls

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"brasswell/internal/rig/scale/callresult"
)

// TestHowCallsEndIsTold: each call without the backend's answer is counted by what came in its place.
func TestHowCallsEndIsTold(t *testing.T) {
	const kinds = 6
	var arrived [kinds]atomic.Int64
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Txn")
		var number int
		fmt.Sscan(id[strings.LastIndex(id, "-")+1:], &number)
		kind := number % kinds
		arrived[kind].Add(1)
		switch kind {
		case 0:
			fmt.Fprint(w, id, " ran")
		case 1:
			http.Error(w, "", http.StatusServiceUnavailable)
		case 2:
			http.Error(w, "", http.StatusBadGateway)
		case 3:
			fmt.Fprint(w, "another call's answer")
		case 4:
			w.Header().Set("Content-Length", "100")
			fmt.Fprint(w, id)
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler) // ends the connection within the answer; before it, net/http would send the call again
		case 5:
			<-r.Context().Done() // until the caller gives up
		}
	}))
	defer backend.Close()

	side, err := load{rate: 100, length: LeastLength, seed: 1}.drive(t.Context(), backend.Listener.Addr().String(), "test-")
	if err != nil {
		t.Fatal(err)
	}
	counts := func(kind int) int64 { return arrived[kind].Load() }
	want := callresult.Unanswered{Refused: counts(1), Failed: counts(2) + counts(3), ConnectionErrors: counts(4), TimedOut: counts(5)}
	got := *side.Unanswered
	if got.DuringWarmUp <= 0 || got.DuringWarmUp >= got.Total() {
		t.Errorf("%d of %d during warm-up", got.DuringWarmUp, got.Total())
	}
	got.DuringWarmUp = 0
	if got != want || min(want.Refused, want.Failed, want.ConnectionErrors, want.TimedOut) == 0 || side.Sent != side.Answered+got.Total() {
		t.Errorf("sent %d, answered %d, others: %v; want %v", side.Sent, side.Answered, got, want)
	}
}

// TestNotSentIsTold: a call for which there is no room among those that are out is counted as such.
func TestNotSentIsTold(t *testing.T) {
	r := newRecorder(time.Now())
	for range mostOpen {
		if !r.begin() {
			t.Fatal("no room")
		}
	}
	if r.begin() {
		t.Fatalf("room for more than %d", mostOpen)
	}
	r.end(call{due: time.Now(), err: errNotSent})
	if got := *r.result().Unanswered; got != (callresult.Unanswered{NotSent: 1}) {
		t.Errorf("%+v", got)
	}
}

// TestLatenessIsInTheLatency: a latency counts from the call's moment, however late it was sent; what it took from then on is apart.
func TestLatenessIsInTheLatency(t *testing.T) {
	start := time.Now()
	r := newRecorder(start)
	for range 100 {
		r.begin()
		r.end(call{due: start, sent: start.Add(30 * time.Millisecond), answered: start.Add(50 * time.Millisecond)})
	}
	near := func(got, want float64) bool { return got > 0.99*want && got < 1.01*want }
	if s := r.result(); !near(s.P99MS, 50) || !near(s.LateP99MS, 30) || !near(s.FromSendP99MS, 20) {
		t.Errorf("99th %v, late %v, from send %v ms", s.P99MS, s.LateP99MS, s.FromSendP99MS)
	}
}
