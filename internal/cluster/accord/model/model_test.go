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

var stories = flag.Int("stories", 24, "how many drawn stories are played")

// settle is how long after the last fault all must be well.
const settle = 5 * time.Second

func seconds(s float64) story.Duration { return story.Duration(s * float64(time.Second)) }

// drawn is a story of 40 s.
func drawn(seed uint64, members, keepers int) *story.Story {
	return story.Unruly(seed, members, keepers, 40*time.Second)
}

func play(t *testing.T, c Config) *Fleet {
	t.Helper()
	f, err := New(c)
	if err != nil {
		t.Fatal(err)
	}
	f.Run(time.Duration(c.Scenario.Length) + settle)
	f.Check()
	return f
}

func TestCalm(t *testing.T) {
	s := &story.Story{Name: "calm", Members: 5, Seed: 1, Period: seconds(0.3), Length: seconds(10), Keepers: 3, Changes: 5}
	f := play(t, Config{Scenario: s})
	if g := &f.Results; len(g.Violations) > 0 || g.LeasedBreach > 0 || g.Agreed < 20 || g.Agreed != g.Proposed {
		t.Errorf("%d of %d agreed; contradictions for %v; %v", g.Agreed, g.Proposed, g.LeasedBreach, g.Violations)
	}
}

// TestDrawnStories: whatever happens, nobody who holds a lease contradicts another, nothing acknowledged is lost, and all agree
// at the end.
func TestDrawnStories(t *testing.T) {
	var sum struct {
		sync.Mutex
		agreed, proposed, leaders, reads      int
		deltas, wholes, corrupted, mismatches int
		alone                                 time.Duration
	}
	t.Run("all", func(t *testing.T) {
		for seed := range uint64(*stories) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				keepers := 3 + 2*int(seed%2)
				c := Config{Scenario: drawn(seed, 5+int(seed%4), keepers), Drift: 0.02, CrashRate: 0.001}
				mix(&c, seed)
				f := play(t, c)
				g := &f.Results
				if g.LeasedBreach > 0 || len(g.Violations) > 0 {
					t.Errorf("contradictions for %v; %q", g.LeasedBreach, g.Violations)
				}
				if g.StaleReads > 0 || g.Reads == 0 {
					t.Errorf("%d of %d reads did not know what was in force", g.StaleReads, g.Reads)
				}
				if !linearizable(g.Answers) {
					t.Error("the versions that proposers were told of are in no order that time allows")
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
	t.Logf("%d of %d changes agreed, %d times a leader, %d reads; alone for %v at most", sum.agreed, sum.proposed, sum.leaders, sum.reads, sum.alone)
	t.Logf("%d standings sent as differences and %d whole; %d disks held another document, %d found so", sum.deltas, sum.wholes, sum.corrupted, sum.mismatches)
	if sum.agreed < sum.proposed/2 {
		t.Errorf("%d of %d changes agreed", sum.agreed, sum.proposed)
	}
	if sum.deltas == 0 || sum.wholes == 0 || sum.corrupted == 0 || sum.mismatches == 0 {
		t.Error("differences, whole standings and corrupted disks are not all played")
	}
}

// mix makes some of a story's members programs from before there were differences: of three stories one has none of them and corrupted
// disks, one has them beside voters that are none and corrupted disks, and one has them among voters too. Those know of no digests, so
// that no disk is corrupted where one of them may lead. In every other pair of stories no difference goes with a grant. In every fourth
// writes of the disk take time, and what arrives meanwhile is taken in together.
func mix(c *Config, seed uint64) {
	keepers := c.Scenario.Keepers
	names := c.Scenario.Names()
	older := map[string]bool{}
	switch seed % 3 {
	case 0:
		c.CorruptRate = 0.5
	case 1:
		c.CorruptRate = 0.5
		older[names[keepers]] = true
	case 2:
		for i, name := range names {
			older[name] = (seed/3+uint64(i))%2 == 0
		}
	}
	c.AdjustSettings = func(s *accord.Settings) {
		s.NoDeltas = older[s.Name]
		if seed/2%2 == 1 {
			s.MaxInlineDelta = 1 // all is long, and leases rest on what proxies have
		}
	}
	if seed%4 == 3 {
		c.WriteTime = 5 * time.Millisecond
	}
}

// linearizable says whether there is one order of all answered changes in which each is made between its asking and its telling, and
// versions grow. What was not answered may have come anywhere, and leaves gaps.
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

// TestTheCheckerOfOrderChecks: an answer that came before another was asked for and has the higher version is found.
func TestTheCheckerOfOrderChecks(t *testing.T) {
	if !linearizable([]Answer{{1, 5, 3}, {2, 4, 2}, {6, 7, 9}}) || linearizable([]Answer{{1, 2, 3}, {4, 5, 2}}) {
		t.Error("it takes what cannot be, or does not take what can")
	}
}

// TestManyChangesAtOnce: with disks that take a sixth of a renewal's patience for each write, a fleet agrees on as many changes as can be
// on their way, proposed at one time, in few writes and messages, and nobody loses a lease meanwhile.
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
	saves, told := g.Writes-before.Writes, g.Deltas-before.Deltas
	t.Logf("in force after %v; %d writes, %d differences sent, %d leases lost", slices.Max(g.InForce), saves, told, g.LeasesLost-before.LeasesLost)
	if len(g.Violations) > 0 || g.LeasedBreach > 0 || g.Agreed != changes || len(g.InForce) != changes {
		t.Errorf("%d of %d agreed, %d in force; contradictions for %v; %q", g.Agreed, changes, len(g.InForce), g.LeasedBreach, g.Violations)
	}
	if lost := g.LeasesLost - before.LeasesLost; lost > 0 {
		t.Errorf("%d leases lost", lost)
	}
	// A few batches, each with its two steps; one by one each change would have cost that much.
	if mostSaves, mostTold := int64(voters*changes), changes/2*members; saves > mostSaves || told > mostTold {
		t.Errorf("%d writes, %d differences sent; %d and %d at most", saves, told, mostSaves, mostTold)
	}
}

// TestTimeWithoutLeader: after a leader is killed another leads within the stated time, less what it waits for leases.
func TestTimeWithoutLeader(t *testing.T) {
	var all []time.Duration
	for seed := range uint64(60) {
		s := &story.Story{
			Name: "leaders die", Members: 5, Seed: seed, Period: seconds(0.3), Length: seconds(12), Keepers: 3, Changes: 2,
			Events: []story.Event{
				{At: seconds(3), For: seconds(3), Do: story.Kill, Who: []string{"n1"}}, {At: seconds(8), For: seconds(3), Do: story.Kill, Who: []string{"n2"}},
			},
		}
		g := &play(t, Config{Scenario: s, Drift: 0.02}).Results
		if len(g.Violations) > 0 || g.LeasedBreach > 0 || g.StaleReads > 0 {
			t.Errorf("seed %d: %q, contradictions for %v, %d stale", seed, g.Violations, g.LeasedBreach, g.StaleReads)
		}
		all = append(all, g.Leaderless...)
	}
	slices.Sort(all)
	if len(all) < 30 {
		t.Fatalf("nobody led %d times; a leader was to be killed about 60 times", len(all))
	}
	t.Logf("without a leader %d times: p50 %v, worst %v", len(all), all[len(all)/2], all[len(all)-1])
	if bound := accord.DefaultTimes().ConvergenceBound(); all[len(all)-1] > bound {
		t.Errorf("for %v, and %v is stated", all[len(all)-1], bound)
	}
}

// TestKeepersComeTogether: the first message to a keeper that is taken in is lost, or the founder dies at the write before it. The log
// is not left with one voter for good.
func TestKeepersComeTogether(t *testing.T) {
	for _, seed := range []uint64{151, 4969, 5096, 5180, 5295, 5662, 6107, 6258, 6366, 6964, 8489, 8510, 9128} {
		f := play(t, Config{Scenario: drawn(seed, 5+int(seed%4), 3+2*int(seed%2)), Drift: 0.02, CrashRate: 0.001})
		if g := &f.Results; g.Agreed < g.Proposed/2 || len(g.Violations) > 0 || g.LeasedBreach > 0 {
			t.Errorf("seed %d: %d of %d agreed, contradictions for %v; %q", seed, g.Agreed, g.Proposed, g.LeasedBreach, g.Violations)
		}
	}
}

// TestEachDefenceCounts: with each defence taken out the checker finds what it guards against.
func TestEachDefenceCounts(t *testing.T) {
	for name, defence := range map[string]struct {
		set     func(*accord.Settings)
		corrupt float64
		first   uint64 // seed, where it takes many to find it
	}{
		"no lease check": {set: func(s *accord.Settings) { s.NoLeaseCheck = true }},
		"no prepared":    {set: func(s *accord.Settings) { s.NoPreparePhase = true }},
		"no wait":        {set: func(s *accord.Settings) { s.NoLeaderWait = true }},
		"no confirm":     {set: func(s *accord.Settings) { s.NoQuorumCheck = true }},
		"no digest":      {set: func(s *accord.Settings) { s.NoDigestCheck = true }, corrupt: 0.5},
		"no enforcing":   {set: func(s *accord.Settings) { s.NoEnforcingCheck, s.MaxInlineDelta = true, 1 }, first: 147},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := defence.first; seed < defence.first+400; seed++ {
				f := play(t, Config{Scenario: drawn(seed, 6, 3), Drift: 0.02, AdjustSettings: defence.set, CorruptRate: defence.corrupt})
				if f.Results.LeasedBreach > 0 {
					t.Logf("found with seed %d, for %v", seed, f.Results.LeasedBreach)
					return
				}
			}
			t.Error("nothing is found without it")
		})
	}
}

