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

// start is the clock's time at a test's beginning.
const start = 1_000_000 * time.Second

func settings() Settings {
	return Settings{
		Rate: 1000, NodeRate: 100, MaxWait: time.Minute, MaxChannels: 100_000, MoveWindow: 10 * time.Second,
		CloseTimeout: time.Second, PingInterval: 30 * time.Second, PongTimeout: 10 * time.Second,
		FrameGrace: 5 * time.Second, MinFrameRate: 1000, ColdShare: 0.2, WarmUp: 20 * time.Second,
	}
}

// up is nodes a, b, ... that may be used, booted at given times.
func up(boots ...time.Duration) []Node {
	var nodes []Node
	for i, boot := range boots {
		nodes = append(nodes, Node{ID: string(rune('a' + i)), StartTime: boot, Usable: true, InRoundRobin: true})
	}
	return nodes
}

// bed is a plan with channels that live as long as nothing tells them to go.
type bed struct {
	*Planner
	now  time.Duration
	last ID
	on   map[ID]string
}

func newBed(s Settings, nodes []Node) *bed {
	b := &bed{Planner: New(s, 1), now: start, on: map[ID]string{}}
	b.SetNodes(b.now, nodes)
	return b
}

// open opens channels on a node, past admission and the node's rate.
func (b *bed) open(node string, n int) {
	for range n {
		b.last++
		b.opening++
		b.tenants[0]++
		b.Opened(b.now, b.last, node, 0)
		b.on[b.last] = node
	}
}

// quiet ends that answer each ping at once.
func (b *bed) alive(ID) [NumSides]Activity {
	return [NumSides]Activity{{LastRead: b.now, LastMessage: b.now}, {LastRead: b.now, LastMessage: b.now}}
}

// run ticks for a time, and gives each action to f.
func (b *bed) run(d time.Duration, look func(ID) [NumSides]Activity, f func(Action)) {
	for end := b.now + d; b.now < end; {
		b.now += TickInterval
		for _, a := range b.Tick(b.now, look) {
			f(a)
		}
	}
}

func TestChannelsOfADrainedServerMoveOverTheWindow(t *testing.T) {
	b := newBed(settings(), up(0, 0, 0))
	b.open("a", 500)
	b.open("b", 100)
	b.SetNodes(b.now, up(0, 0, 0)[1:])
	drained := b.now
	perSecond := map[int]int{}
	b.run(12*time.Second, b.alive, func(a Action) {
		if b.on[a.ID] != "a" || a.Kind != CloseAfterMessage || a.Code != frame.ServiceRestart {
			t.Fatalf("%+v on %s", a, b.on[a.ID])
		}
		perSecond[int((b.now-drained-1)/time.Second)]++
		b.Closed(a.ID)
	})
	total := 0
	for second, n := range perSecond {
		if total += n; n < 45 || n > 55 {
			t.Errorf("%d move in second %d, want about 50", n, second)
		}
	}
	if total != 500 || b.Len() != 100 {
		t.Errorf("%d moved, %d stay", total, b.Len())
	}
}

func TestMovesKeepToWhatSuccessorsTake(t *testing.T) {
	s := settings()
	s.NodeRate = 10
	// Of two successors one has just started: together they take 10 + 2 and, as it warms up, 10 + 6 a second.
	nodes := up(0, 0, start)
	b := newBed(s, nodes)
	b.open("a", 500)
	b.SetNodes(b.now, nodes[1:])
	moved, forced := 0, 0
	most := 0.0
	perSecond := 0
	for range 10 {
		perSecond = 0
		b.run(time.Second, b.alive, func(a Action) {
			if a.Kind == CloseNow {
				forced++
			} else {
				perSecond++
			}
			b.Closed(a.ID)
		})
		most = max(most, float64(perSecond))
		moved += perSecond
	}
	if most > 16+3 || moved < 120 || moved > 145 {
		t.Errorf("%d moved, %v in a second at most", moved, most)
	}
	b.run(2*time.Second, b.alive, func(a Action) { forced++; b.Closed(a.ID) })
	if moved+forced != 500 || b.Len() != 0 {
		t.Errorf("%d moved, %d forced, %d are left", moved, forced, b.Len())
	}
}

