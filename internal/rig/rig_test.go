package rig_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"brasswell/internal/cluster"
	"brasswell/internal/cluster/codec"
	"brasswell/internal/cluster/view"
	"brasswell/internal/rig"
	"brasswell/internal/rig/history"
	"brasswell/internal/rig/story"
)

// program is the program itself, built once. It is not built with the race detector: its start would take longer than most
// stories, and packages' own tests look for races.
var program rig.Program

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "rig-program")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	program.Path = filepath.Join(folder, "brasswell")
	if out, err := exec.Command("go", "build", "-trimpath", "-o", program.Path, "brasswell/cmd/brasswell").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v: %s", err, out)
		os.Exit(1)
	}
	goleak.VerifyTestMain(m, goleak.Cleanup(func(code int) {
		os.RemoveAll(folder)
		os.Exit(code)
	}))
}

// fleet starts a rig, which ends with the test.
func fleet(t *testing.T, c rig.Config) *rig.Rig {
	t.Helper()
	c.Program, c.Folder = program, t.TempDir()
	r, err := rig.New(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	})
	if err := r.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return r
}

// play plays a rig's story and fails the test unless rules and views are kept.
func play(t *testing.T, r *rig.Rig, s *story.Story) *rig.Result {
	t.Helper()
	result, err := r.Play(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if !result.Verdict.Kept() {
		t.Error(result.Verdict.Explain(s, result.Events))
	}
	if !result.Rules.Kept() {
		t.Errorf("story %s, seed %d: %v", s.Name, s.Seed, result.Rules.Cases)
	}
	if a := &result.Agreed; !a.Kept() || s.Changes > 0 && a.Agreed == 0 {
		t.Errorf("story %s, seed %d: %d changes agreed; with a lease against another for %v, %q; lost %q", s.Name, s.Seed, a.Agreed, a.Leased, a.Found, a.Lost)
	}
	if t.Failed() {
		t.Logf("the longest hold-ups: %v", result.HeldUp)
	}
	return result
}

// TestStories plays every story of the repository with real processes. Verdicts are by order and count: at the end all
// living views are right, nobody who lived and could be reached was held dead, and no rule broke.
func TestStories(t *testing.T) {
	t.Parallel()
	files, err := filepath.Glob("../../docs/stories/*.toml")
	if err != nil || len(files) < 6 {
		t.Fatalf("%d stories, %v", len(files), err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		s, err := story.Read(text)
		if err != nil {
			t.Errorf("%s: %v", file, err)
			continue
		}
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			result := play(t, fleet(t, rig.Config{Story: s}), s)
			if s.Load > 0 && result.Rules.Served < result.Rules.Asked/2 {
				t.Errorf("%d of %d served", result.Rules.Served, result.Rules.Asked)
			}
		})
	}
}

// calm is a story in which nothing happens for a while.
func calm(members int, length time.Duration, events ...story.Event) *story.Story {
	return &story.Story{
		Name: "calm", Members: members, Backends: 2, Seed: 1, Period: story.Duration(300 * time.Millisecond), Length: story.Duration(length), Events: events,
	}
}

func at(seconds float64) story.Duration { return story.Duration(seconds * float64(time.Second)) }

// TestASlowPathToABackendMakesNoSendLate guards the rules on sends: proxies are judged by what they sent when, not by what the switchboard did with it.
func TestASlowPathToABackendMakesNoSendLate(t *testing.T) {
	t.Parallel()
	const longerThanASearchWaits = 1700 // milliseconds
	s := calm(3, 9*time.Second, story.Event{
		At: at(1), For: at(3), Do: story.Delay, Size: longerThanASearchWaits, Who: []string{"n1", "n2", "n3"}, With: []string{story.Backend(0)},
	})
	s.Load = 60
	result := play(t, fleet(t, rig.Config{Story: s}), s)
	if result.Rules.Served < result.Rules.Asked/3 {
		t.Errorf("%d of %d served", result.Rules.Served, result.Rules.Asked)
	}
}

