package model

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"brasswell/internal/cluster/accord"
	"brasswell/internal/cluster/rules"
	"brasswell/internal/rig/story"
)

var scenarios = flag.Int("stories", 24, "number of random scenarios to run")

// settleTime is the time after the last fault within which the fleet must recover.
const settleTime = 5 * time.Second

func seconds(s float64) story.Duration { return story.Duration(s * float64(time.Second)) }

// randomScenario returns a random scenario of 40 s.
func randomScenario(seed uint64, members, voters int) *story.Story {
	return story.Unruly(seed, members, voters, 40*time.Second)
}

func run(t *testing.T, c Config) *Fleet {
	t.Helper()
	f, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	f.Run(time.Duration(c.Scenario.Length) + settleTime)
	f.Check()
	return f
}

func TestNoFaults(t *testing.T) {
	s := &story.Story{Name: "calm", Members: 5, Seed: 1, Period: seconds(0.3), Length: seconds(10), Keepers: 3, Changes: 5}
	f := run(t, Config{Scenario: s})
	if g := &f.Results; len(g.Violations) > 0 || g.LeasedBreach > 0 || g.Agreed < 20 || g.Agreed != g.Proposed {
		t.Errorf("%d of %d agreed; contradictions for %v; %v", g.Agreed, g.Proposed, g.LeasedBreach, g.Violations)
	}
}

// TestRandomScenarios checks under random faults that no proxies with leases contradict each other, that no
// acknowledged change is lost, and that all agree at the end.
func TestRandomScenarios(t *testing.T) {
	var sum struct {
		sync.Mutex
		agreed, proposed, leaders, reads      int
		deltas, wholes, corrupted, mismatches int
		alone                                 time.Duration
	}
	t.Run("all", func(t *testing.T) {
		for seed := range uint64(*scenarios) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				voters := 3 + 2*int(seed%2)
				c := Config{Scenario: randomScenario(seed, 5+int(seed%4), voters), Drift: 0.02, CrashRate: 0.001}
				varyConfig(&c, seed)
				f := run(t, c)
				g := &f.Results
				if g.LeasedBreach > 0 || len(g.Violations) > 0 {
					t.Errorf("contradictions for %v; %q", g.LeasedBreach, g.Violations)
				}
				if g.StaleReads > 0 || g.Reads == 0 {
					t.Errorf("%d of %d reads did not know a version that was in force", g.StaleReads, g.Reads)
				}
				if !linearizable(g.Answers) {
					t.Error("the acknowledged versions are not linearizable")
				}
				sum.Lock()
				defer sum.Unlock()
				sum.agreed, sum.proposed, sum.leaders, sum.alone = sum.agreed+g.Agreed, sum.proposed+g.Proposed, sum.leaders+g.Leaders, max(sum.alone, g.AloneBreach)
				sum.reads += g.Reads
				sum.deltas, sum.wholes = sum.deltas+g.Deltas, sum.wholes+g.Wholes
				sum.corrupted, sum.mismatches = sum.corrupted+g.CorruptDisks, sum.mismatches+g.Mismatches
			})
		}
	})
	t.Logf("%d of %d changes agreed, %d elections, %d reads; contradictions without a lease for at most %v", sum.agreed, sum.proposed, sum.leaders, sum.reads, sum.alone)
	t.Logf("%d deltas and %d whole statuses sent; %d disks with another document, %d detected", sum.deltas, sum.wholes, sum.corrupted, sum.mismatches)
	if sum.agreed < sum.proposed/2 {
		t.Errorf("%d of %d changes agreed", sum.agreed, sum.proposed)
	}
	if sum.deltas == 0 || sum.wholes == 0 || sum.corrupted == 0 || sum.mismatches == 0 {
		t.Error("the scenarios do not cover all of deltas, whole statuses and corrupt disks")
	}
}

// varyConfig varies the configuration by the seed. Of three scenarios one has corrupt disks and no older programs, one
// has corrupt disks and an older program that is not a voter, and one has older programs among the voters too. Older
// programs predate deltas and have no digests, so disks are not corrupted where one of them may lead. In every other
// pair of scenarios grants contain no deltas. In every fourth scenario disk writes take time, and messages that arrive
// meanwhile are received together.
func varyConfig(c *Config, seed uint64) {
	voters := c.Scenario.Keepers
	names := c.Scenario.Names()
	older := map[string]bool{}
	switch seed % 3 {
	case 0:
		c.CorruptRate = 0.5
	case 1:
		c.CorruptRate = 0.5
		older[names[voters]] = true
	case 2:
		for i, name := range names {
			older[name] = (seed/3+uint64(i))%2 == 0
		}
	}
	c.AdjustSettings = func(s *accord.Settings) {
		s.NoDeltas = older[s.Name]
		if seed/2%2 == 1 {
			s.MaxInlineDelta = 1 // every delta is too long for a grant, so that leases cover the versions that proxies have
		}
	}
	if seed%4 == 3 {
		c.WriteTime = 5 * time.Millisecond
	}
}

