package rig_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"brasswell/internal/cluster"
	"brasswell/internal/cluster/agreement"
	"brasswell/internal/cluster/rules"
	"brasswell/internal/rig"
	"brasswell/internal/rig/story"
)

// agreed is a fleet of five with three keepers under load, which plays until end.
type agreed struct {
	*rig.Rig
	t     *testing.T
	story *story.Story
	stop  context.CancelFunc
	done  chan *rig.Result
}

// agree starts one.
func agree(t *testing.T, c rig.Config) *agreed {
	t.Helper()
	s := calm(5, 5*time.Minute)
	s.Load, s.Backends, s.Keepers = 100, 4, 3
	c.Story = s
	a := &agreed{Rig: fleet(t, c), t: t, story: s, done: make(chan *rig.Result, 1)}
	a.leased(s.Names()...)
	a.until(a.leader(), "with three keepers that vote", func(r *agreement.Report) bool { return votes(r) == 3 })
	ctx, stop := context.WithCancel(t.Context())
	a.stop = stop
	t.Cleanup(stop)
	go func() {
		result, err := a.Play(ctx)
		if err != nil {
			t.Error(err)
		}
		a.done <- result
	}()
	return a
}

// leased waits until members hold a lease.
func (a *agreed) leased(members ...string) {
	a.t.Helper()
	for _, m := range members {
		a.until(m, "with a lease", func(r *agreement.Report) bool { return r.Mode == "leased" && r.Version >= 1 })
	}
}

// do fails the test where a fault cannot be caused.
func (a *agreed) do(err error) {
	a.t.Helper()
	if err != nil {
		a.t.Fatal(err)
	}
}

func votes(r *agreement.Report) (n int) {
	for _, v := range r.Voters {
		if v {
			n++
		}
	}
	return n
}

// end ends the play and judges it by the auditor.
func (a *agreed) end() *rig.Result {
	a.t.Helper()
	a.stop()
	result := <-a.done
	if !result.Rules.Kept() {
		a.t.Errorf("%v", result.Rules.Cases)
	}
	return result
}

// report is what a member's console says of rules; nil where it does not answer.
func (a *agreed) report(member string) *agreement.Report {
	code, text, err := a.Ask(a.t.Context(), member, "/v1/rules")
	if err != nil || code != http.StatusOK {
		return nil
	}
	r, err := agreement.ReadReport(text)
	if err != nil {
		a.t.Fatal(err)
	}
	return r
}

// until waits until a member's report is as it must be.
func (a *agreed) until(member, what string, is func(*agreement.Report) bool) *agreement.Report {
	a.t.Helper()
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		r := a.report(member)
		if r != nil && is(r) {
			return r
		}
		if time.Now().After(end) {
			text := "no answer"
			if r != nil {
				text = r.Text()
			}
			a.t.Fatalf("%s: not %s: %s", member, what, text)
		}
	}
}

// leader is the member that leads, once one does.
func (a *agreed) leader() string {
	a.t.Helper()
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, m := range a.story.Names()[:3] {
			if r := a.report(m); r != nil && r.IsLeader {
				return m
			}
		}
	}
	a.t.Fatal("nobody leads")
	return ""
}

// propose has a change agreed at a member, asking again with one id until there is an answer, and returns its version.
func (a *agreed) propose(member string, c rules.Change) uint64 {
	a.t.Helper()
	c.ID, c.Who, c.Why = agreement.NewID(), "test", a.t.Name()
	text, err := json.Marshal(c)
	if err != nil {
		a.t.Fatal(err)
	}
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		code, said, err := a.Tell(a.t.Context(), member, "/v1/rules", string(text))
		if err == nil && code == http.StatusOK {
			var answer rules.Answer
			if err := json.Unmarshal([]byte(said), &answer); err != nil {
				a.t.Fatal(err)
			}
			return answer.Version
		}
		if time.Now().After(end) {
			a.t.Fatalf("%s: %d, %v: %s", member, code, err, said)
		}
	}
}

// inForce waits until a version is in force at members.
func (a *agreed) inForce(version uint64, members ...string) {
	a.t.Helper()
	for _, m := range members {
		a.until(m, fmt.Sprintf("with version %d in force", version), func(r *agreement.Report) bool { return r.Version >= version })
	}
}

// quiet tells the auditor of a ban that is in force, and says how often the backend has been sent to by then.
func (a *agreed) quiet(backend string) int64 {
	time.Sleep(100 * time.Millisecond) // what was written before the yes is read by now
	a.Banned(backend, true)
	return a.Sent(backend)
}

