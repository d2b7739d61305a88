package rig_test

import (
	"context"
	"errors"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"brasswell/internal/cluster/revival"
	"brasswell/internal/recovery"
	"brasswell/internal/rig"
	"brasswell/internal/rig/story"
)

// cameBack is what a member's console says of its way back; nil where it does not answer.
func cameBack(t *testing.T, r *rig.Rig, member string) *recovery.Report {
	t.Helper()
	code, text, err := r.Ask(t.Context(), member, "/v1/recovery")
	if err != nil || code != http.StatusOK {
		return nil
	}
	got, err := recovery.ReadReport(text)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// back waits until a member has come back to some step, and returns its report.
func back(t *testing.T, r *rig.Rig, member string, steps ...revival.Step) *recovery.Report {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		got := cameBack(t, r, member)
		if got != nil && slices.ContainsFunc(steps, func(s revival.Step) bool { return got.Step == s.String() }) {
			return got
		}
		if time.Now().After(end) {
			t.Fatalf("%s has not come back: %+v", member, got)
		}
	}
}

// loaded plays a calm story of members whose state lasts, under load, until the function that it returns is called.
func loaded(t *testing.T, members int) (r *rig.Rig, end func() *rig.Result) {
	t.Helper()
	s := calm(members, 5*time.Minute)
	s.Load, s.Backends, s.Recover = 100, 4, true
	r = fleet(t, rig.Config{Story: s})
	done := make(chan *rig.Result, 1)
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	go func() {
		result, err := r.Play(ctx)
		if err != nil {
			t.Error(err)
		}
		done <- result
	}()
	return r, func() *rig.Result {
		stop()
		result := <-done
		if !result.Rules.Kept() {
			t.Errorf("%v", result.Rules.Cases)
		}
		return result
	}
}

// TestPowerLossKeepsBansByHand: a backend is taken out by hand at one of five, and all are killed right after the yes, each time. It
// is out there after the start, and put back it is not. All find that this is a return of all and none waits for ever.
func TestPowerLossKeepsBansByHand(t *testing.T) {
	t.Parallel()
	r, end := loaded(t, 5)
	all := []string{"n1", "n2", "n3", "n4", "n5"}
	for round, act := range []string{"suspend", "resume", "suspend"} {
		for _, m := range all {
			back(t, r, m, revival.Done, revival.Admitting)
		}
		if code, text, err := r.Tell(t.Context(), "n2", "/v1/backends/node-01/"+act, ""); err != nil || code != http.StatusOK {
			t.Fatalf("round %d: %d, %v: %s", round, code, err, text)
		}
		power(t, r, all)
		for _, m := range all {
			got := back(t, r, m, revival.Admitting, revival.Done)
			if got.Kind != revival.FleetRestart.String() {
				t.Errorf("round %d: %s takes the loss of all for a %s: %s", round, m, got.Kind, got.Why)
			}
			if want := map[bool]int{true: 1}[m == "n2" && act == "suspend"]; got.Bans != want {
				t.Errorf("round %d: %s found %d bans after %s", round, m, got.Bans, act)
			}
		}
	}
	end()
}

// power kills members at once and starts them again.
func power(t *testing.T, r *rig.Rig, members []string) {
	t.Helper()
	errs := make(chan error, len(members))
	for _, m := range members {
		go func() { errs <- r.Kill(m) }()
	}
	for range members {
		if err := <-errs; err != nil {
			t.Fatal(err)
		}
	}
	for _, m := range members {
		if err := r.Restart(m, false); err != nil {
			t.Fatal(err)
		}
	}
}

// TestRestartOfOne: where the others run on, one that comes back knows that it was away alone, and lets all in at once; also with
// an empty folder.
func TestRestartOfOne(t *testing.T) {
	t.Parallel()
	r, end := loaded(t, 4)
	time.Sleep(6 * time.Second) // until they count as old
	for _, lost := range []bool{false, true} {
		if err := r.Kill("n3"); err != nil {
			t.Fatal(err)
		}
		if err := r.Restart("n3", lost); err != nil {
			t.Fatal(err)
		}
		if got := back(t, r, "n3", revival.Done); got.Kind != revival.Restart.String() {
			t.Errorf("folder lost %v: a %s: %s", lost, got.Kind, got.Why)
		}
	}
	end()
}