// linearizable reports whether there is an order of all answered changes in which each takes effect between its
// proposal and its result and the versions increase. Changes without a result may have taken effect at any time, and
// leave gaps.
func linearizable(answers []Answer) bool {
	var ops []porcupine.Operation
	for i, a := range answers {
		ops = append(ops, porcupine.Operation{ClientId: i, Call: int64(a.ProposedAt), Return: int64(a.AnsweredAt), Output: a.Version})
	}
	return porcupine.CheckOperations(porcupine.Model{
		Init: func() any { return uint64(1) },
		Step: func(state, _, output any) (bool, any) { return output.(uint64) > state.(uint64), output },
	}, ops)
}

// TestLinearizabilityChecker checks that linearizable rejects a change that has a higher version than one that was
// proposed after its result.
func TestLinearizabilityChecker(t *testing.T) {
	if !linearizable([]Answer{{1, 5, 3}, {2, 4, 2}, {6, 7, 9}}) || linearizable([]Answer{{1, 2, 3}, {4, 5, 2}}) {
		t.Error("linearizable accepts an impossible order or rejects a possible one")
	}
}

// TestManyChangesAtOnce proposes the maximum number of pending changes at one time, with disks that take a sixth of a
// renewal's timeout per write. The fleet must agree on all of them with few writes and messages, and no proxy may lose
// its lease.
func TestManyChangesAtOnce(t *testing.T) {
	const members, voters, changes = 40, 5, rules.MaxPending
	s := &story.Story{Name: "at once", Members: members, Seed: 1, Period: seconds(0.3), Length: seconds(12), Keepers: voters}
	f, err := New(Config{Scenario: s, Drift: 0.02, WriteTime: accord.DefaultTimes().RequestTimeout / 6})
	if err != nil {
		t.Fatal(err)
	}
	f.Run(8 * time.Second)
	before := f.Results
	for i := range changes {
		id := fmt.Sprint("ban-", i)
		if err := f.Propose(s.Names()[voters+i], rules.Change{ID: id, Kind: rules.Suspend, Server: id}); err != nil {
			t.Fatal(err)
		}
	}
	f.Run(time.Duration(s.Length))
	f.Check()
	g := &f.Results
	writes, deltas := g.Writes-before.Writes, g.Deltas-before.Deltas
	t.Logf("in force after %v; %d writes, %d deltas sent, %d leases lost", slices.Max(g.InForce), writes, deltas, g.LeasesLost-before.LeasesLost)
	if len(g.Violations) > 0 || g.LeasedBreach > 0 || g.Agreed != changes || len(g.InForce) != changes {
		t.Errorf("%d of %d agreed, %d in force; contradictions for %v; %q", g.Agreed, changes, len(g.InForce), g.LeasedBreach, g.Violations)
	}
	if lost := g.LeasesLost - before.LeasesLost; lost > 0 {
		t.Errorf("%d leases lost", lost)
	}
	// A few batches suffice, each with its two steps. The limits are the costs of the changes one by one.
	if maxWrites, maxDeltas := int64(voters*changes), changes/2*members; writes > maxWrites || deltas > maxDeltas {
		t.Errorf("%d writes, %d deltas sent; at most %d and %d are allowed", writes, deltas, maxWrites, maxDeltas)
	}
}

