package discovery

import (
	"context"
	"sync"
	"time"

	"brasswell/balance"
	"brasswell/internal/discovery/plan"
)

// result is the outcome of one call.
type result struct {
	answer
	id  plan.CallID
	end plan.CallEnd
	err error
}

// watch runs the actions of the plan for one call of Watch.
type watch struct {
	*Client
	ctx     context.Context
	calls   map[plan.CallID]context.CancelCauseFunc
	running sync.WaitGroup
	results chan result
	done    chan struct{} // closed when results are no longer received
	lastErr error         // of the call that failed last
	ended   bool
}

// Watch follows the list until the plan ends the watch because calls fail, or ctx is done. It returns immediately if
// another Watch runs.
func (d *Client) Watch(ctx context.Context) {
	d.mu.Lock()
	started := d.plan.Watch(d.now())
	d.mu.Unlock()
	if !started {
		return
	}
	w := &watch{Client: d, ctx: ctx, calls: map[plan.CallID]context.CancelCauseFunc{}, results: make(chan result), done: make(chan struct{})}
	w.run()
	close(w.done)
	for _, end := range w.calls {
		end(context.Canceled)
	}
	w.running.Wait()
}

// run runs until the plan ends the watch, or ctx is done.
func (w *watch) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		w.runActions()
		if w.ended {
			return
		}
		timer.Reset(w.untilNextTick())
		select {
		case <-w.ctx.Done():
			w.mu.Lock()
			w.plan.Stop()
			w.mu.Unlock()
			return
		case <-w.planChanged:
		case <-timer.C:
			w.mu.Lock()
			w.plan.Tick(w.now())
			w.mu.Unlock()
		case r := <-w.results:
			w.handleResult(r)
		}
	}
}

// maxIdleWait is the timer interval if the plan has no next tick: an event will notify the watch.
const maxIdleWait = time.Hour

// untilNextTick returns how long to wait until the next tick of the plan.
func (w *watch) untilNextTick() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastRan = w.now()
	at, ok := w.plan.NextTick()
	if !ok {
		return maxIdleWait
	}
	return max(at-w.now(), 0)
}

// handleResult reports to the plan how a call ended.
func (w *watch) handleResult(r result) {
	defer r.conn.markApplied()
	delete(w.calls, r.id)
	if r.list == nil {
		w.mu.Lock()
		w.lastErr = r.err
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
		w.deliver(r.list, r.list.kind(), before)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.plan.AnswerApplied(w.now())
}

// runActions runs the actions that the plan has decided on.
func (w *watch) runActions() {
	w.mu.Lock()
	actions := w.plan.Actions()
	w.mu.Unlock()
	for _, action := range actions {
		switch a := action.(type) {
		case plan.MakeCall:
			w.startCall(a.Call)
		case plan.CancelCall:
			w.cancelCall(a.ID)
		case plan.CloseIdleConns:
			w.client.CloseIdleConnections()
		case plan.ReportFailure:
			w.update(balance.ListFailed, nil, nil)
		case plan.EndWatch:
			w.log.Warn("watch on the server list failed", "error", w.lastErr)
			w.ended = true
		}
	}
}

// startCall makes a call.
func (w *watch) startCall(c plan.Call) {
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
		case <-ctx.Done(): // canceled by the plan
			a.conn.markApplied()
		case <-w.done:
			a.conn.markApplied()
		}
	})
}

func (w *watch) cancelCall(id plan.CallID) {
	if end := w.calls[id]; end != nil {
		delete(w.calls, id)
		end(context.Canceled)
	}
}