// TestHardCases are those that are no story of docs/stories, with real processes.
func TestHardCases(t *testing.T) {
	t.Parallel()
	first := func(n int) (names []string) {
		for i := range n {
			names = append(names, story.Name(i))
		}
		return names
	}
	some := []story.Event{{At: at(1), For: at(5), Do: story.Cut, Who: []string{"n1", "n2"}}, {At: at(1), For: at(5), Do: story.Cut, Who: []string{"n3", "n4"}}}
	for name, s := range map[string]*story.Story{
		"half killed":        calm(6, 11*time.Second, story.Event{At: at(1), For: at(7), Do: story.Kill, Who: first(3)}),
		"all but one killed": calm(5, 16*time.Second, story.Event{At: at(1), For: at(12), Do: story.Kill, Who: first(4)}),
		"three parts":        calm(6, 11*time.Second, some...),
		"one against all":    calm(5, 11*time.Second, story.Event{At: at(1), For: at(5), Do: story.Cut, Who: first(1)}),
		"cut for 1 s":        calm(5, 7*time.Second, story.Event{At: at(1), For: at(1), Do: story.Cut, Who: first(2)}),
		"half of all lost":   calm(5, 14*time.Second, story.Event{At: at(1), For: at(6), Do: story.Lose, Size: 0.5}),
		"paused for 0.2 s":   calm(5, 5*time.Second, story.Event{At: at(1), For: at(0.2), Do: story.Pause, Who: first(1)}),
		"paused for 2 s":     calm(5, 9*time.Second, story.Event{At: at(1), For: at(2), Do: story.Pause, Who: first(1)}),
		"paused for 20 s":    calm(4, 26*time.Second, story.Event{At: at(1), For: at(20), Do: story.Pause, Who: first(1)}),
		"seeds die, one stays": calm(5, 15*time.Second, story.Event{At: at(1), For: at(8), Do: story.Kill, Who: first(3)},
			story.Event{At: at(5), For: at(1), Do: story.Kill, Who: []string{"n4"}}),
	} {
		s.Name = name
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := fleet(t, rig.Config{Story: s})
			result, err := r.Play(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			v := &result.Verdict
			if name == "half of all lost" {
				v.False = nil // what it costs is measured; here it is that all is well after it
			}
			if !v.Kept() {
				t.Error(v.Explain(s, result.Events))
			}
		})
	}
}

// TestHundredJoin: a hundred processes that start at once all see each other.
func TestHundredJoin(t *testing.T) {
	if testing.Short() {
		t.Skip("a hundred processes")
	}
	s := calm(100, time.Second)
	r := fleet(t, rig.Config{Story: s}) // which returns once all views are right
	for _, m := range []string{"n1", "n50", "n100"} {
		eventually(t, r, m, "with all", func(c *cluster.Report) bool { return c.Settled && len(c.Members) == 100 })
	}
}

// TestReloadChangesSeeds: two parts of a fleet that do not know of each other become one when a reload names a member of the
// other.
func TestReloadChangesSeeds(t *testing.T) {
	t.Parallel()
	s := calm(2, time.Minute)
	r, err := rig.New(rig.Config{Story: s, Program: program, Folder: t.TempDir(), Seeds: []string{"%s", "127.0.0.1:1"}})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	ctx, cancel := context.WithCancel(t.Context())
	started := make(chan error, 1)
	go func() { started <- r.Start(ctx) }() // it waits until they find each other, which they do only after the reload
	for _, m := range []string{"n1", "n2"} {
		waitReady(t, r, m)
		eventually(t, r, m, "alone", func(c *cluster.Report) bool { return len(c.Members) == 1 })
	}
	if err := r.Rewrite("n2", func(text string) string { return strings.Replace(text, "127.0.0.1:1\"", r.Public("n1")+"\"", 1) }); err != nil {
		t.Fatal(err)
	}
	if err := r.Signal("n2", syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	if err := <-started; err != nil {
		t.Error(err)
	}
	cancel()
}

// report is what a member's console says of the fleet.
func report(t *testing.T, r *rig.Rig, member string) *cluster.Report {
	t.Helper()
	code, text, err := r.Ask(t.Context(), member, "/v1/fleet")
	if err != nil || code != 200 {
		t.Fatalf("%s: %d, %v: %s", member, code, err, text)
	}
	got, err := cluster.ReadReport(text)
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// eventually waits until a member's report is as it must be.
func eventually(t *testing.T, r *rig.Rig, member, what string, is func(*cluster.Report) bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		got := report(t, r, member)
		if is(got) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s: not %s: %s", member, what, got.Text())
		}
	}
}