// TestTimeWithoutLeader checks that another voter leads within ConvergenceBound after the leader is killed. The time in
// which a new leader waits for old leases to expire is not included.
func TestTimeWithoutLeader(t *testing.T) {
	var all []time.Duration
	for seed := range uint64(60) {
		s := &story.Story{
			Name: "leaders die", Members: 5, Seed: seed, Period: seconds(0.3), Length: seconds(12), Keepers: 3, Changes: 2,
			Events: []story.Event{
				{At: seconds(3), For: seconds(3), Do: story.Kill, Who: []string{"n1"}}, {At: seconds(8), For: seconds(3), Do: story.Kill, Who: []string{"n2"}},
			},
		}
		g := &run(t, Config{Scenario: s, Drift: 0.02}).Results
		if len(g.Violations) > 0 || g.LeasedBreach > 0 || g.StaleReads > 0 {
			t.Errorf("seed %d: %q, contradictions for %v, %d stale", seed, g.Violations, g.LeasedBreach, g.StaleReads)
		}
		all = append(all, g.Leaderless...)
	}
	slices.Sort(all)
	if len(all) < 30 {
		t.Fatalf("there was no leader %d times; about 60 leaders should have been killed", len(all))
	}
	t.Logf("without a leader %d times: p50 %v, worst %v", len(all), all[len(all)/2], all[len(all)-1])
	if bound := accord.DefaultTimes().ConvergenceBound(); all[len(all)-1] > bound {
		t.Errorf("no leader for %v; the bound is %v", all[len(all)-1], bound)
	}
}

// TestVotersFormLog guards against a log that stays with one voter permanently, after the first message to a voter that
// is being added is lost, or the founder crashes at the write before it.
func TestVotersFormLog(t *testing.T) {
	for _, seed := range []uint64{151, 4969, 5096, 5180, 5295, 5662, 6107, 6258, 6366, 6964, 8489, 8510, 9128} {
		f := run(t, Config{Scenario: randomScenario(seed, 5+int(seed%4), 3+2*int(seed%2)), Drift: 0.02, CrashRate: 0.001})
		if g := &f.Results; g.Agreed < g.Proposed/2 || len(g.Violations) > 0 || g.LeasedBreach > 0 {
			t.Errorf("seed %d: %d of %d agreed, contradictions for %v; %q", seed, g.Agreed, g.Proposed, g.LeasedBreach, g.Violations)
		}
	}
}

// TestEachSafeguardIsNeeded checks that the checker finds a contradiction if any one of the safeguards is disabled.
func TestEachSafeguardIsNeeded(t *testing.T) {
	for name, safeguard := range map[string]struct {
		set     func(*accord.Settings)
		corrupt float64
		first   uint64 // first seed, if many are needed to find a contradiction
	}{
		"no lease check": {set: func(s *accord.Settings) { s.NoLeaseCheck = true }},
		"no prepared":    {set: func(s *accord.Settings) { s.NoPreparePhase = true }},
		"no wait":        {set: func(s *accord.Settings) { s.NoLeaderWait = true }},
		"no confirm":     {set: func(s *accord.Settings) { s.NoQuorumCheck = true }},
		"no digest":      {set: func(s *accord.Settings) { s.NoDigestCheck = true }, corrupt: 0.5},
		"no enforcing":   {set: func(s *accord.Settings) { s.NoEnforcingCheck, s.MaxInlineDelta = true, 1 }, first: 147},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := safeguard.first; seed < safeguard.first+400; seed++ {
				f := run(t, Config{Scenario: randomScenario(seed, 6, 3), Drift: 0.02, AdjustSettings: safeguard.set, CorruptRate: safeguard.corrupt})
				if f.Results.LeasedBreach > 0 {
					t.Logf("found with seed %d, for %v", seed, f.Results.LeasedBreach)
					return
				}
			}
			t.Error("no contradiction was found without this safeguard")
		})
	}
}

// TestMajorityLostPermanently checks that one voter refounds the log alone with the agreed rules, and that the others
// do not undo its changes when they return.
func TestMajorityLostPermanently(t *testing.T) {
	second := time.Second
	for seed := range uint64(20) {
		s := &story.Story{Name: "for good", Members: 5, Seed: seed, Period: seconds(0.3), Length: seconds(30), Keepers: 3, Events: []story.Event{
			{At: seconds(5), For: seconds(15), Do: story.Kill, Who: []string{"n2", "n3"}},
		}}
		f, err := New(Config{Scenario: s, Drift: 0.02})
		if err != nil {
			t.Fatal(err)
		}
		ban := func(id, server string) rules.Change { return rules.Change{ID: id, Kind: rules.Suspend, Server: server} }
		f.Run(3 * second)
		if err := f.Propose("n5", ban("before", "node-00")); err != nil {
			t.Fatal(err)
		}
		f.Run(8 * second)
		if err := f.Refound("n4"); err == nil {
			t.Error("a proxy that is not a voter refounded the log")
		}
		if err := f.Refound("n1"); err != nil {
			t.Fatal(err)
		}
		f.Run(11 * second)
		if err := f.Propose("n4", ban("after", "node-01")); err != nil {
			t.Fatal(err)
		}
		f.Run(15 * second)
		for _, m := range []string{"n1", "n4", "n5"} {
			if s := f.Status(m); len(s.InForce.Doc.Bans) != 2 || s.Term != 1 {
				t.Fatalf("seed %d: %s has %v in force, term %d", seed, m, s.InForce.Doc.Bans, s.Term)
			}
		}
		f.Run(35 * second)
		f.Check()
		for _, m := range s.Names() {
			if s := f.Status(m); len(s.InForce.Doc.Bans) != 2 || s.Term != 1 {
				t.Errorf("seed %d: after the others returned %s has %v in force, term %d", seed, m, s.InForce.Doc.Bans, s.Term)
			}
		}
		if g := &f.Results; len(g.Violations) > 0 || g.LeasedBreach > 0 {
			t.Errorf("seed %d: contradictions for %v; %q", seed, g.LeasedBreach, g.Violations)
		}
	}
}