func suspend(server string) rules.Change { return rules.Change{Kind: rules.Suspend, Server: server} }

// TestBanEverywhere: one call at one proxy, and no proxy sends there any more; one more, and all do.
func TestBanEverywhere(t *testing.T) {
	t.Parallel()
	a := agree(t, rig.Config{})
	all := a.story.Names()
	v := a.propose("n5", suspend("node-00"))
	a.inForce(v, all...)
	before := a.quiet("node-00")
	time.Sleep(2 * time.Second)
	if after := a.Sent("node-00"); after != before {
		t.Errorf("%d requests to a backend that is out everywhere", after-before)
	}
	// By hand at one proxy it does not come back before that is agreed.
	if code, text, err := a.Tell(t.Context(), "n2", "/v1/backends/node-00/resume", ""); err != nil || code != http.StatusOK {
		t.Errorf("%d, %v: %s", code, err, text)
	}
	time.Sleep(500 * time.Millisecond)
	if after := a.Sent("node-00"); after != before {
		t.Errorf("%d requests after one proxy put it back", after-before)
	}
	a.Banned("node-00", false)
	a.inForce(a.propose("n1", rules.Change{Kind: rules.Resume, Server: "node-00"}), all...)
	for end := time.Now().Add(20 * time.Second); a.Sent("node-00") == before; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("nothing goes to a backend that is back")
		}
	}
	a.end()
}

// TestPausedProxyKeepsABan: one that was paused when a backend was taken out has requests decided and not yet sent. The ban is in
// force without it, once its lease is over, and when it wakes it sends nothing there.
func TestPausedProxyKeepsABan(t *testing.T) {
	t.Parallel()
	a := agree(t, rig.Config{})
	resume, err := a.Pause("n5")
	a.do(err)
	v := a.propose("n4", suspend("node-01"))
	a.inForce(v, "n1", "n2", "n3", "n4")
	before := a.quiet("node-01")
	time.Sleep(3 * time.Second)
	a.do(resume())
	a.inForce(v, "n5")
	time.Sleep(time.Second)
	if after := a.Sent("node-01"); after != before {
		t.Errorf("%d requests to a backend that is out", after-before)
	}
	a.end()
}

// TestLeaderKilledBetweenTheSteps: a change that is on its way comes into force under the next leader.
func TestLeaderKilledBetweenTheSteps(t *testing.T) {
	t.Parallel()
	a := agree(t, rig.Config{})
	leader := a.leader()
	resume, err := a.Pause("n5") // its lease keeps the change from being in force
	a.do(err)
	v := a.propose("n4", suspend("node-02"))
	a.do(a.Kill(leader))
	others := slices.DeleteFunc(a.story.Names()[:4], func(m string) bool { return m == leader })
	a.inForce(v, others...)
	before := a.quiet("node-02")
	a.do(resume())
	a.inForce(v, "n5")
	time.Sleep(500 * time.Millisecond)
	if after := a.Sent("node-02"); after != before {
		t.Errorf("%d requests to a backend that is out", after-before)
	}
	if next := a.leader(); next == leader {
		t.Errorf("%s leads, and was killed", next)
	}
	a.end()
}

// TestLeaderPausedWakesAsLeader: a leader that was paused for longer than its lease, while another came in its place, grants and
// enforces nothing when it wakes.
func TestLeaderPausedWakesAsLeader(t *testing.T) {
	t.Parallel()
	a := agree(t, rig.Config{})
	leader := a.leader()
	resume, err := a.Pause(leader)
	a.do(err)
	others := slices.DeleteFunc(a.story.Names(), func(m string) bool { return m == leader })
	v := a.propose("n5", suspend("node-00"))
	a.inForce(v, others...)
	before := a.quiet("node-00")
	a.do(resume())
	a.inForce(v, leader)
	a.until(leader, "no leader any more", func(r *agreement.Report) bool { return !r.IsLeader })
	time.Sleep(500 * time.Millisecond)
	if after := a.Sent("node-00"); after != before {
		t.Errorf("%d requests to a backend that is out", after-before)
	}
	a.end()
}

