package revival

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"brasswell/balance"
	"brasswell/internal/cluster/schedule"
	"brasswell/internal/handover"
	"brasswell/internal/state"
)

var (
	returns = flag.Int("returns", 60, "number of simulated fleet restarts")
	proxies = flag.Int("proxies", 20, "number of proxies in each simulation")
)

// classes are in the order of a settings file, which differs from the order of value. The demand is 100 requests a second in total.
var (
	classes = []Class{{"search", 1}, {"hold", 10}, {"record", 4}}
	demand  = []float64{60, 15, 25}
)

const sec = time.Second

// fleet simulates many proxies on one clock. The other proxies learn of a new member some time after its start. Messages take 1 ms, and
// some are lost.
type fleet struct {
	t        testing.TB
	now      time.Duration
	queue    schedule.Queue[func()]
	rng      *rand.Rand
	members  []*member
	byName   map[string]*member
	lossRate float64
}

// member is one proxy of a fleet.
type member struct {
	fleet      *fleet
	name       string
	start      time.Duration
	core       *Core
	kind       Kind
	shares     []float64
	steps      []Step
	stepTimes  []time.Duration
	firstAdmit time.Duration // when requests were admitted first
}

func (m *member) SendReport(to string, r *Report) {
	s := m.fleet
	if s.rng.Float64() < s.lossRate {
		return
	}
	text, err := r.Encode()
	if err != nil {
		s.t.Fatal(err)
	}
	s.queue.Push(s.now+time.Millisecond, func() {
		if p := s.byName[to]; p.core != nil {
			got, err := Decode(text)
			if err != nil {
				s.t.Fatal(err)
			}
			p.core.ReceiveReport(s.now, got)
		}
	})
}
func (m *member) RestoreState(k Kind, _ time.Duration) { m.kind = k }
func (m *member) SetShares(shares []float64) {
	if m.firstAdmit == 0 {
		m.firstAdmit = m.fleet.now
	}
	m.shares = slices.Clone(shares)
	// A more valuable class must not get a smaller share.
	for i := range classes {
		for j := range classes {
			if classes[i].Value > classes[j].Value && shares[i] < shares[j] {
				m.fleet.t.Errorf("%s admits %v of %s and %v of %s", m.name, shares[i], classes[i].Name, shares[j], classes[j].Name)
			}
		}
	}
}
func (m *member) StepChanged(to Step, _ string) {
	m.steps, m.stepTimes = append(m.steps, to), append(m.stepTimes, m.fleet.now)
}

func newFleet(t testing.TB, seed uint64, n int, set func(i int, s *Settings), start func(i int) time.Duration, startTimes func(now time.Duration) []time.Duration) *fleet {
	s := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 0)), lossRate: 0.05, byName: map[string]*member{}}
	for i := range n {
		m := &member{fleet: s, name: fmt.Sprint("n", i+1), start: start(i)}
		s.members = append(s.members, m)
		s.byName[m.name] = m
		s.queue.Push(m.start, func() {
			conf := Settings{Name: m.name, InstanceID: s.rng.Uint64(), Classes: classes, ColdCapacity: 0.3, WarmUp: 10 * sec, Demand: demand, Times: DefaultTimes()}
			if set != nil {
				set(i, &conf)
			}
			m.core = New(s.now, conf, seed, m)
			s.scheduleTick(m)
			// Discovery answers after up to 2 s, which may be after the time limit of the step.
			s.queue.Push(s.now+time.Duration(s.rng.Float64()*float64(2*sec)), func() { m.core.SetList(s.now, true, startTimes(s.now)) })
		})
		s.queue.Push(m.start+300*time.Millisecond, func() { s.updateMembers() })
	}
	return s
}

// updateMembers notifies each proxy of the live members.
func (s *fleet) updateMembers() {
	var living []string
	for _, p := range s.members {
		if p.core != nil {
			living = append(living, p.name)
		}
	}
	for _, p := range s.members {
		if p.core != nil {
			p.core.SetMembers(s.now, living)
		}
	}
}