// TestFullDisks checks that a voter with a full disk sends nothing that depends on the failed write and stops voting.
// With one of three disks full, the other voters continue, and the proxy with the full disk continues without voting.
func TestFullDisks(t *testing.T) {
	for seed := range uint64(10) {
		s := &story.Story{Name: "full", Members: 5, Seed: seed, Period: seconds(0.3), Length: seconds(15), Keepers: 3, Changes: 4}
		f, err := New(Config{Scenario: s, Drift: 0.02})
		if err != nil {
			t.Fatal(err)
		}
		f.Run(5 * time.Second)
		before := f.Results.Agreed
		f.FillDisk([]string{"n1", "n2", "n3"}[seed%3])
		f.Run(20 * time.Second)
		f.Check()
		if g := &f.Results; len(g.Violations) > 0 || g.LeasedBreach > 0 || g.Agreed < before+20 {
			t.Errorf("seed %d: %d changes before and %d after; contradictions for %v; %q", seed, before, g.Agreed-before, g.LeasedBreach, g.Violations)
		}
	}
}

// TestRing has five voters that reach only their neighbours. The leader has a majority with its two neighbours, and all
// others reach it through other proxies.
func TestRing(t *testing.T) {
	for seed := range uint64(10) {
		s := &story.Story{Name: "ring", Members: 7, Seed: seed, Period: seconds(0.3), Length: seconds(25), Keepers: 5, Changes: 2}
		for _, pair := range [][2]string{{"n1", "n3"}, {"n1", "n4"}, {"n2", "n4"}, {"n2", "n5"}, {"n3", "n5"}} {
			s.Events = append(s.Events, story.Event{At: seconds(5), For: seconds(20), Do: story.Cut, Who: pair[:1], With: pair[1:]})
		}
		f, err := New(Config{Scenario: s, Drift: 0.02})
		if err != nil {
			t.Fatal(err)
		}
		f.Run(8 * time.Second)
		before := f.Results.Agreed
		f.Run(30 * time.Second)
		f.Check()
		if g := &f.Results; len(g.Violations) > 0 || g.LeasedBreach > 0 || g.Agreed < before+20 || g.Leaders > 4 {
			t.Errorf("seed %d: %d changes before and %d after, %d elections; contradictions for %v; %q", seed, before, g.Agreed-before, g.Leaders, g.LeasedBreach, g.Violations)
		}
	}
}

// TestOneWayPartition checks that another leader takes over if the leader's messages arrive but it receives none, or
// the reverse.
func TestOneWayPartition(t *testing.T) {
	for seed := range uint64(10) {
		for _, to := range []bool{true, false} {
			s := &story.Story{Name: "one way", Members: 5, Seed: seed, Period: seconds(0.3), Length: seconds(20), Keepers: 3, Changes: 2}
			cut := story.Event{At: seconds(5), For: seconds(15), Do: story.CutTo, Who: []string{"n1"}}
			if !to {
				cut.Who, cut.With = []string{"n2", "n3", "n4", "n5"}, []string{"n1"}
			}
			s.Events = []story.Event{cut}
			f, err := New(Config{Scenario: s, Drift: 0.02})
			if err != nil {
				t.Fatal(err)
			}
			f.Run(9 * time.Second)
			before := f.Results.Agreed
			f.Run(25 * time.Second)
			f.Check()
			if g := &f.Results; len(g.Violations) > 0 || g.LeasedBreach > 0 || g.Agreed < before+8 {
				t.Errorf("seed %d, messages from n1 lost %v: %d changes before and %d after, %d elections; contradictions for %v; %q", seed, to, before, g.Agreed-before, g.Leaders, g.LeasedBreach, g.Violations)
			}
		}
	}
}

