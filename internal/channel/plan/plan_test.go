package plan

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"brasswell/internal/channel/frame"
	"brasswell/internal/channel/ticket"
)

const ms = time.Millisecond

// start is the time at the beginning of each test.
const start = 1_000_000 * time.Second

// settings are the ones that tests start from.
func settings() Settings {
	return Settings{
		Rate: 1000, NodeRate: 100, MaxWait: time.Minute, MaxChannels: 100_000, MoveWindow: 10 * time.Second,
		CloseTimeout: time.Second, PingInterval: 30 * time.Second, PongTimeout: 10 * time.Second,
		FrameGrace: 5 * time.Second, MinFrameRate: 1000, ColdShare: 0.2, WarmUp: 20 * time.Second,
	}
}

// usableNodes returns the usable nodes a, b, ..., which started at the given times.
func usableNodes(boots ...time.Duration) []Node {
	var nodes []Node
	for i, boot := range boots {
		nodes = append(nodes, Node{ID: string(rune('a' + i)), StartTime: boot, Usable: true, InRoundRobin: true})
	}
	return nodes
}

// harness is a Planner whose channels stay open until an action closes them.
type harness struct {
	*Planner
	now      time.Duration
	lastID   ID
	serverOf map[ID]string
}

func newHarness(s Settings, nodes []Node) *harness {
	h := &harness{Planner: New(s, 1), now: start, serverOf: map[ID]string{}}
	h.SetNodes(h.now, nodes)
	return h
}

// open opens n channels on a node, bypassing admission and the rate of the node.
func (h *harness) open(node string, n int) {
	for range n {
		h.lastID++
		h.opening++
		h.tenants[0]++
		h.Opened(h.now, h.lastID, node, 0)
		h.serverOf[h.lastID] = node
	}
}

// alive is the activity of ends that answer each ping at once.
func (h *harness) alive(ID) [NumSides]Activity {
	return [NumSides]Activity{{LastRead: h.now, LastMessage: h.now}, {LastRead: h.now, LastMessage: h.now}}
}

// run ticks for the duration d, and passes each action to f.
func (h *harness) run(d time.Duration, activity func(ID) [NumSides]Activity, f func(Action)) {
	for end := h.now + d; h.now < end; {
		h.now += TickInterval
		for _, a := range h.Tick(h.now, activity) {
			f(a)
		}
	}
}

// TestChannelsOfADrainedServerMoveOverTheWindow guards against closing all channels of a drained server at one moment.
func TestChannelsOfADrainedServerMoveOverTheWindow(t *testing.T) {
	h := newHarness(settings(), usableNodes(0, 0, 0))
	h.open("a", 500)
	h.open("b", 100)
	h.SetNodes(h.now, usableNodes(0, 0, 0)[1:])
	drained := h.now
	perSecond := map[int]int{}
	h.run(12*time.Second, h.alive, func(a Action) {
		if h.serverOf[a.ID] != "a" || a.Kind != CloseAfterMessage || a.Code != frame.ServiceRestart {
			t.Fatalf("%+v on %s", a, h.serverOf[a.ID])
		}
		perSecond[int((h.now-drained-1)/time.Second)]++
		h.Closed(a.ID)
	})
	total := 0
	for second, n := range perSecond {
		if total += n; n < 45 || n > 55 {
			t.Errorf("%d channels moved in second %d, want about 50", n, second)
		}
	}
	if total != 500 || h.Len() != 100 {
		t.Errorf("%d channels moved and %d stay, want 500 and 100", total, h.Len())
	}
}

