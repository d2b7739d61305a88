package agreement

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"brasswell/internal/cluster/accord"
	"brasswell/internal/cluster/rules"
	"brasswell/internal/cluster/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// wire carries parcels between nodes of a test at once.
type wire struct {
	mu    sync.Mutex
	nodes map[string]func([]byte)
}

// end is one node's end of a wire; its address is its name.
type end struct {
	*wire
	name string
}

func (e end) Carry(to string, body []byte) {
	e.mu.Lock()
	take := e.nodes[to]
	e.mu.Unlock()
	if take != nil {
		take(slices.Clone(body))
	}
}

func (e end) OnParcel(take func([]byte)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nodes[e.name] = take
}

func (e end) Follow(f func(view.Snapshot)) {
	var s view.Snapshot
	for _, n := range []string{"a", "b", "c", "d"} {
		s.Members = append(s.Members, view.Member{Record: view.Record{Name: n, Address: n, State: view.Alive}})
	}
	f(s)
}

func (w *wire) open(t *testing.T, name, folder string) *Node {
	t.Helper()
	o := DefaultOptions()
	o.Voters, o.Folder, o.Lease = []string{"a", "b", "c"}, folder, 500*time.Millisecond
	n, err := Open(Config{Options: o, Fleet: "shelf", Name: name, InstanceID: uint64(len(folder)) + uint64(name[0]), Seed: 1, Log: slog.New(slog.DiscardHandler)}, end{w, name})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.Close(false) })
	return n
}

// until waits for what must come.
func until(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not ", what)
		}
	}
}

// TestFourNodes: three keepers and one more agree on a ban, are told of it, and one that starts anew knows it from its folder.
func TestFourNodes(t *testing.T) {
	w := &wire{nodes: map[string]func([]byte){}}
	nodes, folders := map[string]*Node{}, map[string]string{}
	for _, name := range []string{"a", "b", "c", "d"} {
		folders[name] = t.TempDir()
		nodes[name] = w.open(t, name, folders[name])
	}
	told := make(chan uint64, 100)
	nodes["d"].Follow(func(b *accord.Basis) { told <- b.Version })
	for name, n := range nodes {
		until(t, name+" with a lease", func() bool { return n.Mode() == accord.Leased && n.Basis().Version == 1 })
	}
	var a rules.Answer
	until(t, "agreed", func() bool { // the keepers may still be coming together
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var err error
		a, err = nodes["d"].Propose(ctx, rules.Change{Kind: rules.Suspend, Server: "node-00", Why: "disk"})
		return err == nil && a.Rejection == ""
	})
	for _, name := range slices.Sorted(maps.Keys(nodes)) {
		n := nodes[name]
		until(t, name+" with it in force", func() bool { return n.Basis().Version >= a.Version })
		if ruling, ground := n.Decide(rules.Send{Server: "node-00"}); ruling != rules.Banned || ground.Version != a.Version || !ground.Leased {
			t.Errorf("%s: %v by %+v", name, ruling, ground)
		}
	}
	until(t, "told", func() bool { return <-told >= a.Version })
	r, err := nodes["a"].Report(t.Context())
	if err != nil || len(r.History) < 2 || r.Voters == nil || len(r.Document.Bans) != 1 {
		t.Errorf("%+v, %v", r, err)
	}
	// One that hands over acts on what it knows until its end, and repeats nothing.
	nodes["d"].Close(true)
	if ruling, _ := nodes["d"].Decide(rules.Send{Server: "node-01", MayHaveRun: true}); ruling != rules.NoRepeat || nodes["d"].Mode() != accord.Alone {
		t.Errorf("after it has handed over: %v, %v", ruling, nodes["d"].Mode())
	}
	for _, name := range []string{"a", "b", "c"} {
		nodes[name].Close(false)
	}
	again := w.open(t, "d", folders["d"])
	until(t, "alone", func() bool { return again.Mode() == accord.Alone })
	if ruling, _ := again.Decide(rules.Send{Server: "node-00"}); ruling != rules.Banned {
		t.Errorf("from the folder alone: %v", ruling)
	}
}

func TestNobodyAnswers(t *testing.T) {
	w := &wire{nodes: map[string]func([]byte){}}
	n := w.open(t, "d", t.TempDir())
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := n.Propose(ctx, rules.Change{Kind: rules.Suspend, Server: "node-00"}); !errors.Is(err, ErrNoAnswer) {
		t.Errorf("%v", err)
	}
	if _, err := n.Propose(t.Context(), rules.Change{Kind: rules.Suspend}); err == nil {
		t.Error("a change of nothing is proposed")
	}
	if err := n.Refound(t.Context()); err == nil {
		t.Error("one that is no keeper goes on alone")
	}
	n.parcel([]byte("no message"))
	r, err := n.Report(t.Context())
	if err != nil || fmt.Sprint(r.Voters) != "map[]" {
		t.Errorf("%+v, %v", r, err)
	}
}

// topics is a carrier that notes under which topic each parcel goes out.
type topics struct {
	end
	seen []string
}