func TestStragglersAreToldThenCut(t *testing.T) {
	b := newBed(settings(), up(0, 0))
	b.open("a", 20)
	b.SetNodes(b.now, up(0, 0)[1:])
	kinds := map[ID][]Kind{}
	b.run(15*time.Second, b.alive, func(a Action) { kinds[a.ID] = append(kinds[a.ID], a.Kind) })
	for id, got := range kinds {
		if !slices.Equal(got, []Kind{CloseAfterMessage, CloseNow, Abort}) {
			t.Errorf("channel %d: %v", id, got)
		}
	}
	if len(kinds) != 20 {
		t.Errorf("%d were told", len(kinds))
	}
}

func TestServerThatStaysKeepsWhoWasNotTold(t *testing.T) {
	b := newBed(settings(), up(0, 0))
	b.open("a", 100)
	b.SetNodes(b.now, up(0, 0)[1:])
	told := 0
	count := func(a Action) { told++; b.Closed(a.ID) }
	b.run(5*time.Second, b.alive, count)
	b.SetNodes(b.now, up(0, 0))
	half := told
	b.run(20*time.Second, b.alive, count)
	if told != half || half < 45 || half > 55 {
		t.Errorf("%d told in half the window, %d in all", half, told)
	}
}

func TestRoomThatDrainsServerByServer(t *testing.T) {
	s := settings()
	s.NodeRate = 20
	nodes := up(0, 0, 0, 0, 0, 0)
	b := newBed(s, nodes)
	for _, n := range nodes[:3] {
		b.open(n.ID, 100)
	}
	perSecond := map[int]int{}
	begun := b.now
	count := func(a Action) { perSecond[int((b.now-begun-1)/time.Second)]++; b.Closed(a.ID) }
	for i := range 3 {
		b.SetNodes(b.now, nodes[i+1:])
		b.run(time.Second, b.alive, count)
	}
	b.run(12*time.Second, b.alive, count)
	total := 0
	for second, n := range perSecond {
		total += n
		if n > 65+5 {
			t.Errorf("%d move in second %d, and the three that stay take 60", n, second)
		}
	}
	if total != 300 {
		t.Errorf("%d moved", total)
	}
}

func TestProxyThatEndsMovesAll(t *testing.T) {
	b := newBed(settings(), up(0, 0))
	b.open("a", 100)
	b.open("b", 100)
	b.Shutdown(b.now, 2*time.Second)
	n := 0
	b.run(2*time.Second+TickInterval, b.alive, func(a Action) {
		if a.Code != frame.GoingAway {
			t.Fatalf("%+v", a)
		}
		n++
		b.Closed(a.ID)
	})
	if n != 200 {
		t.Errorf("%d told", n)
	}
	if a := b.Admit(b.now, 0, nil); a.Admitted || a.RetryAfter <= 0 {
		t.Errorf("%+v while the proxy ends", a)
	}
	if b.AllowUpgrade(b.now, "a") {
		t.Error("an upgrade may go out while the proxy ends")
	}
}

func TestColdServerTakesItsShareOfUpgrades(t *testing.T) {
	b := newBed(settings(), up(0, start))
	got := map[string]int{}
	for range 100 {
		b.now += 10 * ms
		for _, id := range []string{"a", "b"} {
			for range 5 {
				if b.AllowUpgrade(b.now, id) {
					got[id]++
				}
			}
		}
	}
	if got["a"] < 100 || got["a"] > 126 || got["b"] < 20 || got["b"] > 29 {
		t.Errorf("in a second %v, want about 100 and 20 to 24, with a quarter second's burst", got)
	}
	for _, id := range []string{"gone"} {
		if b.AllowUpgrade(b.now, id) {
			t.Errorf("%s may be used", id)
		}
	}
}

// client is one that wants a channel, and comes again as it is told.
type client struct {
	at     time.Duration
	ticket *ticket.Ticket
	turned int
	in     time.Duration
}

// storm lets clients come until all are in, and counts who is let in each second. obeys says whether one comes again.
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
			t.Fatalf("%d clients are not in after %v", q.Len()+1, until)
		}
		for ; tick < c.at; tick += TickInterval {
			p.Tick(tick, nil)
			if step != nil {
				step(tick)
			}
		}
		a := p.Admit(c.at, 0, c.ticket)
		if a.Admitted {
			c.in = c.at
			perSecond[int((c.at-start)/time.Second)]++
			p.OpenFailed(0) // they are not what this is about
			continue
		}
		if a.RetryAfter <= 0 {
			t.Fatal("refused without a wait")
		}
		c.turned++
		k := a.Ticket
		c.ticket = &k
		c.at += a.RetryAfter
		heap.Push(q, c)
	}
	return perSecond
}

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