// TestMovesStayWithinCapacityOfRemainingServers guards against moving channels faster than the remaining servers accept
// them. What cannot be moved within the window is closed at its end.
func TestMovesStayWithinCapacityOfRemainingServers(t *testing.T) {
	s := settings()
	s.NodeRate = 10
	// One of the two remaining servers has just started. Together they accept 10 + 2 a second, and 10 + 6 as it warms up.
	nodes := usableNodes(0, 0, start)
	h := newHarness(s, nodes)
	h.open("a", 500)
	h.SetNodes(h.now, nodes[1:])
	moved, forced := 0, 0
	most := 0.0
	perSecond := 0
	for range 10 {
		perSecond = 0
		h.run(time.Second, h.alive, func(a Action) {
			if a.Kind == CloseNow {
				forced++
			} else {
				perSecond++
			}
			h.Closed(a.ID)
		})
		most = max(most, float64(perSecond))
		moved += perSecond
	}
	if most > 16+3 || moved < 120 || moved > 145 {
		t.Errorf("%d channels moved, at most %v in a second; want 120 to 145 and 16, give or take a burst", moved, most)
	}
	h.run(2*time.Second, h.alive, func(a Action) { forced++; h.Closed(a.ID) })
	if moved+forced != 500 || h.Len() != 0 {
		t.Errorf("%d channels moved, %d forced, %d left; want 500 in all and none left", moved, forced, h.Len())
	}
}

// TestRemainingChannelsAreClosedThenAborted has clients that ignore each Close of their channel.
func TestRemainingChannelsAreClosedThenAborted(t *testing.T) {
	h := newHarness(settings(), usableNodes(0, 0))
	h.open("a", 20)
	h.SetNodes(h.now, usableNodes(0, 0)[1:])
	kinds := map[ID][]Kind{}
	h.run(15*time.Second, h.alive, func(a Action) { kinds[a.ID] = append(kinds[a.ID], a.Kind) })
	for id, got := range kinds {
		if !slices.Equal(got, []Kind{CloseAfterMessage, CloseNow, Abort}) {
			t.Errorf("channel %d got the actions %v, want CloseAfterMessage, CloseNow, Abort", id, got)
		}
	}
	if len(kinds) != 20 {
		t.Errorf("%d channels got an action, want 20", len(kinds))
	}
}

// TestServerBackInServiceKeepsRemainingChannels cancels a drain in the middle of its window.
func TestServerBackInServiceKeepsRemainingChannels(t *testing.T) {
	h := newHarness(settings(), usableNodes(0, 0))
	h.open("a", 100)
	h.SetNodes(h.now, usableNodes(0, 0)[1:])
	moved := 0
	count := func(a Action) { moved++; h.Closed(a.ID) }
	h.run(5*time.Second, h.alive, count)
	h.SetNodes(h.now, usableNodes(0, 0))
	movedBefore := moved
	h.run(20*time.Second, h.alive, count)
	if moved != movedBefore || movedBefore < 45 || movedBefore > 55 {
		t.Errorf("%d channels moved in half the window and %d in all, want about 50 and no more later", movedBefore, moved)
	}
}

// TestZoneThatDrainsServerByServer drains three servers one after the other. Their moves share the capacity of the servers
// that remain.
func TestZoneThatDrainsServerByServer(t *testing.T) {
	s := settings()
	s.NodeRate = 20
	nodes := usableNodes(0, 0, 0, 0, 0, 0)
	h := newHarness(s, nodes)
	for _, n := range nodes[:3] {
		h.open(n.ID, 100)
	}
	perSecond := map[int]int{}
	begun := h.now
	count := func(a Action) { perSecond[int((h.now-begun-1)/time.Second)]++; h.Closed(a.ID) }
	for i := range 3 {
		h.SetNodes(h.now, nodes[i+1:])
		h.run(time.Second, h.alive, count)
	}
	h.run(12*time.Second, h.alive, count)
	total := 0
	for second, n := range perSecond {
		total += n
		if n > 65+5 {
			t.Errorf("%d channels moved in second %d; the three remaining servers accept 60", n, second)
		}
	}
	if total != 300 {
		t.Errorf("%d channels moved, want 300", total)
	}
}

func TestShutdownMovesAllChannels(t *testing.T) {
	h := newHarness(settings(), usableNodes(0, 0))
	h.open("a", 100)
	h.open("b", 100)
	h.Shutdown(h.now, 2*time.Second)
	n := 0
	h.run(2*time.Second+TickInterval, h.alive, func(a Action) {
		if a.Code != frame.GoingAway {
			t.Fatalf("unexpected action: %+v", a)
		}
		n++
		h.Closed(a.ID)
	})
	if n != 200 {
		t.Errorf("%d channels got an action, want 200", n)
	}
	if a := h.Admit(h.now, 0, nil); a.Admitted || a.RetryAfter <= 0 {
		t.Errorf("%+v while the proxy shuts down, want a refusal with a wait", a)
	}
	if h.AllowUpgrade(h.now, "a") {
		t.Error("an upgrade is allowed while the proxy shuts down")
	}
}