// TestMajorityLost: with two of three keepers gone nothing can be agreed and all go on serving, and say so; once they are back all
// hold leases again, and what was agreed is there.
func TestMajorityLost(t *testing.T) {
	t.Parallel()
	a := agree(t, rig.Config{})
	v := a.propose("n4", suspend("node-03"))
	a.inForce(v, a.story.Names()...)
	before := a.quiet("node-03")
	for _, m := range []string{"n2", "n3"} {
		a.do(a.Kill(m))
	}
	for _, m := range []string{"n1", "n4", "n5"} {
		a.until(m, "alone", func(r *agreement.Report) bool { return r.Mode == "alone" && len(r.Problems) > 0 })
	}
	served := func() (n int64) {
		for i := range 3 {
			n += a.Sent(story.Backend(i))
		}
		return n
	}
	for was, end := served(), time.Now().Add(20*time.Second); served() < was+50; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("nothing is served with no majority of keepers")
		}
	}
	for _, m := range []string{"n2", "n3"} {
		a.do(a.Restart(m, false))
	}
	for _, m := range a.story.Names() {
		a.until(m, "with a lease again", func(r *agreement.Report) bool { return r.Mode == "leased" && r.Version >= v })
	}
	if after := a.Sent("node-03"); after != before {
		t.Errorf("%d requests to a backend that is out", after-before)
	}
	a.end()
}

// TestRefuseWithoutALease: where operators want that, a proxy that no keeper reaches refuses all, at once.
func TestRefuseWithoutALease(t *testing.T) {
	t.Parallel()
	a := agree(t, rig.Config{Refuse: true})
	heal := a.Cut([]string{"n5"}, a.story.Names()[:4])
	a.until("n5", "away", func(r *agreement.Report) bool { return r.Mode == "away" })
	time.Sleep(500 * time.Millisecond)
	heal()
	a.leased("n5")
	result := a.end()
	if result.Tally["n5"].Refused == 0 || result.Tally["n5"].Failed > 0 {
		t.Errorf("%+v", result.Tally["n5"])
	}
}

// TestAKeeperWithoutItsFolder: it comes back under its name with nothing, votes for nothing of before, and is taken in again.
func TestAKeeperWithoutItsFolder(t *testing.T) {
	t.Parallel()
	a := agree(t, rig.Config{})
	joined := func() (n int) {
		for _, e := range a.Events() {
			if e.Who == "n3" && e.Fields["what"] == "joins the keepers' log" {
				n++
			}
		}
		return n
	}
	v := a.propose("n3", suspend("node-00"))
	a.inForce(v, a.story.Names()...)
	first := joined()
	a.do(a.Kill("n3"))
	a.do(a.Restart("n3", true))
	for end := time.Now().Add(20 * time.Second); joined() == first; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("n3 has not joined again")
		}
	}
	a.until("n3", "one of three that vote, with the ban", func(r *agreement.Report) bool { return votes(r) == 3 && r.Version >= v && r.Mode == "leased" })
	a.inForce(a.propose("n3", rules.Change{Kind: rules.Resume, Server: "node-00"}), a.story.Names()...)
	a.end()
}

// TestReachedThroughOthers: one that is cut off from all keepers, and reaches another proxy, keeps its lease through that.
func TestReachedThroughOthers(t *testing.T) {
	t.Parallel()
	a := agree(t, rig.Config{})
	defer a.Cut([]string{"n5"}, []string{"n1", "n2", "n3"})()
	time.Sleep(2 * time.Second) // longer than a lease
	v := a.propose("n1", suspend("node-00"))
	a.inForce(v, "n5")
	before := a.quiet("node-00")
	time.Sleep(time.Second)
	if after := a.Sent("node-00"); after != before {
		t.Errorf("%d requests to a backend that is out", after-before)
	}
	a.inForce(a.propose("n5", suspend("node-01")), "n1", "n4")
	a.end()
}

// TestForeignFolders: the file of another proxy and one that is torn are set aside and told, and keep nobody from starting.
func TestForeignFolders(t *testing.T) {
	t.Parallel()
	a := agree(t, rig.Config{})
	for _, m := range []string{"n4", "n5"} {
		a.do(a.Kill(m))
	}
	four, five := filepath.Join(a.Folder("n4"), "rules.db"), filepath.Join(a.Folder("n5"), "rules.db")
	text, err := os.ReadFile(four)
	a.do(err)
	a.do(os.WriteFile(five, text, 0o600))
	a.do(os.WriteFile(four, text[:len(text)/3], 0o600))
	// The view's own file too: torn at one, another proxy's at the other.
	members, err := os.ReadFile(filepath.Join(a.Folder("n1"), "members"))
	a.do(err)
	a.do(os.WriteFile(filepath.Join(a.Folder("n4"), "members"), members[:len(members)/2], 0o600))
	a.do(os.WriteFile(filepath.Join(a.Folder("n5"), "members"), members, 0o600))
	for _, m := range []string{"n4", "n5"} {
		a.do(a.Restart(m, false))
	}
	for _, m := range []string{"n4", "n5"} {
		a.leased(m)
		eventually(t, a.Rig, m, "with all five", func(c *cluster.Report) bool { return len(c.Members) == 5 && c.Settled })
		aside := false
		for _, e := range a.Events() {
			aside = aside || e.Who == m && strings.Contains(e.Fields["what"], "set aside")
		}
		if !aside {
			t.Errorf("%s does not say that its file was set aside", m)
		}
	}
	a.end()
}

