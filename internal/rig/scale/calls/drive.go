package calls

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"brasswell/internal/rig/scale/callresult"
)

const (
	// mostOpen calls are out at one time. More are not sent, and count as not answered.
	mostOpen = 2048
	// The histograms' range, in microseconds, and their digits.
	leastLatency, mostLatency, latencyDigits = 1, 60_000_000, 3
)

// load is calls in an open loop: each has its moment from a seeded Poisson process, and goes out then whether or not others are answered.
type load struct {
	rate   float64 // calls a second
	length time.Duration
	seed   uint64
}

// recorder adds the calls of one side up.
type recorder struct {
	mu         sync.Mutex
	side       callresult.Side
	unanswered callresult.Unanswered
	// From the call's moment to its answer, to its sending, and from that to the answer.
	latency, late, fromSend *hdrhistogram.Histogram
	open                    int
	recordFrom              time.Time
}

// call is one call's times.
type call struct {
	due, sent, answered time.Time
	err                 error
}

// newClient is a client whose connections are its own.
func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: mostOpen, DisableCompression: true}, Timeout: giveUp}
}

// drive sends the load to an address, with ids that begin as told, and waits for the answers.
func (l load) drive(ctx context.Context, address, prefix string) (callresult.Side, error) {
	client := newClient()
	defer client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(l.seed, uint64(l.rate)))
	start := time.Now()
	r := newRecorder(start.Add(warmUp))
	var out sync.WaitGroup
	end := start.Add(warmUp + l.length)
	next := start
	for n := 0; ; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / l.rate * float64(time.Second)))
		if !next.Before(end) || !sleepUntil(ctx, next) {
			break
		}
		due := next
		if !r.begin() {
			r.end(call{due: due, err: errNotSent})
			continue
		}
		out.Go(func() { r.end(ask(ctx, client, address, prefix+strconv.Itoa(n), due)) })
	}
	out.Wait()
	if ctx.Err() != nil {
		return r.side, ctx.Err()
	}
	return r.result(), nil
}

// timerGrain is what the runtime's timers may be late by, as they end with a wait for sockets that is counted in milliseconds.
const timerGrain = 2 * time.Millisecond

// sleepUntil says whether the moment came before ctx was done. The last part is slept in the kernel, which is finer than a timer.
func sleepUntil(ctx context.Context, at time.Time) bool {
	if rough := time.Until(at) - timerGrain; rough > 0 {
		t := time.NewTimer(rough)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return false
		}
	}
	runtime.Gosched() // calls that are to go out now do so before this thread sleeps
	if rest := time.Until(at); rest > 0 {
		ts := unix.NsecToTimespec(rest.Nanoseconds())
		unix.Nanosleep(&ts, nil) // a signal ends it early, by no more than timerGrain
	}
	return ctx.Err() == nil
}

// ask makes one call.
func ask(ctx context.Context, client *http.Client, address, id string, due time.Time) call {
	c := call{due: due, sent: time.Now()}
	c.err = exchange(ctx, client, address, id)
	c.answered = time.Now()
	return c
}

// exchange sends a call and reads its answer, which must be the backend's own.
func exchange(ctx context.Context, client *http.Client, address, id string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/api/item", nil)
	if err != nil {
		return err
	}
	req.Header.Set("X-Txn", id)
	req.Header.Set("X-Lane", class)
	req.Header.Set("X-Remaining-Ms", strconv.FormatInt(giveUp.Milliseconds(), 10))
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || len(text) <= len(id) || string(text[:len(id)]) != id {
		return &wrongAnswer{resp.StatusCode, text}
	}
	return nil
}

// newRecorder returns one that records calls which are due from a moment on.
func newRecorder(from time.Time) *recorder {
	return &recorder{latency: newHistogram(), late: newHistogram(), fromSend: newHistogram(), recordFrom: from}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(leastLatency, mostLatency, latencyDigits)
}

// begin notes a call that is due, and says whether it can be sent. Its end must follow in either case.
func (r *recorder) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.side.Sent++
	r.open++
	return r.open <= mostOpen
}

// end notes a call's end.
func (r *recorder) end(c call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
	if c.err != nil {
		r.unanswered = r.unanswered.Plus(unansweredCall(c.err, c.due.Before(r.recordFrom)))
		return
	}
	r.side.Answered++
	if c.due.Before(r.recordFrom) {
		return
	}
	r.side.Recorded++
	r.latency.RecordValue(micros(c.answered.Sub(c.due)))
	r.late.RecordValue(micros(c.sent.Sub(c.due)))
	r.fromSend.RecordValue(micros(c.answered.Sub(c.sent)))
}

// micros is a time within the histograms' range.
func micros(d time.Duration) int64 { return min(max(d.Microseconds(), leastLatency), mostLatency) }

// result is the side, once all calls have ended.
func (r *recorder) result() callresult.Side {
	r.mu.Lock()
	defer r.mu.Unlock()
	millis := func(h *hdrhistogram.Histogram, quantile float64) float64 {
		return float64(h.ValueAtQuantile(quantile)) / 1000
	}
	s, unanswered := r.side, r.unanswered
	s.Unanswered = &unanswered
	s.MedianMS, s.P99MS, s.WorstMS = millis(r.latency, 50), millis(r.latency, 99), millis(r.latency, 100)
	s.LateP99MS, s.FromSendP99MS = millis(r.late, 99), millis(r.fromSend, 99)
	return s
}