func (c *topics) Carry(to string, _ []byte) { c.seen = append(c.seen, to) }

func (c *topics) CarryLatest(to, topic string, _ []byte) { c.seen = append(c.seen, to+": "+topic) }

// TestNewerGrantsAndTellsTakeTheirPlace: those of one kind for one proxy replace each other where they wait, and nothing else does.
func TestNewerGrantsAndTellsTakeTheirPlace(t *testing.T) {
	c := &topics{}
	n := &Node{carrier: c}
	n.addresses.Store(&map[string]string{"a": "at-a", "b": "at-b"})
	for _, m := range []struct {
		to string
		m  accord.Message
	}{
		{"a", accord.Message{Kind: accord.Grant, From: "l", To: "a"}}, {"a", accord.Message{Kind: accord.Update, From: "l", To: "a"}},
		{"b", accord.Message{Kind: accord.Grant, From: "l", To: "a", Path: []string{"b"}}}, {"a", accord.Message{Kind: accord.Raft, From: "l", To: "a"}},
		{"gone", accord.Message{Kind: accord.Update, From: "l", To: "gone"}},
	} {
		host{n}.Send(m.to, &m.m)
	}
	if want := []string{"at-a: grant a", "at-a: tell a", "at-b: grant a", "at-a"}; !slices.Equal(c.seen, want) {
		t.Errorf("%q; wanted %q", c.seen, want)
	}
}

// TestWhatWaitsIsTakenTogether: messages that wait are taken in in their order, so many at one time at most.
func TestWhatWaitsIsTakenTogether(t *testing.T) {
	const more = 7
	n := &Node{messages: make(chan *accord.Message, mostWaiting)}
	for i := range mostTogether + more {
		n.messages <- &accord.Message{Seq: uint64(i)}
	}
	next := uint64(0)
	for _, want := range []int{mostTogether, more} {
		together := n.waiting(<-n.messages)
		if len(together) != want {
			t.Errorf("%d messages together; wanted %d", len(together), want)
		}
		for _, m := range together {
			if m.Seq != next {
				t.Fatalf("message %d came as %d", next, m.Seq)
			}
			next++
		}
	}
}

// TestProposalsThatWaitTogether: changes that are proposed while the leader's goroutine has other work go out to the others in a few
// steps, and not in one each.
func TestProposalsThatWaitTogether(t *testing.T) {
	const changes = 12
	w := &wire{nodes: map[string]func([]byte){}}
	nodes := map[string]*Node{}
	for _, name := range []string{"a", "b", "c", "d"} {
		nodes[name] = w.open(t, name, t.TempDir())
	}
	for name, n := range nodes {
		until(t, name+" with a lease", func() bool { return n.Mode() == accord.Leased && n.Basis().Version == 1 })
	}
	var leader *Node
	until(t, "led by one that three vote for", func() bool {
		for _, n := range nodes {
			if r, err := n.Report(t.Context()); err == nil && r.IsLeader && len(r.Voters) == 3 {
				leader = n
			}
		}
		return leader != nil
	})
	var mu sync.Mutex
	known := map[uint64]bool{} // the newest versions that d has known
	nodes["d"].Follow(func(b *accord.Basis) {
		mu.Lock()
		defer mu.Unlock()
		known[b.Last] = true
	})

	release, held := make(chan struct{}), make(chan struct{})
	go leader.ask(leader.ctx, func(*accord.Core, time.Duration) { close(held); <-release })
	<-held
	var proposing sync.WaitGroup
	for i := range changes {
		proposing.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			c := rules.Change{ID: fmt.Sprint("ban-", i), Kind: rules.Suspend, Server: fmt.Sprint("node-", i)}
			if a, err := nodes["d"].Propose(ctx, c); err != nil || a.Rejection != "" {
				t.Errorf("change %d: %q, %v", i, a.Rejection, err)
			}
		})
	}
	until(t, "waiting before the leader", func() bool { return len(leader.messages) >= changes })
	close(release)
	proposing.Wait()
	until(t, "known", func() bool { return nodes["d"].Basis().Last == changes+1 })
	mu.Lock()
	defer mu.Unlock()
	t.Logf("d knew %d versions in %d steps", changes+1, len(known))
	if len(known) > changes/2 {
		t.Errorf("%d changes became known in %d steps", changes, len(known))
	}
}

// TestWhatFindsNoRoomIsCounted: a message beyond those that may wait is dropped, and told among the figures.
func TestWhatFindsNoRoomIsCounted(t *testing.T) {
	n := &Node{messages: make(chan *accord.Message, 1)}
	n.basis.Store(&accord.Basis{})
	body, err := (&accord.Message{Kind: accord.Renew, From: "a"}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		n.parcel(body)
	}
	if n.DroppedMessages() != 2 || len(n.messages) != 1 {
		t.Errorf("%d were dropped, %d wait", n.DroppedMessages(), len(n.messages))
	}
	if text := string(n.Figures(nil)); !strings.Contains(text, "rules_late:2|c") {
		t.Errorf("figures: %q", text)
	}
}