func (s *fleet) scheduleTick(o *member) {
	next := o.core.Next()
	s.queue.Push(max(next, s.now+time.Millisecond), func() {
		if s.now >= o.core.Next() {
			o.core.Tick(s.now)
		}
		s.scheduleTick(o)
	})
}

func (s *fleet) run(until time.Duration) {
	for {
		at, f, due := s.queue.Pop(until)
		if !due {
			break
		}
		s.now = at
		f()
	}
	s.now = until
}

// maxStartup returns how long a proxy may take from its start until it is done.
func maxStartup() time.Duration {
	t := DefaultTimes()
	return t.Peers + t.Rules + t.Lists + time.Duration(t.WarmUpFactor*float64(10*sec)) + 2*planInterval
}

// simulateFleetRestart restarts all proxies over some seconds, with backends that restart cold over 8 s. The proxies don't know the
// warm capacity of the backends: it is 1.2 to 3 times the demand. Backends serve requests in the order of their arrival, without regard
// to value, and the demand is three times as high at first. valueShare is the value of the served requests, as a share of the value that
// the backends could have served if the most valuable requests had come first.
func simulateFleetRestart(t testing.TB, seed uint64, n int, set func(i int, s *Settings)) (s *fleet, valueShare float64) {
	spread := time.Duration(seed%5) * 4 * sec
	rng := rand.New(rand.NewPCG(seed, 1))
	backendStarts := make([]time.Duration, 40)
	for i := range backendStarts {
		backendStarts[i] = time.Duration(rng.Float64() * float64(8*sec))
	}
	s = newFleet(t, seed, n, func(i int, conf *Settings) {
		if conf.FleetSize = n; set != nil {
			set(i, conf)
		}
	}, func(int) time.Duration { return time.Duration(rng.Float64() * float64(spread)) }, func(now time.Duration) (in []time.Duration) {
		for _, b := range backendStarts {
			if b <= now {
				in = append(in, b)
			}
		}
		return in
	})
	warmRate := 100 * (1.2 + 1.8*rng.Float64())
	value, maxValue := 0.0, 0.0
	const step = 50 * time.Millisecond
	for at := time.Duration(0); at < spread+maxStartup(); at += step {
		s.queue.Push(at, func() {
			capacity := 0.0
			for _, b := range backendStarts {
				if b <= s.now {
					capacity += warmRate / float64(len(backendStarts)) * (0.3 + 0.7*min(float64(s.now-b)/float64(10*sec), 1)) * step.Seconds()
				}
			}
			surge := max(3-2*s.now.Seconds()/10, 1) * step.Seconds()
			in, all := make([]float64, len(classes)), 0.0
			for class := range classes {
				for _, p := range s.members {
					if p.firstAdmit > 0 {
						in[class] += p.shares[class] * surge * demand[class] / float64(len(s.members))
					}
				}
				all += in[class]
			}
			served := min(capacity/max(all, 1e-9), 1)
			for _, class := range []int{1, 2, 0} {
				possible := min(surge*demand[class], capacity)
				capacity -= possible
				if s.now > spread+4*sec {
					value, maxValue = value+in[class]*served*classes[class].Value, maxValue+possible*classes[class].Value
				}
			}
			for _, p := range s.members {
				if p.firstAdmit > 0 {
					counts := make([]Count, len(classes))
					for class := range counts {
						received := surge * demand[class] * 20 // enough to reach minSamples
						counts[class] = Count{received, p.shares[class] * received, p.shares[class] * received * (1 - served)}
					}
					p.core.AddCounts(s.now, counts)
				}
			}
		})
	}
	s.run(spread + maxStartup() + sec)
	return s, value / maxValue
}