func TestColdServerTakesItsShareOfUpgrades(t *testing.T) {
	h := newHarness(settings(), usableNodes(0, start))
	got := map[string]int{}
	for range 100 {
		h.now += 10 * ms
		for _, id := range []string{"a", "b"} {
			for range 5 {
				if h.AllowUpgrade(h.now, id) {
					got[id]++
				}
			}
		}
	}
	if got["a"] < 100 || got["a"] > 126 || got["b"] < 20 || got["b"] > 29 {
		t.Errorf("upgrades in a second: %v, want about 100 and 20 to 24, plus a burst of a quarter second", got)
	}
	for _, id := range []string{"gone"} {
		if h.AllowUpgrade(h.now, id) {
			t.Errorf("an upgrade to the unknown server %s is allowed", id)
		}
	}
}

// client requests a channel, and retries when its refusal says so.
type client struct {
	at         time.Duration
	ticket     *ticket.Ticket
	refusals   int
	admittedAt time.Duration
}

// storm makes clients request channels until all are admitted, and counts the admissions in each second. It ticks p
// meanwhile, and calls step, if any, at each tick. It fails if a client is not admitted within until.
func storm(t *testing.T, p *Planner, clients []*client, until time.Duration, step func(now time.Duration)) map[int]int {
	t.Helper()
	perSecond := map[int]int{}
	q := &queue{}
	for _, c := range clients {
		heap.Push(q, c)
	}
	tick := start
	for q.Len() > 0 {
		c := heap.Pop(q).(*client)
		if c.at > start+until {
			t.Fatalf("%d clients are not admitted after %v", q.Len()+1, until)
		}
		for ; tick < c.at; tick += TickInterval {
			p.Tick(tick, nil)
			if step != nil {
				step(tick)
			}
		}
		a := p.Admit(c.at, 0, c.ticket)
		if a.Admitted {
			c.admittedAt = c.at
			perSecond[int((c.at-start)/time.Second)]++
			p.OpenFailed(0) // open channels do not matter here
			continue
		}
		if a.RetryAfter <= 0 {
			t.Fatal("refused without a time to retry")
		}
		c.refusals++
		next := a.Ticket
		c.ticket = &next
		c.at += a.RetryAfter
		heap.Push(q, c)
	}
	return perSecond
}

// queue is a heap of clients, ordered by the time of their next request.
type queue []*client

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(*client)) }
func (q *queue) Pop() any {
	c := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return c
}

// arrivals returns n clients whose first requests come at random times within the given time.
func arrivals(n int, within time.Duration, rng *rand.Rand) []*client {
	var all []*client
	for range n {
		all = append(all, &client{at: start + time.Duration(rng.Int64N(int64(within)))})
	}
	return all
}

// TestStormIsAdmittedAtTheConfiguredRate guards against a rate that is exceeded, or left unused, when many clients
// reconnect at once, and against clients that are refused again and again.
func TestStormIsAdmittedAtTheConfiguredRate(t *testing.T) {
	s := settings()
	s.Rate = 500
	p := New(s, 1)
	p.SetNodes(start, usableNodes(0, 0, 0, 0, 0, 0, 0, 0)) // they accept 800 a second
	clients := arrivals(10_000, 2*time.Second, rand.New(rand.NewPCG(1, 1)))
	perSecond := storm(t, p, clients, 5*time.Minute, nil)
	last := 0
	for second, n := range perSecond {
		last = max(last, second)
		if n > 500+125+1 {
			t.Errorf("%d admitted in second %d, want at most 500 and a burst of 125", n, second)
		}
	}
	if last > 26 {
		t.Errorf("all clients are admitted after %d s; at 500 a second 20 s are enough", last)
	}
	slices.SortFunc(clients, func(a, b *client) int { return b.refusals - a.refusals })
	if clients[0].refusals > 4 {
		t.Errorf("a client was refused %d times, want at most 4", clients[0].refusals)
	}
	t.Logf("all clients are admitted after %d s, with at most %d refusals", last, clients[0].refusals)
}