// TestAloneWithNothing: one proxy with an empty folder and no other serves once its backends are there.
func TestAloneWithNothing(t *testing.T) {
	t.Parallel()
	r, end := loaded(t, 1)
	back(t, r, "n1", revival.Admitting, revival.Done)
	waitReady(t, r, "n1")
	r.Sent("node-00")
	for until := time.Now().Add(20 * time.Second); r.Sent("node-00")+r.Sent("node-01") == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("nothing is served")
		}
	}
	end()
}

// TestUpgradeTakesTheFolderOver: a new process of a proxy gets the folder when the one before lets go of it, bans by hand included;
// what is said by hand then lasts. Another proxy's file, and one that was cut, keep nobody from starting, and are told.
func TestUpgradeTakesTheFolderOver(t *testing.T) {
	t.Parallel()
	s := calm(3, 5*time.Minute, story.Event{At: at(0.5), Do: story.Upgrade, Who: []string{"n2"}})
	s.Load, s.Recover = 60, true
	r := fleet(t, rig.Config{Story: s})
	say := func(member, backend string) {
		t.Helper()
		for end := time.Now().Add(30 * time.Second); ; time.Sleep(50 * time.Millisecond) {
			code, text, err := r.Tell(t.Context(), member, "/v1/backends/"+backend+"/suspend", "")
			if err == nil && code == http.StatusOK {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%d, %v: %s", code, err, text)
			}
		}
	}
	say("n2", "node-00") // before the upgrade
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	done := make(chan *rig.Result, 1)
	go func() {
		result, err := r.Play(ctx)
		if err != nil {
			t.Error(err)
		}
		done <- result
	}()
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if got := cameBack(t, r, "n2"); got != nil && got.Kind == "upgrade" {
			break
		}
		if time.Now().After(end) {
			t.Fatal("no upgrade")
		}
	}
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if got := cameBack(t, r, "n2"); got != nil && len(got.Problems) == 0 { // nil while the process does not answer
			break
		}
		if time.Now().After(end) {
			t.Fatal("the folder is not handed over")
		}
	}
	say("n2", "node-01")
	power(t, r, []string{"n2"})
	if got := back(t, r, "n2", revival.Admitting, revival.Done); got.Bans != 2 {
		t.Errorf("%d bans after an upgrade and a loss: %+v", got.Bans, got)
	}

	broken := []string{"n1", "n2"}
	for _, m := range broken {
		if err := r.Kill(m); err != nil {
			t.Fatal(err)
		}
	}
	a, b := filepath.Join(r.Folder("n1"), "bans"), filepath.Join(r.Folder("n2"), "bans")
	text, err := os.ReadFile(b)
	if err := errors.Join(err, os.WriteFile(a, text, 0o600), os.WriteFile(b, text[:len(text)/3], 0o600)); err != nil {
		t.Fatal(err)
	}
	for _, m := range broken {
		if err := r.Restart(m, false); err != nil {
			t.Fatal(err)
		}
	}
	for _, m := range broken {
		got := back(t, r, m, revival.Admitting, revival.Done)
		if told := strings.Join(got.Problems, "\n"); got.Bans != 0 || !strings.Contains(told, "put aside") {
			t.Errorf("%s with a file that is not its own: %d bans, %q", m, got.Bans, told)
		}
	}
	stop()
	if result := <-done; !result.Rules.Kept() {
		t.Errorf("%v", result.Rules.Cases)
	}
}

// TestLossesOfPower plays drawn losses: all proxies and all backends die at one moment, the proxies come back over some time, the
// backends cold. No start is refused, no rule broken, and all are let in at the end.
func TestLossesOfPower(t *testing.T) {
	t.Parallel()
	n := uint64(6)
	if testing.Short() {
		n = 1
	}
	for seed := range n {
		s := story.Outage(seed, 5, 18*time.Second)
		result := play(t, fleet(t, rig.Config{Story: s}), s)
		if result.Rules.Served < result.Rules.Asked/3 {
			t.Errorf("seed %d: %d of %d served", seed, result.Rules.Served, result.Rules.Asked)
		}
	}
}