// TestTwoUnderOneName: both learn of it and say so to operators, and it comes to rest.
func TestTwoUnderOneName(t *testing.T) {
	t.Parallel()
	s := calm(4, 6*time.Second, story.Event{At: at(0.1), Do: story.Start, Who: []string{"n4"}})
	s.Late = []string{"n4"}
	r := fleet(t, rig.Config{Story: s, Names: map[string]string{"n4": "n3"}})
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Play(t.Context())
	}()
	defer func() { <-done }()
	time.Sleep(300 * time.Millisecond) // n4 is started by then; what follows waits for it
	for _, m := range []string{"n3", "n4"} {
		waitReady(t, r, m)
		eventually(t, r, m, "told of the other", func(c *cluster.Report) bool { return len(c.Problems) > 0 })
	}
	eventually(t, r, "n1", "at rest", func(c *cluster.Report) bool { return c.Settled })
	before := changes(r, "n1", "n3")
	time.Sleep(2 * time.Second)
	if after := changes(r, "n1", "n3"); after > before+2 {
		t.Errorf("n1 has changed its view of n3 %d times, and %d times 2 s later", before, after)
	}
}

func waitReady(t *testing.T, r *rig.Rig, member string) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if code, _, err := r.Ask(t.Context(), member, "/v1/readyz"); err == nil && code == 200 {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s is not ready", member)
		}
	}
}

// changes counts how often a member has changed its view of another.
func changes(r *rig.Rig, of, about string) (n int) {
	for _, e := range r.Events() {
		if e.Who == of && e.What == history.MemberLine && e.Fields["member"] == about {
			n++
		}
	}
	return n
}

// TestSeedsOfNoUse: seeds that are wrong, dead and one's own; an earlier start's folder is enough.
func TestSeedsOfNoUse(t *testing.T) {
	t.Parallel()
	s := calm(3, 8*time.Second, story.Event{At: at(0.5), For: at(1.5), Do: story.Kill})
	r := fleet(t, rig.Config{Story: s})
	for _, m := range s.Names() {
		if err := r.Rewrite(m, func(text string) string {
			return regexp.MustCompile(`seeds = .*`).ReplaceAllString(text, `seeds = ["`+r.Public(m)+`", "127.0.0.1:1"]`)
		}); err != nil {
			t.Fatal(err)
		}
	}
	play(t, r, s)
	for _, m := range s.Names() {
		eventually(t, r, m, "with all three", func(c *cluster.Report) bool { return c.Settled && len(c.Members) == 3 })
	}
}

// TestGarbageAndLiars: what comes wrong is dropped and counted, and a liar kills nobody.
func TestGarbageAndLiars(t *testing.T) {
	t.Parallel()
	s := calm(3, 6*time.Second)
	r := fleet(t, rig.Config{Story: s})
	stop := make(chan struct{})
	var lying sync.WaitGroup
	lying.Go(func() { lie(t, r, stop) })
	result := play(t, r, s)
	close(stop)
	lying.Wait()
	got := report(t, r, "n1")
	count := map[string]int64{}
	for _, c := range got.Counts {
		count[c.Name] = c.Value
	}
	for _, why := range []string{"foreign", "garbage", "version"} {
		if count[why] == 0 {
			t.Errorf("none counted as %s: %v", why, count)
		}
	}
	if result.Verdict.Flaps > 1 {
		t.Errorf("a view has changed its mind %d times", result.Verdict.Flaps)
	}
}