func TestWaitingClientsGoBeforeNewOnes(t *testing.T) {
	s := settings()
	s.Rate = 100
	p := New(s, 1)
	p.SetNodes(start, usableNodes(0, 0))
	rng := rand.New(rand.NewPCG(2, 1))
	waiting := arrivals(1000, 100*ms, rng)
	var newer []*client
	for _, c := range arrivals(1000, time.Second, rng) {
		c.at += 3 * time.Second
		newer = append(newer, c)
	}
	storm(t, p, append(slices.Clone(waiting), newer...), 5*time.Minute, nil)
	lastWaiting, firstNewer := slices.MaxFunc(waiting, byAdmission).admittedAt, slices.MinFunc(newer, byAdmission).admittedAt
	if lastWaiting > firstNewer+2*time.Second {
		t.Errorf("a new client is admitted %v before the last of the waiting ones, want at most 2s", lastWaiting-firstNewer)
	}
}

func byAdmission(a, b *client) int { return cmp.Compare(a.admittedAt, b.admittedAt) }

// TestClientsThatIgnoreRetryAfterDoNotStarveOthers guards against a few clients that retry at once without end and take
// the admissions of those that wait for their slots.
func TestClientsThatIgnoreRetryAfterDoNotStarveOthers(t *testing.T) {
	s := settings()
	s.Rate = 100
	p := New(s, 1)
	p.SetNodes(start, usableNodes(0, 0))
	rng := rand.New(rand.NewPCG(3, 1))
	patient := arrivals(1000, time.Second, rng)
	admitted := 0
	// Fifty more clients keep no ticket and retry every 20 ms.
	perSecond := storm(t, p, patient, 5*time.Minute, func(now time.Duration) {
		for range 50 * int(TickInterval/(20*ms)) {
			if p.Admit(now, 1, nil).Admitted {
				p.OpenFailed(1)
				admitted++
			}
		}
	})
	last := 0
	for second := range perSecond {
		last = max(last, second)
	}
	// At the rate alone this takes 10 s. Slots of up to two minutes can go to clients that never claim them.
	if last > 90 {
		t.Errorf("the last patient client is admitted after %d s, want at most 90", last)
	}
	t.Logf("the 1,000 patient clients are admitted after %d s, the impatient ones %d times", last, admitted)
}

func TestTicketAdmitsOnce(t *testing.T) {
	s := settings()
	s.Rate = 1
	p := New(s, 1)
	p.SetNodes(start, usableNodes(0))
	if !p.Admit(start, 0, nil).Admitted {
		t.Fatal("the first client is not admitted")
	}
	a := p.Admit(start, 0, nil)
	issued := a.Ticket
	now := start + a.RetryAfter
	if !p.Admit(now, 0, &issued).Admitted {
		t.Fatal("a client is not admitted at the time that its refusal named")
	}
	if p.Admit(now, 0, &issued).Admitted {
		t.Error("a ticket admits twice")
	}
	if p.Admit(now+10*ms, 0, &issued).Ticket.Nonce == issued.Nonce {
		t.Error("a used ticket is issued again")
	}
}

func TestLimits(t *testing.T) {
	s := settings()
	s.MaxChannels, s.MaxTenantChannels = 10, 4
	p := New(s, 1)
	p.SetNodes(start, usableNodes(0))
	in := map[int]int{}
	for range 8 {
		for tenant := -1; tenant < 3; tenant++ {
			if a := p.Admit(start, tenant, nil); a.Admitted {
				in[tenant]++
			} else if !a.LimitReached || a.RetryAfter <= 0 {
				t.Fatalf("%+v, want a refusal for the limit with a wait", a)
			}
		}
	}
	total := 0
	for tenant, n := range in {
		if total += n; n > 4 {
			t.Errorf("tenant %d has %d channels, want at most 4", tenant, n)
		}
	}
	if total != 10 {
		t.Errorf("%d requests are admitted, want 10", total)
	}
	p.OpenFailed(-1)
	if !p.Admit(start+time.Second, -1, nil).Admitted {
		t.Error("a request is refused though a channel has become free")
	}
}

