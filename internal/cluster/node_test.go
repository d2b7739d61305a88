package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"brasswell/internal/cluster/view"
	"brasswell/internal/rig/loopback"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// addressCount counts the addresses that tests of this process have used.
var addressCount atomic.Uint32

// testAddress returns a loopback address for one test: an IP that no other test uses, and a port below the kernel's ephemeral range, so
// that no other socket takes it before the node starts, or while one node hands it over to another.
func testAddress(t *testing.T) string {
	t.Helper()
	process := os.Getpid() // other test processes run at the same time
	const port = 17946
	for {
		number := uint32(process)*64 + addressCount.Add(1)
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 62, byte(number >> 8), byte(number)}), port)
		if loopback.CheckFree([]netip.AddrPort{at}) == nil {
			return at.String()
		}
	}
}

func openNode(t *testing.T, name string, boot uint64, o Options) *Node {
	t.Helper()
	o.Name, o.Networks, o.Period, o.MaxMembers = "shelf", []string{"127.0.0.0/8"}, 50*time.Millisecond, 100
	n, err := Open(Config{Options: o, Name: name, Seed: boot, InstanceID: boot, ReplacesProcess: true, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.Close(false) })
	return n
}

// waitForState waits until a member is in a state in a node's view.
func waitForState(t *testing.T, n *Node, member string, s view.State) view.Member {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		snapshot, _, _ := n.Snapshot(t.Context())
		for _, m := range snapshot.Members {
			if m.Name == member && m.State == s {
				return m
			}
		}
		if time.Now().After(end) {
			t.Fatalf("%s did not become %v: %+v", member, s, snapshot.Members)
		}
	}
}

func TestJoinLeaveAndDie(t *testing.T) {
	first := testAddress(t)
	a := openNode(t, "a", 1, Options{Listen: first, Seeds: []string{first}})
	b := openNode(t, "b", 2, Options{Listen: testAddress(t), Seeds: []string{first}})
	c := openNode(t, "c", 3, Options{Listen: testAddress(t), Seeds: []string{first}})
	for _, n := range []*Node{a, b, c} {
		for _, m := range []string{"a", "b", "c"} {
			waitForState(t, n, m, view.Alive)
		}
	}
	received := make(chan int, 1000)
	a.Follow(func(s view.Snapshot) { received <- len(s.Members) })
	if got := <-received; got != 3 {
		t.Errorf("a follower's first snapshot has %d members, want 3", got)
	}
	b.Close(true)
	waitForState(t, a, "b", view.Left)
	c.Close(false)
	waitForState(t, a, "c", view.Dead)
	if len(received) < 3 {
		t.Errorf("a follower received %d further snapshots, want at least 3", len(received))
	}
	if _, _, ok := b.Snapshot(context.Background()); ok {
		t.Error("a closed node returned a snapshot")
	}
}

// TestTakesTheAddressOver: a second process of a proxy waits until the first one releases the address, and is then the same member.
func TestTakesTheAddressOver(t *testing.T) {
	first, second := testAddress(t), testAddress(t)
	a := openNode(t, "a", 1, Options{Listen: first, Seeds: []string{second}})
	old := openNode(t, "b", 2, Options{Listen: second, Seeds: []string{first}})
	waitForState(t, a, "b", view.Alive)
	next := openNode(t, "b", 3, Options{Listen: second, Seeds: []string{first}})
	old.HandOver()
	waitForState(t, next, "a", view.Alive)
	for end := time.Now().Add(20 * time.Second); waitForState(t, a, "b", view.Alive).InstanceID != 3; {
		if time.Now().After(end) {
			t.Fatal("a's view does not have the new process")
		}
	}
}

func TestSeedsCanChange(t *testing.T) {
	first := testAddress(t)
	a := openNode(t, "a", 1, Options{Listen: first, Seeds: []string{"127.0.0.1:1"}})
	b := openNode(t, "b", 2, Options{Listen: testAddress(t), Seeds: []string{"127.0.0.1:1"}})
	if s, _, _ := b.Snapshot(t.Context()); len(s.Members) != 1 {
		t.Errorf("%+v", s.Members)
	}
	b.SetSeeds([]string{first})
	waitForState(t, a, "b", view.Alive)
}

// TestFolders: with a stored folder a node finds the others without seeds; one that is missing, corrupt or of another fleet does no harm.
func TestFolders(t *testing.T) {
	first, folder := testAddress(t), t.TempDir()
	a := openNode(t, "a", 1, Options{Listen: first, Seeds: []string{first}})
	b := openNode(t, "b", 2, Options{Listen: testAddress(t), Seeds: []string{first}, Folder: folder})
	waitForState(t, b, "a", view.Alive)
	b.Close(true)
	waitForState(t, a, "b", view.Left)
	file := filepath.Join(folder, membersFile)
	whole, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	again := openNode(t, "b", 3, Options{Listen: testAddress(t), Folder: folder})
	waitForState(t, again, "a", view.Alive)
	again.Close(false)
	for name, text := range map[string][]byte{"torn": whole[:len(whole)/2], "empty": {}, "noise": []byte("members: all"), "bent": append([]byte{whole[0] ^ 1}, whole[1:]...)} {
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
		n := openNode(t, "c", 4, Options{Listen: testAddress(t), Folder: folder})
		if s, _, _ := n.Snapshot(t.Context()); len(s.Members) != 1 {
			t.Errorf("%s: %+v", name, s.Members)
		}
		n.Close(false)
	}
	other := newFolder(folder, "another", slog.New(slog.DiscardHandler))
	defer other.close()
	if err := os.WriteFile(file, whole, 0o600); err != nil {
		t.Fatal(err)
	}
	if got := other.addresses(""); got != nil {
		t.Errorf("addresses from another fleet's folder: %v", got)
	}
	nowhere := openNode(t, "d", 5, Options{Listen: testAddress(t), Seeds: []string{first}, Folder: filepath.Join(folder, "not", "there")})
	waitForState(t, nowhere, "a", view.Alive)
}