// crowd is n clients that come within a time.
func crowd(n int, within time.Duration, dice *rand.Rand) []*client {
	var all []*client
	for range n {
		all = append(all, &client{at: start + time.Duration(dice.Int64N(int64(within)))})
	}
	return all
}

func TestStormIsLetInAtTheStatedRate(t *testing.T) {
	s := settings()
	s.Rate = 500
	p := New(s, 1)
	p.SetNodes(start, up(0, 0, 0, 0, 0, 0, 0, 0)) // 800 a second
	clients := crowd(10_000, 2*time.Second, rand.New(rand.NewPCG(1, 1)))
	perSecond := storm(t, p, clients, 5*time.Minute, nil)
	last := 0
	for second, n := range perSecond {
		last = max(last, second)
		if n > 500+125+1 {
			t.Errorf("%d in second %d", n, second)
		}
	}
	if last > 26 {
		t.Errorf("all are in after %d s; at 500 a second 20 would do", last)
	}
	slices.SortFunc(clients, func(a, b *client) int { return b.turned - a.turned })
	if clients[0].turned > 4 {
		t.Errorf("one was turned away %d times", clients[0].turned)
	}
	t.Logf("all in by second %d; the most often turned away: %d", last, clients[0].turned)
}

func TestWaitingClientsGoBeforeNewOnes(t *testing.T) {
	s := settings()
	s.Rate = 100
	p := New(s, 1)
	p.SetNodes(start, up(0, 0))
	dice := rand.New(rand.NewPCG(2, 1))
	old := crowd(1000, 100*ms, dice)
	var fresh []*client
	for _, c := range crowd(1000, time.Second, dice) {
		c.at += 3 * time.Second
		fresh = append(fresh, c)
	}
	storm(t, p, append(slices.Clone(old), fresh...), 5*time.Minute, nil)
	lastOld, firstFresh := slices.MaxFunc(old, byIn).in, slices.MinFunc(fresh, byIn).in
	if lastOld > firstFresh+2*time.Second {
		t.Errorf("a new one is in %v before the last of those who wait", lastOld-firstFresh)
	}
}

func byIn(a, b *client) int { return cmp.Compare(a.in, b.in) }