func TestNothingIsAdmittedWithoutServers(t *testing.T) {
	p := New(settings(), 1)
	if a := p.Admit(start, 0, nil); a.Admitted || a.RetryAfter < 30*time.Second/2 {
		t.Errorf("%+v without servers, want a refusal with a wait of 15s or more", a)
	}
}

func TestSilentEndsArePingedThenTimeOut(t *testing.T) {
	for _, dead := range []Side{Client, Server} {
		h := newHarness(settings(), usableNodes(0))
		h.open("a", 1)
		opened := h.now
		heard := [NumSides]time.Duration{opened, opened}
		activity := func(ID) [NumSides]Activity { return [NumSides]Activity{{LastRead: heard[0]}, {LastRead: heard[1]}} }
		pings, endedAfter := 0, time.Duration(0)
		h.run(5*time.Minute, activity, func(a Action) {
			switch {
			case a.Kind == Park:
			case endedAfter > 0:
				t.Fatalf("%+v after the channel ended", a)
			case a.Kind == Ping && a.Side != dead:
				heard[a.Side] = h.now
				pings++
			case a.Kind == Ping:
			case a.Kind == PeerTimeout && a.Side == dead:
				endedAfter = h.now - opened
				h.Closed(a.ID)
			default:
				t.Fatalf("unexpected action: %+v", a)
			}
		})
		if want := 40 * time.Second; endedAfter < want || endedAfter > want+time.Second {
			t.Errorf("side %d: timed out after %v, want %v", dead, endedAfter, want)
		}
	}
}

func TestSilentChannelsStayOpenAndArePinged(t *testing.T) {
	h := newHarness(settings(), usableNodes(0))
	h.open("a", 1000)
	heard := map[ID][NumSides]time.Duration{}
	type endID struct {
		ID
		Side
	}
	parked := map[endID]bool{}
	opened := h.now
	activity := func(id ID) [NumSides]Activity {
		last, ok := heard[id]
		if !ok {
			last = [NumSides]time.Duration{opened, opened}
		}
		return [NumSides]Activity{{LastRead: last[0], Parked: parked[endID{id, Client}]}, {LastRead: last[1], Parked: parked[endID{id, Server}]}}
	}
	pings := 0
	h.run(5*time.Minute, activity, func(a Action) {
		if a.Kind == Park && !parked[endID{a.ID, a.Side}] {
			parked[endID{a.ID, a.Side}] = true // for good: reading a pong does not unpark an end here
			return
		}
		if a.Kind != Ping {
			t.Fatalf("unexpected action: %+v", a)
		}
		pings++
		last := heard[a.ID]
		if last == ([NumSides]time.Duration{}) {
			last = [NumSides]time.Duration{opened, opened}
		}
		last[a.Side] = h.now
		heard[a.ID] = last
	})
	if len(parked) != 2*1000 {
		t.Errorf("%d ends are parked, want 2000", len(parked))
	}
	if want := 2 * 1000 * 10; pings < want*8/10 || pings > want {
		t.Errorf("%d pings in 5 minutes, want about %d", pings, want)
	}
}

// TestSlowFrames checks that a frame ends its channel if its sender is too slow, but not if it waits for the other end.
func TestSlowFrames(t *testing.T) {
	for _, c := range []struct {
		rate     int64 // bytes a second
		blocked  bool
		timesOut bool
	}{{1, false, true}, {900, false, true}, {1100, false, false}, {1, true, false}} {
		t.Run(fmt.Sprint(c.rate, c.blocked), func(t *testing.T) {
			h := newHarness(settings(), usableNodes(0))
			h.open("a", 1)
			begun := h.now
			activity := func(ID) [NumSides]Activity {
				a := h.alive(0)
				a[Client].FrameStart, a[Client].Blocked = begun, c.blocked
				a[Client].FrameBytes = int64((h.now - begun).Seconds() * float64(c.rate))
				return a
			}
			ended := false
			h.run(2*time.Minute, activity, func(a Action) {
				if a.Kind != FrameTimeout || a.Side != Client {
					t.Fatalf("unexpected action: %+v", a)
				}
				ended = true
				h.Closed(a.ID)
			})
			if ended != c.timesOut {
				t.Errorf("channel ended: %t, want %t", ended, c.timesOut)
			}
		})
	}
}

