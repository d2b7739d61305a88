package balance

import (
	"container/heap"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var simSeeds = flag.Uint64("crowd-seeds", 1, "number of seeds for the overload simulations")

// clientSim runs an instance against servers with queues and clients that retry. Time passes by events alone, so
// equal seeds give equal runs.
type clientSim struct {
	eventClock
	b            *Balancer
	rng          *rand.Rand
	nodes        map[string]*node
	tries        map[string]*clientTry
	perSecond    []clientCount // outcomes of the clients by second of arrival
	logs         []string
	ignoreCancel bool // servers also work on requests that no client waits for
}

// clientCount counts the clients that first arrived in one second of the run.
type clientCount struct{ arrived, served, late int }

// node is a server: cores that work, and a queue in order of arrival.
type node struct {
	freeCores int
	speed     float64
	queue     []*job
}

// job is one attempt at a server.
type job struct {
	id      string
	attempt int
	sent    time.Duration
	work    time.Duration
	ended   bool // its result has been reported
	node    *node
}

// client is one client with its tries.
type client struct {
	class     int
	arrivedAt time.Duration
	tries     int
	work      time.Duration
}

// clientTry is one try of a client: one request to the instance.
type clientTry struct {
	client   *client
	deadline time.Duration
	done     bool
	jobs     []*job
}

type scheduledEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type eventQueue []scheduledEvent

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(scheduledEvent)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// eventClock is a clock that only events advance, from the time at which it starts.
type eventClock struct {
	now, from time.Duration
	events    eventQueue
	seq       int
}

// newEventClock starts at an arbitrary time.
func newEventClock() eventClock { return eventClock{now: time.Hour, from: time.Hour} }

func (d *eventClock) in(wait time.Duration, do func()) {
	d.seq++
	heap.Push(&d.events, scheduledEvent{d.now + max(wait, 0), d.seq, do})
}

func (d *eventClock) run(until time.Duration) {
	for len(d.events) > 0 && d.events[0].at <= d.from+until {
		e := heap.Pop(&d.events).(scheduledEvent)
		d.now = e.at
		e.do()
	}
	d.now = d.from + until
}

// nodeCores is how many requests a node works on at a time.
const nodeCores = 3

func newClientSim(t testing.TB, set Settings, servers int, seed uint64) *clientSim {
	t.Helper()
	c := &clientSim{
		eventClock: newEventClock(), rng: rand.New(rand.NewPCG(seed, 1)),
		nodes: map[string]*node{}, tries: map[string]*clientTry{},
	}
	var err error
	if c.b, err = New(set, seed, c); err != nil {
		t.Fatal(err)
	}
	list := testServers(servers)
	for _, e := range list {
		c.nodes[e.ID] = &node{freeCores: nodeCores, speed: 1}
	}
	c.b.Update(c.now, Full, list)
	return c
}

func (c *clientSim) Send(id, server string, timeout time.Duration) {
	q, n := c.tries[id], c.nodes[server]
	j := &job{id: id, attempt: len(q.jobs), sent: c.now, work: time.Duration(float64(q.client.work) / n.speed), node: n}
	q.jobs = append(q.jobs, j)
	n.queue = append(n.queue, j)
	c.in(0, n.start(c))
	c.in(timeout, func() { c.ended(j, TimedOut) })
}

// start lets a node take requests from its queue while a core is free. It skips requests that ended while they
// waited, unless servers ignore cancellations. A request that runs is not interrupted.
func (n *node) start(c *clientSim) func() {
	return func() {
		for n.freeCores > 0 && len(n.queue) > 0 {
			j := n.queue[0]
			n.queue = n.queue[1:]
			if j.ended && !c.ignoreCancel {
				continue
			}
			n.freeCores--
			c.in(j.work, func() {
				n.freeCores++
				c.ended(j, OK)
				n.start(c)()
			})
		}
	}
}

func (c *clientSim) ended(j *job, o Outcome) {
	if j.ended {
		return
	}
	j.ended = true
	q := c.tries[j.id]
	if o == OK && !q.done {
		q.done = true
		d := &c.perSecond[int((q.client.arrivedAt-c.from)/time.Second)]
		if d.served++; c.now > q.client.arrivedAt+c.b.settings.Classes[q.client.class].Aim {
			d.served--
			d.late++
		}
	}
	c.b.Result(c.now, Result{ID: j.id, Attempt: j.attempt, Outcome: o, Latency: c.now - j.sent, Finished: q.done})
}

func (c *clientSim) Refuse(id string, _ time.Duration) { c.retry(id) }
func (c *clientSim) Fail(id string)                    { c.retry(id) }
func (c *clientSim) Cancel(id string, attempt int) {
	j := c.tries[id].jobs[attempt]
	c.in(0, func() { c.ended(j, Canceled) })
}
func (c *clientSim) SetTimer(d time.Duration, token uint64) {
	c.in(d, func() { c.b.Timer(c.now, token) })
}
func (c *clientSim) Watch()          {}
func (c *clientSim) Log(line string) { c.logs = append(c.logs, line) }

// retry lets a client that was not served come back at once, until its time is over.
func (c *clientSim) retry(id string) {
	q := c.tries[id]
	if q.done {
		panic("two final answers for " + id)
	}
	q.done = true
	c.in(ms, func() { c.try(q.client) })
}

// clientTries is how often a client tries, and tryShare the share of its time that it gives each try but its last.
const (
	clientTries = 3
	tryShare    = 0.45
)

func (c *clientSim) try(v *client) {
	class := &c.b.settings.Classes[v.class]
	left := v.arrivedAt + class.ClientTimeout - c.now
	if v.tries++; v.tries > clientTries || left <= 0 {
		return
	}
	if class.Effect == Idempotent && v.tries < clientTries {
		left = min(left, time.Duration(tryShare*float64(class.ClientTimeout)))
	}
	c.seq++
	id := fmt.Sprint("r", c.seq)
	c.tries[id] = &clientTry{client: v, deadline: c.now + left}
	c.b.Submit(c.now, Request{ID: id, Class: v.class, Remaining: left})
}

// startClients lets clients arrive at random, at the rate per second that applies after the elapsed time.
func (c *clientSim) startClients(until time.Duration, rate func(elapsed time.Duration) float64) {
	c.perSecond = append(c.perSecond, make([]clientCount, int(until/time.Second)+1)...)
	var next func()
	next = func() {
		elapsed := c.now - c.from
		if elapsed >= until {
			return
		}
		class := 0
		work := 30 * ms
		if c.rng.Float64() < 0.45 {
			class, work = 1, 60*ms
		}
		v := &client{class: class, arrivedAt: c.now, work: time.Duration((0.4 + 0.6*c.rng.ExpFloat64()) * float64(work))}
		c.perSecond[int(elapsed/time.Second)].arrived++
		c.try(v)
		c.in(time.Duration(c.rng.ExpFloat64()/rate(elapsed)*float64(time.Second)), next)
	}
	c.in(0, next)
}

// nodeCapacity is what one node of speed 1 serves per second: a request takes 43.5 ms of work on average.
const nodeCapacity = nodeCores / 0.0435

// servedShare returns the share of the clients of some seconds that was served within its aim.
func (c *clientSim) servedShare(from, to int) float64 {
	var sum clientCount
	for _, d := range c.perSecond[from:to] {
		sum.arrived += d.arrived
		sum.served += d.served
	}
	return float64(sum.served) / float64(max(sum.arrived, 1))
}

func simSettings() Settings {
	set := testSettings()
	set.Classes = []Class{
		{Aim: 300 * ms, ClientTimeout: 800 * ms, Value: 3},
		{
			Aim: 800 * ms, ClientTimeout: 2 * time.Second, Value: 5,
			Effect: Deduplicated, DedupScope: DedupZone, DedupWindow: 3 * time.Second,
		},
	}
	return set
}

// runSurge runs 20 s with the given number of servers, some of them slower by a factor of 7. The load is 0.6 of their
// capacity, and 2.4 times that from 6 s to 11 s.
func runSurge(t *testing.T, set Settings, servers, slow int, seed uint64) *clientSim {
	c := newClientSim(t, set, servers, seed)
	c.ignoreCancel = !set.CanCancel
	capacity := 0.0
	for i := range servers {
		n := c.nodes[fmt.Sprintf("s%03d", i)]
		if i < slow {
			n.speed = 1.0 / 7
		}
		capacity += n.speed * nodeCapacity
	}
	c.startClients(20*time.Second, func(elapsed time.Duration) float64 {
		if elapsed >= 6*time.Second && elapsed < 11*time.Second {
			return 2.4 * 0.6 * capacity
		}
		return 0.6 * capacity
	})
	c.run(25 * time.Second)
	return c
}

// TestServiceRecoversAfterASurge: clients that retry at once can keep an overload alive after its cause has ended.
// Two seconds after the surge the service is as good as before it, and during the surge most of the servers' work is
// of use.
func TestServiceRecoversAfterASurge(t *testing.T) {
	skipUnderRace(t)
	t.Parallel()
	for _, size := range []struct{ servers, slow int }{{12, 0}, {12, 3}, {60, 14}} {
		for seed := range *simSeeds {
			c := runSurge(t, simSettings(), size.servers, size.slow, seed)
			before, in, after := c.servedShare(2, 6), c.servedShare(6, 11), c.servedShare(13, 20)
			t.Logf("%d servers, %d slow, seed %d: served in time %.3f before the surge, %.3f during it, %.3f from 2 s after it",
				size.servers, size.slow, seed, before, in, after)
			if before < 0.95 || after < 0.95 {
				t.Errorf("%d servers, %d slow, seed %d: served in time %.3f before the surge, %.3f from 2 s after it",
					size.servers, size.slow, seed, before, after)
			}
			// The load is 1.44 times the capacity, so at most 0.69 of it can be served.
			if in < 0.5 {
				t.Errorf("%d servers, %d slow, seed %d: served in time %.3f during the surge",
					size.servers, size.slow, seed, in)
			}
			if len(c.b.requests) > 0 || len(c.b.timers) > 1 {
				t.Errorf("seed %d: %d records and %d timers are left", seed, len(c.b.requests), len(c.b.timers))
			}
		}
	}
}

// TestMetastableOverloadEnds: the same surge with servers that keep working on requests that no client waits for.
// Below the first tier nothing is refused for lack of capacity, and there the overload lasts to the end of the run,
// which shows that the simulation can produce it. With the admission limit it does not last.
func TestMetastableOverloadEnds(t *testing.T) {
	skipUnderRace(t)
	t.Parallel()
	for seed := range *simSeeds {
		set := simSettings()
		set.CanCancel = false
		with := runSurge(t, set, 12, 3, seed)
		set.Tier = 1
		without := runSurge(t, set, 12, 3, seed)
		t.Logf("seed %d: served in time from 2 s after the surge %.3f, without a limit %.3f",
			seed, with.servedShare(13, 20), without.servedShare(13, 20))
		if got := without.servedShare(13, 20); got > 0.5 {
			t.Errorf("seed %d: without a limit %.3f is served in time after the surge: the overload did not last", seed, got)
		}
		if got := with.servedShare(13, 20); got < 0.95 {
			t.Errorf("seed %d: served in time %.3f from 2 s after the surge", seed, got)
		}
	}
}

// checkRecovery runs a simulation with each seed and requires that nearly all clients of the seconds from..to are
// served in time.
func checkRecovery(t *testing.T, from, to int, run func(seed uint64) *clientSim) {
	t.Helper()
	for seed := range *simSeeds {
		c := run(seed)
		t.Logf("seed %d: served in time %.3f before, %.3f from second %d on",
			seed, c.servedShare(0, from), c.servedShare(from, to), from)
		if got := c.servedShare(from, to); got < 0.95 {
			t.Errorf("seed %d: served in time %.3f, limit %.0f", seed, got, c.b.limit)
		}
	}
}

// TestLimitFindsItsLevelAfterARestart: an instance that starts under a load that needs several times the initial
// limit in flight serves it within 2 s.
func TestLimitFindsItsLevelAfterARestart(t *testing.T) {
	skipUnderRace(t)
	t.Parallel()
	checkRecovery(t, 2, 6, func(seed uint64) *clientSim {
		c := newClientSim(t, simSettings(), 100, seed)
		c.startClients(6*time.Second, func(time.Duration) float64 { return 0.75 * 100 * nodeCapacity })
		c.run(8 * time.Second)
		return c
	})
}

// TestOneSlowServerDoesNotReduceService: a server that becomes slow while many requests are in flight lowers neither
// the limit nor the service of its peers' clients.
func TestOneSlowServerDoesNotReduceService(t *testing.T) {
	checkRecovery(t, 4, 12, func(seed uint64) *clientSim {
		c := newClientSim(t, simSettings(), 8, seed)
		c.in(2*time.Second, func() { c.nodes["s003"].speed = 0.1 })
		c.startClients(12*time.Second, func(time.Duration) float64 { return 0.7 * 8 * nodeCapacity })
		c.run(14 * time.Second)
		return c
	})
}

// TestLimitFollowsARiseWithinCapacity: low traffic becomes six times as much, which the servers can serve. The limit,
// lowered while it was not used, must not refuse it for long.
func TestLimitFollowsARiseWithinCapacity(t *testing.T) {
	skipUnderRace(t)
	t.Parallel()
	checkRecovery(t, 7, 12, func(seed uint64) *clientSim {
		c := newClientSim(t, simSettings(), 60, seed)
		c.startClients(12*time.Second, func(elapsed time.Duration) float64 {
			if elapsed < 6*time.Second {
				return 0.1 * 60 * nodeCapacity
			}
			return 0.6 * 60 * nodeCapacity
		})
		c.run(14 * time.Second)
		return c
	})
}

// skipUnderRace leaves long simulations to the tests without the race detector.
func skipUnderRace(t *testing.T) {
	t.Helper()
	if raceEnabled {
		t.Skip("simulation in one goroutine, run without -race: go test ./balance")
	}
}