func TestClientsThatComeAtOnceForEverDoNotHoldTheOthersUp(t *testing.T) {
	s := settings()
	s.Rate = 100
	p := New(s, 1)
	p.SetNodes(start, up(0, 0))
	dice := rand.New(rand.NewPCG(3, 1))
	good := crowd(1000, time.Second, dice)
	admitted := 0
	// Fifty clients that keep no ticket and come again every 20 ms.
	perSecond := storm(t, p, good, 5*time.Minute, func(now time.Duration) {
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
	// The rate alone would take 10 s. Up to two minutes' places can go to those who never claim them.
	if last > 90 {
		t.Errorf("the last is in after %d s", last)
	}
	t.Logf("1,000 are in after %d s; the impatient were let in %d times", last, admitted)
}

func TestTicketLetsInOnce(t *testing.T) {
	s := settings()
	s.Rate = 1
	p := New(s, 1)
	p.SetNodes(start, up(0))
	if !p.Admit(start, 0, nil).Admitted {
		t.Fatal("the first is not let in")
	}
	a := p.Admit(start, 0, nil)
	k := a.Ticket
	now := start + a.RetryAfter
	if !p.Admit(now, 0, &k).Admitted {
		t.Fatal("not let in when told to come")
	}
	if p.Admit(now, 0, &k).Admitted {
		t.Error("the same ticket lets in twice")
	}
	if p.Admit(now+10*ms, 0, &k).Ticket.Nonce == k.Nonce {
		t.Error("a used ticket's place is given again")
	}
}

func TestLimits(t *testing.T) {
	s := settings()
	s.MaxChannels, s.MaxTenantChannels = 10, 4
	p := New(s, 1)
	p.SetNodes(start, up(0))
	in := map[int]int{}
	for range 8 {
		for tenant := -1; tenant < 3; tenant++ {
			if a := p.Admit(start, tenant, nil); a.Admitted {
				in[tenant]++
			} else if !a.LimitReached || a.RetryAfter <= 0 {
				t.Fatalf("%+v", a)
			}
		}
	}
	total := 0
	for tenant, n := range in {
		if total += n; n > 4 {
			t.Errorf("tenant %d has %d", tenant, n)
		}
	}
	if total != 10 {
		t.Errorf("%d are let in, want 10", total)
	}
	p.OpenFailed(-1)
	if !p.Admit(start+time.Second, -1, nil).Admitted {
		t.Error("a place that came free is not given")
	}
}

func TestNobodyIsLetInWithoutServers(t *testing.T) {
	p := New(settings(), 1)
	if a := p.Admit(start, 0, nil); a.Admitted || a.RetryAfter < 30*time.Second/2 {
		t.Errorf("%+v", a)
	}
}

func TestEndsArePingedAndGivenUp(t *testing.T) {
	for _, dead := range []Side{Client, Server} {
		b := newBed(settings(), up(0))
		b.open("a", 1)
		opened := b.now
		heard := [NumSides]time.Duration{opened, opened}
		look := func(ID) [NumSides]Activity { return [NumSides]Activity{{LastRead: heard[0]}, {LastRead: heard[1]}} }
		pings, over := 0, time.Duration(0)
		b.run(5*time.Minute, look, func(a Action) {
			switch {
			case a.Kind == Park:
			case over > 0:
				t.Fatalf("%+v after the end", a)
			case a.Kind == Ping && a.Side != dead:
				heard[a.Side] = b.now
				pings++
			case a.Kind == Ping:
			case a.Kind == PeerTimeout && a.Side == dead:
				over = b.now - opened
				b.Closed(a.ID)
			default:
				t.Fatalf("%+v", a)
			}
		})
		if want := 40 * time.Second; over < want || over > want+time.Second {
			t.Errorf("side %d: given up after %v, want %v", dead, over, want)
		}
	}
}

func TestQuietChannelsLiveOnAndCostAPingEach(t *testing.T) {
	b := newBed(settings(), up(0))
	b.open("a", 1000)
	heard := map[ID][NumSides]time.Duration{}
	type a2 struct {
		ID
		Side
	}
	rests := map[a2]bool{}
	opened := b.now
	look := func(id ID) [NumSides]Activity {
		h, ok := heard[id]
		if !ok {
			h = [NumSides]time.Duration{opened, opened}
		}
		return [NumSides]Activity{{LastRead: h[0], Parked: rests[a2{id, Client}]}, {LastRead: h[1], Parked: rests[a2{id, Server}]}}
	}
	pings := 0
	b.run(5*time.Minute, look, func(a Action) {
		if a.Kind == Park && !rests[a2{a.ID, a.Side}] {
			rests[a2{a.ID, a.Side}] = true // for good, as the ends' pongs take no time here
			return
		}
		if a.Kind != Ping {
			t.Fatalf("%+v", a)
		}
		pings++
		h := heard[a.ID]
		if h == ([NumSides]time.Duration{}) {
			h = [NumSides]time.Duration{opened, opened}
		}
		h[a.Side] = b.now
		heard[a.ID] = h
	})
	if len(rests) != 2*1000 {
		t.Errorf("%d ends rest", len(rests))
	}
	if want := 2 * 1000 * 10; pings < want*8/10 || pings > want {
		t.Errorf("%d pings in 5 minutes, want about %d", pings, want)
	}
}

func TestSlowFrames(t *testing.T) {
	for _, k := range []struct {
		rate int64 // bytes a second
		held bool
		ends bool
	}{{1, false, true}, {900, false, true}, {1100, false, false}, {1, true, false}} {
		t.Run(fmt.Sprint(k.rate, k.held), func(t *testing.T) {
			b := newBed(settings(), up(0))
			b.open("a", 1)
			begun := b.now
			look := func(ID) [NumSides]Activity {
				a := b.alive(0)
				a[Client].FrameStart, a[Client].Blocked = begun, k.held
				a[Client].FrameBytes = int64((b.now - begun).Seconds() * float64(k.rate))
				return a
			}
			ended := false
			b.run(2*time.Minute, look, func(a Action) {
				if a.Kind != FrameTimeout || a.Side != Client {
					t.Fatalf("%+v", a)
				}
				ended = true
				b.Closed(a.ID)
			})
			if ended != k.ends {
				t.Errorf("ended: %t, want %t", ended, k.ends)
			}
		})
	}
}

func TestIdleChannelsEnd(t *testing.T) {
	s := settings()
	s.IdleTimeout = time.Minute
	b := newBed(s, up(0))
	b.open("a", 2)
	opened := b.now
	look := func(id ID) [NumSides]Activity {
		a := b.alive(id)
		if id == 1 {
			a[0].LastMessage, a[1].LastMessage = opened, opened
		}
		return a
	}
	var got []Action
	b.run(3*time.Minute, look, func(a Action) { got = append(got, a) })
	if len(got) != 1 || got[0].ID != 1 || got[0].Kind != CloseAfterMessage || got[0].Code != frame.GoingAway {
		t.Errorf("%+v", got)
	}
}

// plainWheel keeps times in a map.
type plainWheel map[*entry]time.Duration

func TestWheelAgainstAPlainOne(t *testing.T) {
	for seed := range uint64(50) {
		dice := rand.New(rand.NewPCG(seed, 0))
		var w wheel
		plain := plainWheel{}
		entries := make([]*entry, 60)
		for i := range entries {
			entries[i] = &entry{}
		}
		now := start
		for range 400 {
			now += time.Duration(dice.Int64N(int64(2 * time.Second)))
			for e := w.due(now); e != nil; e = w.due(now) {
				at, set := plain[e]
				if !set || at > now {
					t.Fatalf("seed %d: out %v early", seed, at-now)
				}
				delete(plain, e)
			}
			for e, at := range plain {
				if at+wheelStep <= now {
					t.Fatalf("seed %d: late by %v", seed, now-at)
				}
				_ = e
			}
			for range 5 {
				e := entries[dice.IntN(len(entries))]
				if dice.IntN(4) == 0 {
					w.remove(e)
					delete(plain, e)
				} else {
					at := now + wheelStep + time.Duration(dice.Int64N(int64(90*time.Second)))
					w.put(e, now, at)
					plain[e] = at
				}
			}
		}
	}
}

// TestBooksBalance plays random events against plain counts.
func TestBooksBalance(t *testing.T) {
	for seed := range uint64(100) {
		dice := rand.New(rand.NewPCG(seed, 7))
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
			now += time.Duration(dice.Int64N(int64(500 * ms)))
			switch dice.IntN(6) {
			case 0:
				clear(usable)
				var nodes []Node
				for _, n := range up(0, 0, 0, start, now) {
					if dice.IntN(3) > 0 {
						n.Usable = dice.IntN(4) > 0
						nodes = append(nodes, n)
						usable[n.ID] = n.Usable
					}
				}
				p.SetNodes(now, nodes)
			case 1, 2:
				tenant := dice.IntN(4) - 1
				if p.Admit(now, tenant, nil).Admitted {
					opening = append(opening, tenant)
				}
			case 3:
				if len(opening) > 0 {
					tenant := opening[0]
					opening = opening[1:]
					id := string(rune('a' + dice.IntN(5)))
					if may := p.AllowUpgrade(now, id); may && !usable[id] {
						t.Fatalf("seed %d: %s may be used", seed, id)
					} else if may || dice.IntN(3) == 0 { // the answer of one that was sent before
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
						t.Fatalf("seed %d: a channel of a server in use is told to go", seed)
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
					t.Fatalf("seed %d: %s holds %d, want %d", seed, id, n, held[id])
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
				t.Fatalf("seed %d: %v, want %v", seed, p.tenants, byTenant)
			}
			for tenant, n := range byTenant {
				if p.tenants[tenant] != n || n > 15 {
					t.Fatalf("seed %d: tenant %d has %d, want %d", seed, tenant, p.tenants[tenant], n)
				}
			}
			if len(open)+len(opening) > 40 {
				t.Fatalf("seed %d: over the limit", seed)
			}
		}
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{1000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			bed := newBed(settings(), up(0, 0, 0))
			bed.open("a", n)
			for b.Loop() {
				bed.now += TickInterval
				bed.Tick(bed.now, bed.alive)
			}
		})
	}
}

func BenchmarkAskInAStorm(b *testing.B) {
	p := New(settings(), 1)
	p.SetNodes(start, up(0, 0, 0))
	now := start
	for b.Loop() {
		now += 10 * time.Microsecond
		p.Admit(now, 0, nil)
	}
}

// timeHeap is the plain structure beside the wheel: one heap by time.
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

// BenchmarkTimers sets one of many times anew, on the wheel, on a heap and as runtime timers.
func BenchmarkTimers(b *testing.B) {
	for _, n := range []int{1000, 100_000} {
		dice := rand.New(rand.NewPCG(1, 1))
		ahead := func() time.Duration { return wheelStep + time.Duration(dice.Int64N(int64(40*time.Second))) }
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