func TestIdleChannelsEnd(t *testing.T) {
	s := settings()
	s.IdleTimeout = time.Minute
	h := newHarness(s, usableNodes(0))
	h.open("a", 2)
	opened := h.now
	activity := func(id ID) [NumSides]Activity {
		a := h.alive(id)
		if id == 1 {
			a[0].LastMessage, a[1].LastMessage = opened, opened
		}
		return a
	}
	var got []Action
	h.run(3*time.Minute, activity, func(a Action) { got = append(got, a) })
	if len(got) != 1 || got[0].ID != 1 || got[0].Kind != CloseAfterMessage || got[0].Code != frame.GoingAway {
		t.Errorf("%+v, want only channel 1 to be closed, after its message", got)
	}
}

// mapWheel is the model of the wheel: the time of each entry, in a map.
type mapWheel map[*entry]time.Duration

func TestWheelAgainstMapModel(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		var w wheel
		model := mapWheel{}
		entries := make([]*entry, 60)
		for i := range entries {
			entries[i] = &entry{}
		}
		now := start
		for range 400 {
			now += time.Duration(rng.Int64N(int64(2 * time.Second)))
			for e := w.due(now); e != nil; e = w.due(now) {
				at, set := model[e]
				if !set || at > now {
					t.Fatalf("seed %d: an entry is returned %v early", seed, at-now)
				}
				delete(model, e)
			}
			for e, at := range model {
				if at+wheelStep <= now {
					t.Fatalf("seed %d: an entry is late by %v", seed, now-at)
				}
				_ = e
			}
			for range 5 {
				e := entries[rng.IntN(len(entries))]
				if rng.IntN(4) == 0 {
					w.remove(e)
					delete(model, e)
				} else {
					at := now + wheelStep + time.Duration(rng.Int64N(int64(90*time.Second)))
					w.put(e, now, at)
					model[e] = at
				}
			}
		}
	}
}