// TestIdleFleet checks that without changes nothing is written and few messages are sent.
func TestIdleFleet(t *testing.T) {
	s := &story.Story{Name: "rest", Members: 9, Seed: 1, Period: seconds(0.3), Length: seconds(70), Keepers: 3}
	f, err := New(Config{Scenario: s, Drift: 0.02})
	if err != nil {
		t.Fatal(err)
	}
	f.Run(10 * time.Second)
	before := f.Results
	f.Run(70 * time.Second)
	after := &f.Results
	if n := after.Writes - before.Writes; n != 0 {
		t.Errorf("%d writes in a minute without changes", n)
	}
	each := func(n int64) float64 { return float64(n) / 60 / 9 }
	t.Logf("%.1f messages and %.0f bytes per second from each of 9 proxies", each(after.Messages-before.Messages), each(after.Bytes-before.Bytes))
	if n := each(after.Messages - before.Messages); n > 20 {
		t.Errorf("%.1f messages per second from each proxy", n)
	}
}

// TestRestartOfAllProcesses checks that three seconds after all processes were restarted each has a lease, including
// the leader.
func TestRestartOfAllProcesses(t *testing.T) {
	for seed := range uint64(30) {
		s := &story.Story{Name: "power", Members: 7, Seed: seed, Period: seconds(0.3), Length: seconds(9), Keepers: 5, Changes: 4,
			Events: []story.Event{{At: seconds(5), For: seconds(1), Do: story.Kill}}}
		f, err := New(Config{Scenario: s, Drift: 0.02})
		if err != nil {
			t.Fatal(err)
		}
		f.Run(9 * time.Second)
		for _, p := range f.procs {
			if mode := p.basis.Mode(f.local(p)); mode != accord.Leased {
				t.Errorf("seed %d: %s is %v 3 s after the restart of all processes", seed, p.name, mode)
			}
		}
		f.Run(12 * time.Second)
		f.Check()
		if g := &f.Results; len(g.Violations) > 0 || g.LeasedBreach > 0 {
			t.Errorf("seed %d: contradictions for %v; %q", seed, g.LeasedBreach, g.Violations)
		}
	}
}

// TestMixedProgramVersions checks that a change is refused while a proxy that does not understand it is reachable,
// voter or not. Once that proxy is gone the change is agreed. If it returns with its old program, it gets no lease and
// does not apply the new rules.
func TestMixedProgramVersions(t *testing.T) {
	for _, old := range []string{"n2", "n5"} {
		s := &story.Story{Name: "upgrade", Members: 5, Seed: 3, Period: seconds(0.3), Length: seconds(60), Keepers: 3}
		f, err := New(Config{Scenario: s, AdjustSettings: func(set *accord.Settings) {
			if set.Form = 2; set.Name == old {
				set.Form = 1
			}
		}})
		if err != nil {
			t.Fatal(err)
		}
		newForm := func(id string) rules.Change { return rules.Change{ID: id, Kind: rules.Suspend, Server: "a", Form: 2} }
		f.Run(3 * time.Second)
		if err := f.Propose("n4", newForm("first")); err != nil {
			t.Fatal(err)
		}
		f.Run(5 * time.Second)
		if got := f.Status("n4"); got.Last() != 1 {
			t.Errorf("%s does not understand version %d, which was agreed", old, got.Last())
		}
		f.Kill(old)
		f.Run(20 * time.Second)
		if err := f.Propose("n4", newForm("second")); err != nil {
			t.Fatal(err)
		}
		f.Run(25 * time.Second)
		if got := f.Status("n4"); got.InForce.Number != 2 || got.Form != 2 {
			t.Errorf("without %s: %+v", old, got)
		}
		f.Start(old)
		f.Run(30 * time.Second)
		if got := f.Status(old); got.Last() > 1 || f.Mode(old) == accord.Leased {
			t.Errorf("%s applies version %d, which it does not understand, mode %v", old, got.Last(), f.Mode(old))
		}
		// This change itself needs no new form, but it applies to the current document, which the old program does not
		// understand.
		if err := f.Propose("n4", rules.Change{ID: "third", Kind: rules.Suspend, Server: "b"}); err != nil {
			t.Fatal(err)
		}
		f.Run(35 * time.Second)
		if got := f.Status("n1"); got.InForce.Number != 3 || f.Results.LeasedBreach > 0 || f.Results.StaleReads > 0 {
			t.Errorf("after the third change: version %d, contradictions for %v, %d stale", got.InForce.Number, f.Results.LeasedBreach, f.Results.StaleReads)
		}
	}
}