// TestMajorityLostForGood: one keeper goes on alone with what was agreed, and the others, when they come back after all, do not
// undo it.
func TestMajorityLostForGood(t *testing.T) {
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
			t.Error("one that is no keeper goes on alone")
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
				t.Fatalf("seed %d: %s has %v in force, reign %d", seed, m, s.InForce.Doc.Bans, s.Term)
			}
		}
		f.Run(35 * second)
		f.Check()
		for _, m := range s.Names() {
			if s := f.Status(m); len(s.InForce.Doc.Bans) != 2 || s.Term != 1 {
				t.Errorf("seed %d: once the others are back %s has %v in force, reign %d", seed, m, s.InForce.Doc.Bans, s.Term)
			}
		}
		if g := &f.Results; len(g.Violations) > 0 || g.LeasedBreach > 0 {
			t.Errorf("seed %d: contradictions for %v; %q", seed, g.LeasedBreach, g.Violations)
		}
	}
}

// TestFullDisks: a keeper that cannot store says nothing that rests on it and keeps no longer; with one of three the others go on,
// and it goes on as any proxy.
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

// TestRing: five keepers of which each hears only its neighbours; whoever leads has a majority with them, and all others reach it
// through others.
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
			t.Errorf("seed %d: %d changes and %d and %d times a leader; contradictions for %v; %q", seed, before, g.Agreed-before, g.Leaders, g.LeasedBreach, g.Violations)
		}
	}
}

