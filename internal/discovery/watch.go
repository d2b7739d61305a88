package discovery

import (
	"context"
	"sync"
	"time"

	"brasswell/balance"
	"brasswell/internal/discovery/plan"
)

// result is how one call ended.
type result struct {
	answer
	id  plan.CallID
	end plan.CallEnd
	err error
}

// watch carries the plan's actions out while a Watch runs.
type watch struct {
	*Client
	ctx     context.Context
	calls   map[plan.CallID]context.CancelCauseFunc
	running sync.WaitGroup
	results chan result
	over    chan struct{} // closed when no result is waited for any more
	last    error         // of the call that failed last
	ended   bool
}

// Watch follows the changes until asking for them fails for good, as package plan decides. It returns at once where one runs already.
func (d *Client) Watch(ctx context.Context) {
	d.mu.Lock()
	begun := d.plan.Watch(d.now())
	d.mu.Unlock()
	if !begun {
		return
	}
	w := &watch{Client: d, ctx: ctx, calls: map[plan.CallID]context.CancelCauseFunc{}, results: make(chan result), over: make(chan struct{})}
	w.run()
	close(w.over)
	for _, end := range w.calls {
		end(context.Canceled)
	}
	w.running.Wait()
}

// run goes on until the plan ends the watch, or ctx is done.
func (w *watch) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		w.carryOut()
		if w.ended {
			return
		}
		timer.Reset(w.untilNext())
		select {
		case <-w.ctx.Done():
			w.mu.Lock()
			w.plan.Stop()
			w.mu.Unlock()
			return
		case <-w.kick:
		case <-timer.C:
			w.mu.Lock()
			w.plan.Tick(w.now())
			w.mu.Unlock()
		case r := <-w.results:
			w.take(r)
		}
	}
}

// idleWait is for a plan that waits for nothing: an event will wake the watch.
const idleWait = time.Hour

// untilNext is how long the plan waits for its time.
func (w *watch) untilNext() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ran = w.now()
	at, ok := w.plan.NextTick()
	if !ok {
		return idleWait
	}
	return max(at-w.now(), 0)
}

// take takes in how a call ended.
func (w *watch) take(r result) {
	defer r.conn.taken()
	delete(w.calls, r.id)
	if r.list == nil {
		w.mu.Lock()
		w.last = r.err
		w.plan.CallFailed(r.id, r.end, w.now())
		w.mu.Unlock()
		return
	}
	w.mu.Lock()
	before := w.plan.Version()
	use, ok := w.plan.AnswerReceived(r.id, r.list.Seq, r.list.Whole, w.now())
	w.mu.Unlock()
	if !ok {
		return
	}
	if use {
		w.pass(r.list, r.list.kind(), before)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.plan.AnswerApplied(w.now())
}

// carryOut carries out what the plan has decided.
func (w *watch) carryOut() {
	w.mu.Lock()
	actions := w.plan.Actions()
	w.mu.Unlock()
	for _, action := range actions {
		switch a := action.(type) {
		case plan.MakeCall:
			w.begin(a.Call)
		case plan.CancelCall:
			w.giveUp(a.ID)
		case plan.CloseIdleConns:
			w.client.CloseIdleConnections()
		case plan.ReportFailure:
			w.update(balance.ListFailed, nil, nil)
		case plan.EndWatch:
			w.log.Warn("watch on the server list broke", "error", w.last)
			w.ended = true
		}
	}
}

// begin makes a call.
func (w *watch) begin(c plan.Call) {
	if c.Hedged {
		w.log.Info("a call for the server list is overdue; another is made beside it")
	}
	ctx, cancel := context.WithCancelCause(w.ctx)
	timed, stop := context.WithTimeout(ctx, c.Timeout)
	w.calls[c.ID] = cancel
	w.running.Go(func() {
		defer cancel(nil)
		defer stop()
		a, end, err := w.call(timed, c)
		select {
		case w.results <- result{answer: a, id: c.ID, end: end, err: err}:
		case <-ctx.Done(): // given up
			a.conn.taken()
		case <-w.over:
			a.conn.taken()
		}
	})
}

func (w *watch) giveUp(id plan.CallID) {
	if end := w.calls[id]; end != nil {
		delete(w.calls, id)
		end(context.Canceled)
	}
}