// lie sends every member garbage, other fleets' and versions' messages, and the news that n2 is dead, by every incarnation
// that it may have.
func lie(t *testing.T, r *rig.Rig, stop chan struct{}) {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	if err != nil {
		t.Error(err)
		return
	}
	defer conn.Close()
	own, other := codec.New("rig"), codec.New("another")
	for n := uint64(1); ; n++ {
		for _, m := range []string{"n1", "n2", "n3"} {
			to, err := net.ResolveUDPAddr("udp4", r.Real(m))
			if err != nil {
				t.Error(err)
				return
			}
			from := view.Record{Name: "liar", InstanceID: 1, Incarnation: 1, State: view.Left, Address: conn.LocalAddr().String()}
			victim := view.Record{Name: "n2", InstanceID: r.Boot("n1", "n2"), Incarnation: 1 + n/4, State: view.Dead, Address: "127.0.0.1:1", By: "n3"}
			lies := &view.Message{Kind: view.Gossip, From: from, Updates: []view.Record{victim}}
			text, err := own.EncodeMessage(lies)
			if err != nil {
				t.Error(err)
				return
			}
			foreign, _ := other.EncodeMessage(lies)
			future := append([]byte(nil), text...)
			future[3] = 200
			for _, b := range [][]byte{text, foreign, future, []byte("GET / HTTP/1.1\r\n\r\n"), text[:30], {}} {
				conn.WriteTo(b, to)
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// TestUpgradeIsOneMember: a new process of one proxy takes its place; the others see a start anew and no death.
func TestUpgradeIsOneMember(t *testing.T) {
	t.Parallel()
	s := calm(4, 9*time.Second, story.Event{At: at(1), Do: story.Upgrade, Who: []string{"n2"}}, story.Event{At: at(5), Do: story.Upgrade, Who: []string{"n2"}})
	s.Load = 40
	r := fleet(t, rig.Config{Story: s})
	result := play(t, r, s)
	for _, e := range result.Events {
		if e.What == history.MemberLine && e.Fields["member"] == "n2" && (e.Fields["state"] == "dead" || e.Fields["state"] == "left") {
			t.Errorf("%v", e)
		}
	}
	boots := map[string]bool{}
	for _, e := range result.Events {
		if e.Who == "n1" && e.What == history.MemberLine && e.Fields["member"] == "n2" {
			boots[e.Fields["boot"]] = true
		}
	}
	if len(boots) != 3 {
		t.Errorf("n1 has seen %d processes of n2; it was replaced twice", len(boots))
	}
}

// TestOffOpensNothing: without [fleet] a process holds no socket for it, and its console says that it is not switched on.
func TestOffOpensNothing(t *testing.T) {
	t.Parallel()
	s := calm(1, time.Second)
	off := fleet(t, rig.Config{Story: s, Off: true})
	on := fleet(t, rig.Config{Story: s})
	udp := func(r *rig.Rig) int {
		n := 0
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", r.PID("n1")))
		if err != nil {
			t.Fatal(err)
		}
		sockets, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/udp", r.PID("n1")))
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range entries {
			to, _ := os.Readlink(fmt.Sprintf("/proc/%d/fd/%s", r.PID("n1"), e.Name()))
			inode := strings.TrimSuffix(strings.TrimPrefix(to, "socket:["), "]")
			if inode != to && strings.Contains(string(sockets), " "+inode+" ") {
				n++
			}
		}
		return n
	}
	if n := udp(off); n != 0 {
		t.Errorf("off: %d UDP sockets", n)
	}
	if n := udp(on); n != 1 {
		t.Errorf("on: %d UDP sockets", n)
	}
	if code, text, err := off.Ask(t.Context(), "n1", "/v1/fleet"); err != nil || code != 404 {
		t.Errorf("off: %d %q, %v", code, text, err)
	}
	if code, text, err := on.Ask(t.Context(), "n1", "/v1/rules"); err != nil || code != 404 {
		t.Errorf("[fleet] without [rules]: %d %q, %v", code, text, err)
	}
	if _, err := os.Stat(filepath.Join(on.Folder("n1"), "rules.db")); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("[fleet] without [rules] has a file of rules: %v", err)
	}
	if code, text, err := on.Ask(t.Context(), "n1", "/v1/recovery"); err != nil || code != 404 {
		t.Errorf("[fleet] without [recovery]: %d %q, %v", code, text, err)
	}
	for _, name := range []string{"lock", "bans", "learned"} {
		if _, err := os.Stat(filepath.Join(on.Folder("n1"), name)); !errors.Is(err, fs.ErrNotExist) {
			t.Errorf("[fleet] without [recovery] has a file %s: %v", name, err)
		}
	}
	var figures map[string]any
	if code, text, err := on.Ask(t.Context(), "n1", "/v1/fleet"); err != nil || code != 200 || json.Unmarshal([]byte(text), &figures) != nil {
		t.Errorf("on: %d %q, %v", code, text, err)
	}
}

// TestStartSaysWhyAProcessEnded: where a member's console address is taken, the error of the start names the member, how its process
// ended and what it said.
func TestStartSaysWhyAProcessEnded(t *testing.T) {
	t.Parallel()
	r, err := rig.New(rig.Config{Story: calm(2, time.Second), Program: program, Folder: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	taken, err := net.Listen("tcp4", r.Console("n2"))
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	err = r.Start(t.Context())
	if err == nil {
		t.Fatal("n2 has started without its console")
	}
	for _, want := range []string{"n2 ended before it was ready", "exit status 2", r.Console("n2"), "address already in use"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not in: %v", want, err)
		}
	}
}