// TestUnrulyStories: faults that overlap, while backends are taken out and put back everywhere. Every send is held against what
// every other proxy had in force at that moment.
func TestUnrulyStories(t *testing.T) {
	t.Parallel()
	seeds := uint64(4)
	if testing.Short() {
		seeds = 1
	}
	for seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := story.Unruly(seed+1, 5, 3, 16*time.Second)
			s.Load = 100
			r := fleet(t, rig.Config{Story: s})
			result, err := r.Play(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			a := &result.Agreed
			if !a.Kept() || !result.Rules.Kept() {
				t.Errorf("with a lease against another for %v, %q; lost %q; rules %v; the longest hold-ups: %v", a.Leased, a.Found, a.Lost, result.Rules.Cases, result.HeldUp)
			}
			if a.Acts == 0 || a.Agreed == 0 {
				t.Errorf("%d sends and %d changes were looked at", a.Acts, a.Agreed)
			}
		})
	}
}

// TestMajorityLostForGood: an operator has the last keeper go on alone. The others come back after all, with their folders of
// before, and do not undo it.
func TestMajorityLostForGood(t *testing.T) {
	t.Parallel()
	a := agree(t, rig.Config{})
	a.inForce(a.propose("n4", suspend("node-00")), a.story.Names()...)
	before := a.quiet("node-00")
	for _, m := range []string{"n2", "n3"} {
		a.do(a.Kill(m))
	}
	a.until("n1", "alone", func(r *agreement.Report) bool { return r.Mode == "alone" })
	if code, text, err := a.Tell(t.Context(), "n1", "/v1/rules/refound", ""); err != nil || code != http.StatusOK {
		t.Fatalf("%d, %v: %s", code, err, text)
	}
	a.leased("n1", "n4", "n5")
	log := a.report("n1").Log
	a.inForce(a.propose("n5", suspend("node-01")), "n1", "n4", "n5")
	for _, m := range []string{"n2", "n3"} {
		a.do(a.Restart(m, false))
	}
	for _, m := range a.story.Names() {
		a.until(m, "on the new log with both bans", func(r *agreement.Report) bool {
			return r.Log == log && len(r.Document.Bans) == 2 && r.Mode == "leased"
		})
	}
	if after := a.Sent("node-00"); after != before {
		t.Errorf("%d requests to a backend that is out", after-before)
	}
	a.end()
}

// TestPowerLossKeepsBans: every process is killed at once after the yes to a ban, and all come back. Nobody sends there, also before
// it has a lease: what was said to be known was on disk.
func TestPowerLossKeepsBans(t *testing.T) {
	t.Parallel()
	a := agree(t, rig.Config{})
	v := a.propose("n5", suspend("node-00"))
	a.inForce(v, a.story.Names()...)
	var dying sync.WaitGroup
	for _, m := range a.story.Names() {
		dying.Go(func() {
			if err := a.Kill(m); err != nil {
				t.Error(err)
			}
		})
	}
	dying.Wait()
	before := a.quiet("node-00")
	for _, m := range a.story.Names() {
		a.do(a.Restart(m, false))
	}
	for _, m := range a.story.Names() {
		a.until(m, "with a lease and the ban", func(r *agreement.Report) bool {
			return r.Mode == "leased" && r.Version >= v && len(r.Document.Bans) == 1
		})
	}
	time.Sleep(500 * time.Millisecond)
	if after := a.Sent("node-00"); after != before {
		t.Errorf("%d requests to a backend that is out", after-before)
	}
	a.Banned("node-00", false)
	a.inForce(a.propose("n1", rules.Change{Kind: rules.Resume, Server: "node-00"}), a.story.Names()...)
	a.end()
}
