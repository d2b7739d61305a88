package proxy

import (
	"context"
	"log/slog"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"brasswell/balance"
)

// message is what a request's attempts carry to backends.
type message struct {
	method, uri, host string
	url               *url.URL
	header            http.Header // never written to: attempts share it
	body              *body
}

// verdict is how a request is answered.
type verdict int

const (
	failed verdict = iota
	refused
	served
)

// final is the one answer that a request gets.
type final struct {
	verdict verdict
	reply   *reply        // of a served request
	wait    time.Duration // for how long a refused caller is asked to stay away; 0 for no advice
}

// request is one request from its submission until it is answered and its last attempt has ended. Its life is
// bounded by its deadline: attempts time out by then, and the balancer answers what is left.
type request struct {
	id       string
	message  *message
	attempts []*attempt
	out      int
	answered bool
	final    chan final // takes exactly one, without blocking
}

// attempt is one send of a request.
type attempt struct {
	request *request
	number  int
	to      endpoint
	sent    time.Duration
	end     time.Duration // when the proxy stops waiting
	ctx     context.Context
	cancel  context.CancelCauseFunc
	timer   *time.Timer
}

// instance hosts one balancer. It is the balancer's Host: the calls come while mu is held, so none of them may
// block or call back; what takes time runs in a goroutine of its own and comes back through an event.
type instance struct {
	started  time.Time
	unix     time.Duration // Unix time at started
	backends *pool
	watch    func() // starts a watch on the server list
	log      *slog.Logger

	mu       sync.Mutex
	balancer *balance.Balancer
	requests map[string]*request
	lastID   uint64
	address  map[string]endpoint // of each server that the list has in service
	listed   bool                // a list with servers is held
}

func newInstance(settings balance.Settings, seed uint64, backends *pool, log *slog.Logger) (*instance, error) {
	i := &instance{
		started: time.Now(), backends: backends, log: log,
		requests: map[string]*request{}, address: map[string]endpoint{},
	}
	i.unix = time.Duration(i.started.UnixNano())
	var err error
	i.balancer, err = balance.New(settings, seed, i)
	return i, err
}

// now is Unix time, as the list's start times are, but never steps back.
func (i *instance) now() time.Duration { return i.unix + time.Since(i.started) }

// submit hands a request to the balancer. Its clock starts here, when its last byte has been read. The ids are
// our own: callers may use theirs again, and the balancer takes a known id for one it already has.
func (i *instance) submit(m *message, class, tenant int, left time.Duration) *request {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lastID++
	q := &request{id: strconv.FormatUint(i.lastID, 36), message: m, final: make(chan final, 1)}
	i.requests[q.id] = q
	i.balancer.Submit(i.now(), balance.Request{ID: q.id, Class: class, Tenant: tenant, Left: left})
	i.tidy(q)
	return q
}

// drop tells the balancer that a request's caller has gone: callers give a request up by closing the connection
// or ending their sending on it. What is still out for it is called off.
func (i *instance) drop(q *request) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if q.answered {
		return
	}
	q.answer(final{verdict: failed})
	i.balancer.Dropped(i.now(), q.id)
	i.tidy(q)
}

// answer decides a request's final answer; the first one stands.
func (q *request) answer(f final) bool {
	if q.answered {
		return false
	}
	q.answered = true
	q.final <- f
	return true
}

// tidy forgets a request that is over.
func (i *instance) tidy(q *request) {
	if q.answered && q.out == 0 {
		delete(i.requests, q.id)
		q.message.body.release()
	}
}

// run carries an attempt out.
func (i *instance) run(a *attempt) {
	outcome, r := i.backends.exchange(a.ctx, a.to, a.request.message, func() (time.Duration, bool) {
		i.mu.Lock()
		defer i.mu.Unlock()
		left := a.end - i.now()
		// While the connection came up, the list may have said that the server drains or is gone.
		listed := i.address[a.to.server] == a.to
		return left, listed && left > 0 && !a.request.answered && a.ctx.Err() == nil
	})
	i.end(a, outcome, r)
}

// end tells the balancer how an attempt ended, and first answers the request if that served it.
func (i *instance) end(a *attempt, outcome balance.Outcome, r *reply) {
	i.mu.Lock()
	defer i.mu.Unlock()
	a.timer.Stop()
	a.cancel(nil)
	q := a.request
	q.out--
	if outcome == balance.OK && r != nil {
		q.answer(final{verdict: served, reply: r})
	}
	now := i.now()
	i.balancer.Result(now, balance.Result{
		ID: q.id, Attempt: a.number, Outcome: outcome, Latency: now - a.sent, Finished: q.answered,
	})
	i.tidy(q)
}

// update gives the balancer what discovery says. addresses holds where to dial the entries' servers.
func (i *instance) update(kind balance.ListKind, entries []balance.Entry, addresses map[string]string) {
	i.mu.Lock()
	if kind == balance.Full || kind == balance.Cached {
		clear(i.address)
	}
	for _, e := range entries {
		if address := addresses[e.ID]; e.State == balance.InService && address != "" {
			i.address[e.ID] = endpoint{e.ID, address, e.Boot}
		} else {
			delete(i.address, e.ID)
		}
	}
	i.listed = i.listed || len(i.address) > 0
	wanted := make(map[endpoint]bool, len(i.address))
	for _, to := range i.address {
		wanted[to] = true
	}
	if kind != balance.ListFailed {
		// Within the lock, so that two updates cannot pass each other.
		i.backends.keep(wanted)
	}
	i.balancer.Update(i.now(), kind, entries)
	i.mu.Unlock()
}

// ready says whether there is a server to send to.
func (i *instance) ready() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.listed
}

// Send starts an attempt.
func (i *instance) Send(id, server string, timeout time.Duration) {
	q := i.requests[id]
	now := i.now()
	a := &attempt{request: q, number: len(q.attempts), to: i.address[server], sent: now, end: now + timeout}
	a.ctx, a.cancel = context.WithCancelCause(context.Background())
	a.timer = time.AfterFunc(timeout, func() { a.cancel(errTimedOut) })
	q.attempts = append(q.attempts, a)
	q.out++
	if timeout <= 0 {
		go i.end(a, balance.Ignored, nil) // its time has expired: never sent
		return
	}
	go i.run(a)
}

// Refuse answers a request so that trying again is harmless.
func (i *instance) Refuse(id string, wait time.Duration) {
	i.decide(id, final{verdict: refused, wait: wait})
}

// Fail answers a request without a promise.
func (i *instance) Fail(id string) { i.decide(id, final{verdict: failed}) }

func (i *instance) decide(id string, f final) {
	if q := i.requests[id]; q != nil {
		q.answer(f)
	}
}

// Cancel stops waiting for an attempt.
func (i *instance) Cancel(id string, attempt int) {
	if q := i.requests[id]; q != nil && attempt < len(q.attempts) {
		q.attempts[attempt].cancel(errCanceled)
	}
}

// SetTimer asks for one Timer event. Timers are never withdrawn; none outlives the longest deadline by much.
func (i *instance) SetTimer(delay time.Duration, token uint64) {
	time.AfterFunc(delay, func() {
		i.mu.Lock()
		defer i.mu.Unlock()
		i.balancer.Timer(i.now(), token)
	})
}

// Watch subscribes to the server list.
func (i *instance) Watch() { i.watch() }

// Log writes a line for people.
func (i *instance) Log(line string) { i.log.Info(line) }