// TestCountsMatchModel compares the counts of a Planner with those of a simple model under random events.
func TestCountsMatchModel(t *testing.T) {
	for seed := range uint64(100) {
		rng := rand.New(rand.NewPCG(seed, 7))
		s := settings()
		s.MaxChannels, s.MaxTenantChannels = 40, 15
		p := New(s, seed)
		now := start
		open := map[ID]int{} // tenant
		node := map[ID]string{}
		opening := []int{}
		usable := map[string]bool{}
		var last ID
		for range 500 {
			now += time.Duration(rng.Int64N(int64(500 * ms)))
			switch rng.IntN(6) {
			case 0:
				clear(usable)
				var nodes []Node
				for _, n := range usableNodes(0, 0, 0, start, now) {
					if rng.IntN(3) > 0 {
						n.Usable = rng.IntN(4) > 0
						nodes = append(nodes, n)
						usable[n.ID] = n.Usable
					}
				}
				p.SetNodes(now, nodes)
			case 1, 2:
				tenant := rng.IntN(4) - 1
				if p.Admit(now, tenant, nil).Admitted {
					opening = append(opening, tenant)
				}
			case 3:
				if len(opening) > 0 {
					tenant := opening[0]
					opening = opening[1:]
					id := string(rune('a' + rng.IntN(5)))
					if may := p.AllowUpgrade(now, id); may && !usable[id] {
						t.Fatalf("seed %d: an upgrade to the unusable server %s is allowed", seed, id)
					} else if may || rng.IntN(3) == 0 { // the answer to an upgrade that was sent earlier
						last++
						p.Opened(now, last, id, tenant)
						open[last], node[last] = tenant, id
					} else {
						p.OpenFailed(tenant)
					}
				}
			case 4:
				for id := range open {
					p.Closed(id)
					p.Closed(id)
					delete(open, id)
					delete(node, id)
					break
				}
			case 5:
				for _, a := range p.Tick(now, func(ID) [NumSides]Activity {
					return [NumSides]Activity{{LastRead: now, LastMessage: now}, {LastRead: now, LastMessage: now}}
				}) {
					if a.Kind == CloseAfterMessage && usable[node[a.ID]] {
						t.Fatalf("seed %d: a channel to a usable server is closed", seed)
					}
				}
			}
			if p.Len() != len(open) || p.opening != len(opening) {
				t.Fatalf("seed %d: %d open, %d opening; want %d, %d", seed, p.Len(), p.opening, len(open), len(opening))
			}
			held := map[string]int{}
			for id := range open {
				held[node[id]]++
			}
			for id, n := range p.OpenByServer() {
				if n != held[id] {
					t.Fatalf("seed %d: %s has %d channels, want %d", seed, id, n, held[id])
				}
			}
			byTenant := map[int]int{}
			for _, tenant := range open {
				byTenant[tenant]++
			}
			for _, tenant := range opening {
				byTenant[tenant]++
			}
			if len(byTenant) != len(p.tenants) {
				t.Fatalf("seed %d: channels by tenant are %v, want %v", seed, p.tenants, byTenant)
			}
			for tenant, n := range byTenant {
				if p.tenants[tenant] != n || n > 15 {
					t.Fatalf("seed %d: tenant %d has %d channels, want %d and at most 15", seed, tenant, p.tenants[tenant], n)
				}
			}
			if len(open)+len(opening) > 40 {
				t.Fatalf("seed %d: more than 40 channels are open or opening", seed)
			}
		}
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{1000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := newHarness(settings(), usableNodes(0, 0, 0))
			h.open("a", n)
			for b.Loop() {
				h.now += TickInterval
				h.Tick(h.now, h.alive)
			}
		})
	}
}

func BenchmarkAdmitInAStorm(b *testing.B) {
	p := New(settings(), 1)
	p.SetNodes(start, usableNodes(0, 0, 0))
	now := start
	for b.Loop() {
		now += 10 * time.Microsecond
		p.Admit(now, 0, nil)
	}
}

// timeHeap is the heap of times that BenchmarkTimers compares the wheel with.
type timeHeap []*heapEntry

type heapEntry struct {
	at    time.Duration
	index int
}

func (h timeHeap) Len() int           { return len(h) }
func (h timeHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timeHeap) Push(x any) {
	x.(*heapEntry).index = len(*h)
	*h = append(*h, x.(*heapEntry))
}
func (h *timeHeap) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}

// BenchmarkTimers resets one of many times, in the wheel, in a heap and as runtime timers.
func BenchmarkTimers(b *testing.B) {
	for _, n := range []int{1000, 100_000} {
		rng := rand.New(rand.NewPCG(1, 1))
		ahead := func() time.Duration { return wheelStep + time.Duration(rng.Int64N(int64(40*time.Second))) }
		b.Run(fmt.Sprint("wheel/", n), func(b *testing.B) {
			var w wheel
			entries := make([]entry, n)
			for i := range entries {
				w.put(&entries[i], start, start+ahead())
			}
			for i := 0; b.Loop(); i++ {
				w.put(&entries[i%n], start, start+ahead())
			}
		})
		b.Run(fmt.Sprint("heap/", n), func(b *testing.B) {
			var h timeHeap
			entries := make([]heapEntry, n)
			for i := range entries {
				entries[i].at = ahead()
				heap.Push(&h, &entries[i])
			}
			for i := 0; b.Loop(); i++ {
				e := &entries[i%n]
				e.at = ahead()
				heap.Fix(&h, e.index)
			}
		})
		b.Run(fmt.Sprint("runtime/", n), func(b *testing.B) {
			entries := make([]*time.Timer, n)
			for i := range entries {
				entries[i] = time.AfterFunc(time.Hour+ahead(), func() {})
			}
			for i := 0; b.Loop(); i++ {
				entries[i%n].Reset(time.Hour + ahead())
			}
			for _, t := range entries {
				t.Stop()
			}
		})
	}
}