// TestFleetRestarts checks that each proxy detects a fleet restart, that more valuable classes are admitted first, that the backends
// serve most of the value that they can, and that no step exceeds its time limit.
func TestFleetRestarts(t *testing.T) {
	var all []float64
	for seed := range uint64(*returns) {
		s, valueShare := simulateFleetRestart(t, seed, *proxies, nil)
		all = append(all, valueShare)
		for _, p := range s.members {
			if p.kind != FleetRestart {
				t.Fatalf("seed %d: %s takes a fleet restart for a %v: %s", seed, p.name, p.kind, p.core.why)
			}
			if last := p.stepTimes[len(p.stepTimes)-1] - p.start; p.steps[len(p.steps)-1] != Done || last > maxStartup() {
				t.Fatalf("seed %d: %s has taken the steps %v after %v", seed, p.name, p.steps, last)
			}
			if p.shares[0] != 1 || p.firstAdmit-p.start > 5*sec {
				t.Fatalf("seed %d: %s admits shares %v at the end, and the first request after %v", seed, p.name, p.shares, p.firstAdmit-p.start)
			}
		}
	}
	slices.Sort(all)
	t.Logf("share of the value that the backends could have served: worst %.3f, p10 %.3f, p50 %.3f", all[0], all[len(all)/10], all[len(all)/2])
	if all[len(all)/10] < 0.8 {
		t.Errorf("the 10th percentile of the served value is %.3f of the possible value, want at least 0.8", all[len(all)/10])
	}
}

// TestDefencesRaiseServedValue checks that the backends serve less value if fleet restarts are not detected, or if all classes are
// admitted at once.
func TestDefencesRaiseServedValue(t *testing.T) {
	mean := func(set func(i int, s *Settings)) (sum float64) {
		const runs = 10
		for seed := range uint64(runs) {
			_, valueShare := simulateFleetRestart(t, 5*seed, 8, set) // the seeds with which all proxies start at the same time
			sum += valueShare / runs
		}
		return sum
	}
	with := mean(nil)
	for name, set := range map[string]func(int, *Settings){
		"fleet restart detection": func(_ int, s *Settings) { s.NoFleetRestart = true }, "staged admission": func(_ int, s *Settings) { s.NoStagedAdmission = true },
	} {
		without := mean(set)
		t.Logf("%.3f with all defences, %.3f without %s", with, without, name)
		if without > with-0.03 {
			t.Errorf("the served value is %.3f without %s and %.3f with it: the simulation does not show its effect", without, name, with)
		}
	}
}

// TestRestarts restarts some proxies of a running fleet, up to a third of it at once. Each must recognise a restart, be done, and admit
// requests within 4 s of its start.
func TestRestarts(t *testing.T) {
	for seed := range uint64(100) {
		n, restarted := 12, 1+int(seed%4)
		s := newFleet(t, seed, n, func(_ int, s *Settings) { s.FleetSize = n }, func(i int) time.Duration {
			if i < restarted {
				return 10 * time.Minute
			}
			return time.Duration(i) * sec
		}, func(time.Duration) []time.Duration { return make([]time.Duration, 40) })
		s.run(10*time.Minute + 10*sec)
		for _, p := range s.members[:restarted] {
			if p.kind != Restart || p.core.step != Done || p.firstAdmit-p.start > 4*sec {
				t.Fatalf("seed %d, %d restarted: %s takes it for a %v (%s), is at step %v, and admits requests after %v", seed, restarted, p.name, p.kind, p.core.why, p.core.step, p.firstAdmit-p.start)
			}
		}
	}
}