func TestReport(t *testing.T) {
	first := testAddress(t)
	a := openNode(t, "a", 1, Options{Listen: first, Seeds: []string{first}})
	b := openNode(t, "b", 2, Options{Listen: testAddress(t), Seeds: []string{first}})
	waitForState(t, a, "b", view.Alive)
	twin := openNode(t, "b", 3, Options{Listen: testAddress(t), Seeds: []string{first}})
	var r *Report
	for end := time.Now().Add(20 * time.Second); r == nil || len(r.Problems) < 2; time.Sleep(5 * time.Millisecond) {
		text, err := b.Status(t.Context())
		if err != nil || time.Now().After(end) {
			t.Fatalf("%v: %s", err, text)
		}
		if r, err = ReadReport(string(text)); err != nil {
			t.Fatal(err)
		}
	}
	twin.Close(false)
	if text := r.Text(); !strings.Contains(text, "TROUBLE: another process goes by the name b") || !strings.Contains(text, first) {
		t.Error(text)
	}
	if figures := string(a.Figures(t.Context(), nil)); !strings.Contains(figures, "fleet_alive:") || !strings.Contains(figures, "fleet_garbage:0|c") {
		t.Error(figures)
	}
	if _, err := ReadReport("{"); err == nil {
		t.Error("incomplete JSON was accepted")
	}
	if text, err := json.Marshal(r); err != nil || !strings.Contains(string(text), `"state":"alive"`) {
		t.Errorf("%s, %v", text, err)
	}
	many := Report{}
	for i := range 2 * maxTextMembers {
		many.Members = append(many.Members, Member{Name: fmt.Sprint("n", i), State: view.Alive})
	}
	if text := many.Text(); !strings.Contains(text, fmt.Sprintf("and %d more", maxTextMembers)) {
		t.Error(text)
	}
}

func TestOpenSaysWhatIsWrong(t *testing.T) {
	o := DefaultOptions()
	o.Listen = "192.0.2.1:7946" // TEST-NET-1, not an address of any machine
	if _, err := Open(Config{Options: o, Name: "a", InstanceID: 1, Log: slog.New(slog.DiscardHandler)}); err == nil {
		t.Error("opened at an address that is not this machine's")
	}
	o.Listen = testAddress(t)
	if _, err := Open(Config{Options: o, Name: "", InstanceID: 1, Log: slog.New(slog.DiscardHandler)}); err == nil {
		t.Error("opened a member without a name")
	}
}

// TestNotificationsAreBounded: while the view of a large fleet changes with each message, notifying followers takes at most a tenth of
// the 1/20 of a core that a proxy may spend on control, and followers still receive a change within the timeout of the shortest lease's
// renewals.
func TestNotificationsAreBounded(t *testing.T) {
	const took, most, timeout = 600 * time.Microsecond, time.Second / 20 / 10, 150 * time.Millisecond // at 1,400 members
	pause := notifyInterval(took)
	times := time.Second / pause
	if spent := times * took; spent > most {
		t.Errorf("%d notifications per second take %v; %v are allowed", times, spent, most)
	}
	if pause > timeout {
		t.Errorf("a change is reported after %v; %v are allowed", pause, timeout)
	}
	if pause := notifyInterval(time.Second); pause > maxNotifyInterval {
		t.Errorf("a process short of processor time notifies after %v; %v are allowed", pause, maxNotifyInterval)
	}
}

// TestNotificationsAreCoalesced: changes in quick succession cause few notifications, and the last one has the final state.
func TestNotificationsAreCoalesced(t *testing.T) {
	const changes, work = 90, 5 * time.Millisecond
	n := openNode(t, "a", 1, Options{Listen: testAddress(t), Seeds: []string{"127.0.0.1:9"}})
	received := make(chan int, changes+2)
	n.Follow(func(s view.Snapshot) {
		time.Sleep(work) // like the cost in a large fleet
		select {
		case received <- len(s.Members):
		default: // the test has ended
		}
	})
	for i := range changes {
		r := view.Record{Name: fmt.Sprintf("m%d", i), InstanceID: 1, Incarnation: 1, State: view.Alive, Address: "127.0.0.1:9"}
		n.do(t.Context(), func(v *view.View, now time.Duration) { v.Merge(now, []view.Record{r}, "m0") })
	}
	times := 0
	for members := 0; members < changes+1; times++ {
		select {
		case members = <-received:
		case <-time.After(20 * time.Second):
			t.Fatalf("%d notifications, the last one with %d members", times, members)
		}
	}
	if times > changes/4 {
		t.Errorf("%d changes caused %d notifications", changes, times)
	}
}