// TestOneWay: a leader whose messages arrive and who hears nobody gives way, and one who hears and is not heard does too.
func TestOneWay(t *testing.T) {
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
				t.Errorf("seed %d, heard %v: %d changes and %d, %d times a leader; contradictions for %v; %q", seed, to, before, g.Agreed-before, g.Leaders, g.LeasedBreach, g.Violations)
			}
		}
	}
}

// TestAtRest: nothing is written while nothing changes, and messages are few.
func TestAtRest(t *testing.T) {
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
		t.Errorf("%d writes in a minute in which nothing changed", n)
	}
	each := func(n int64) float64 { return float64(n) / 60 / 9 }
	t.Logf("for each of 9 proxies %.1f messages and %.0f bytes a second", each(after.Messages-before.Messages), each(after.Bytes-before.Bytes))
	if n := each(after.Messages - before.Messages); n > 20 {
		t.Errorf("%.1f messages a second from each proxy", n)
	}
}

// TestAllDieAtOnce: three seconds after all processes were started again each holds a lease, also the one that leads.
func TestAllDieAtOnce(t *testing.T) {
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
				t.Errorf("seed %d: %s is %v 3 s after a start of all", seed, p.name, mode)
			}
		}
		f.Run(12 * time.Second)
		f.Check()
		if g := &f.Results; len(g.Violations) > 0 || g.LeasedBreach > 0 {
			t.Errorf("seed %d: contradictions for %v; %q", seed, g.LeasedBreach, g.Violations)
		}
	}
}

// TestVersionsOfTheProgramDiffer: a change that one proxy does not understand is turned away while that is there, keeper or not. Once it
// is gone the change is agreed; back with its old program it acts on nothing that it half understands: it holds no lease.
func TestVersionsOfTheProgramDiffer(t *testing.T) {
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
		later := func(id string) rules.Change { return rules.Change{ID: id, Kind: rules.Suspend, Server: "a", Form: 2} }
		f.Run(3 * time.Second)
		if err := f.Propose("n4", later("first")); err != nil {
			t.Fatal(err)
		}
		f.Run(5 * time.Second)
		if got := f.Status("n4"); got.Last() != 1 {
			t.Errorf("%s does not understand version %d", old, got.Last())
		}
		f.Kill(old)
		f.Run(20 * time.Second)
		if err := f.Propose("n4", later("second")); err != nil {
			t.Fatal(err)
		}
		f.Run(25 * time.Second)
		if got := f.Status("n4"); got.InForce.Number != 2 || got.Form != 2 {
			t.Errorf("without %s: %+v", old, got)
		}
		f.Start(old)
		f.Run(30 * time.Second)
		if got := f.Status(old); got.Last() > 1 || f.Mode(old) == accord.Leased {
			t.Errorf("%s acts on version %d, which it does not understand, %v", old, got.Last(), f.Mode(old))
		}
		// A change that all understand is made on the document as it stands, which the old one does not.
		if err := f.Propose("n4", rules.Change{ID: "third", Kind: rules.Suspend, Server: "b"}); err != nil {
			t.Fatal(err)
		}
		f.Run(35 * time.Second)
		if got := f.Status("n1"); got.InForce.Number != 3 || f.Results.LeasedBreach > 0 || f.Results.StaleReads > 0 {
			t.Errorf("after it: version %d, contradictions for %v, %d stale", got.InForce.Number, f.Results.LeasedBreach, f.Results.StaleReads)
		}
	}
}