// TestRollingRestart restarts all proxies of a running fleet, one after another, within the time in which each counts as just started.
// None of them may take it for a fleet restart.
func TestRollingRestart(t *testing.T) {
	const n = 12
	s := newFleet(t, 1, n, func(_ int, s *Settings) { s.FleetSize = n }, func(i int) time.Duration { return time.Duration(i) * time.Millisecond }, func(time.Duration) []time.Duration { return make([]time.Duration, 40) })
	s.run(5 * time.Minute)
	for i, p := range s.members {
		s.queue.Push(s.now+time.Duration(i)*2*sec, func() {
			p.start, p.kind, p.firstAdmit = s.now, Undecided, 0
			p.core = New(s.now, Settings{Name: p.name, InstanceID: s.rng.Uint64(), FleetSize: n, Classes: classes, ColdCapacity: 0.3, WarmUp: 10 * sec, Demand: demand, Times: DefaultTimes()}, 2, p)
			p.core.SetList(s.now, true, make([]time.Duration, 40))
			s.scheduleTick(p)
			s.updateMembers()
		})
	}
	s.run(s.now + 60*sec)
	for _, p := range s.members {
		if p.kind != Restart || p.core.step != Done {
			t.Errorf("%s takes it for a %v: %s", p.name, p.kind, p.core.why)
		}
	}
}

// TestNoPeersMeansFleetRestart checks that a proxy that gets no report assumes a fleet restart, and still serves within its time limit.
// The same holds for a fleet of one, but not if its machine has kept running since the state was saved.
func TestNoPeersMeansFleetRestart(t *testing.T) {
	for name, c := range map[string]struct {
		set  func(i int, s *Settings)
		want Kind
	}{
		"no reports":              {func(_ int, s *Settings) { s.UsesRules = true }, FleetRestart},
		"fleet of one":            {func(_ int, s *Settings) { s.Standalone = true }, FleetRestart},
		"fleet of one, no reboot": {func(_ int, s *Settings) { s.Standalone, s.SameMachineBoot = true, true }, Restart},
		"fleet of two":            {func(_ int, s *Settings) { s.FleetSize = 2 }, FleetRestart},
		"no saved state":          {func(_ int, s *Settings) { s.Standalone, s.Demand = true, nil }, FleetRestart},
	} {
		s := newFleet(t, 1, 1, c.set, func(int) time.Duration { return 0 }, func(time.Duration) []time.Duration { return make([]time.Duration, 10) })
		s.run(maxStartup() + sec)
		p := s.members[0]
		if p.kind != c.want || p.core.step != Done || p.firstAdmit > 5*sec || p.shares[0] != 1 {
			t.Errorf("%s: a %v, step %v at the end, admits requests after %v", name, p.kind, p.core.step, p.firstAdmit)
		}
	}
}

// TestStepsEndWithoutListOrLease checks that no step waits forever if neither a list nor a lease arrives.
func TestStepsEndWithoutListOrLease(t *testing.T) {
	m := &member{fleet: &fleet{t: t, rng: rand.New(rand.NewPCG(1, 1))}, name: "n1"}
	c := New(0, Settings{Name: "n1", Standalone: true, UsesRules: true, Classes: classes, ColdCapacity: 0.3, WarmUp: 10 * sec, Times: DefaultTimes()}, 1, m)
	for now := time.Duration(0); now < maxStartup(); now = c.Next() {
		m.fleet.now = now
		c.Tick(now)
		if c.Next() <= now {
			t.Fatalf("Next returns %v again, in step %v", now, c.step)
		}
	}
	if !slices.Equal(m.steps, []Step{Rules, Lists, Admitting, Done}) {
		t.Errorf("steps %v at %v", m.steps, m.stepTimes)
	}
}

// TestInitialStateFollowsTrust checks InitialState against the table of TrustIn.
func TestInitialStateFollowsTrust(t *testing.T) {
	now := 1000 * time.Hour
	saved := &state.Learned{Knowledge: handover.State{
		Addresses: map[string]string{"a": "127.0.0.1:1"}, LongestDeadline: 3 * sec,
		Balancer: balance.Snapshot{
			Servers: []balance.ServerSnapshot{
				{Entry: balance.Entry{ID: "a", Boot: now - time.Hour}, Ejected: now + 1000*time.Hour, FailRun: 5, ColdTokens: 9, Resumed: now + 50*time.Hour},
				{Entry: balance.Entry{ID: "d", State: balance.Draining}}, {Entry: balance.Entry{ID: "g", State: balance.Gone}},
			},
			Banned: []string{"old"}, Limit: 50, Retries: 9, Quota: []float64{7}, Served: 100, Warm: 12, Classes: make([]balance.ClassSnapshot, 3),
		},
	}}
	fresh, old, unknown := state.Age{Max: 10 * sec}, state.Age{Min: time.Hour, Max: 60 * 24 * time.Hour}, state.Age{Max: state.UnknownAge}
	for _, c := range []struct {
		kind          Kind
		age           state.Age
		warm, healthy bool
		classStats    int
	}{
		{Restart, fresh, true, true, 3}, {Restart, old, true, false, 0}, {Restart, unknown, true, false, 3}, {FleetRestart, fresh, false, false, 3}, {FleetRestart, unknown, false, false, 0},
	} {
		got, trustedSince := InitialState(c.kind, c.age, []string{"by operator"}, saved, now, 10)
		b := &got.Balancer
		if !slices.Equal(b.Banned, []string{"by operator"}) || len(b.Servers) != 2 || b.Servers[1].Entry.State != balance.Draining || got.Seq != -1 || len(b.Quota) > 0 || b.Retries != 0 {
			t.Errorf("%v, %v: %+v", c.kind, c.age, got)
		}
		a := b.Servers[0]
		if warm := a.Entry.Boot == now-time.Hour && trustedSince == 0; warm != c.warm || !c.warm && (a.Entry.Boot != now || trustedSince != now) || a.ColdTokens != 0 || a.Resumed > now {
			t.Errorf("%v, %v: %+v, start times trusted since %v", c.kind, c.age, a, trustedSince)
		}
		if healthy := a.FailRun == 5 && b.Limit == 50; healthy != c.healthy || a.Ejected > now+maxHealthAge {
			t.Errorf("%v, %v: %+v, limit %v", c.kind, c.age, a, b.Limit)
		}
		if rate := map[bool]float64{true: 12, false: minFleetWarmRate / 10.}[c.age.Max <= maxWarmRateAge]; b.Warm != rate {
			t.Errorf("%v, %v: warm rate %v, want %v", c.kind, c.age, b.Warm, rate)
		}
		if len(b.Classes) != c.classStats {
			t.Errorf("%v, %v: %d class stats", c.kind, c.age, len(b.Classes))
		}
	}
	if got, _ := InitialState(FleetRestart, unknown, []string{"x"}, nil, now, 10); got.Seq != -1 || !slices.Equal(got.Balancer.Banned, []string{"x"}) {
		t.Errorf("without saved state: %+v", got)
	}
	for _, b := range StateItems() {
		if b.String() == "" || TrustIn(FleetRestart, unknown, b).String() == "" {
			t.Errorf("state item %d has no name", b)
		}
	}
}

func FuzzDecode(f *testing.F) {
	text, _ := (&Report{Name: "n1", InstanceID: 7, Uptime: sec, Step: Admitting, Kind: FleetRestart, AdmittingFor: sec}).Encode()
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := Decode(text)
		if err != nil {
			return
		}
		m := &member{fleet: &fleet{t: t, rng: rand.New(rand.NewPCG(1, 1)), lossRate: 1}, name: "n0"}
		c := New(0, Settings{Name: "n0", Classes: classes, WarmUp: 10 * sec, Times: DefaultTimes()}, 1, m)
		c.ReceiveReport(sec/2, r)
		for now := sec; now < maxStartup(); now = max(c.Next(), now+planInterval) {
			m.fleet.now = now
			c.Tick(now)
		}
		if c.step != Done {
			t.Fatalf("one message keeps a proxy in step %v forever: %+v", c.step, r)
		}
	})
}
