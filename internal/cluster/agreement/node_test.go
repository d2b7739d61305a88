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

// wire delivers payloads between the nodes of a test synchronously.
type wire struct {
	mu    sync.Mutex
	nodes map[string]func([]byte)
}

// end is a node's connection to a wire; its address is the node's name.
type end struct {
	*wire
	name string
}

func (e end) SendPayload(to string, body []byte) {
	e.mu.Lock()
	receive := e.nodes[to]
	e.mu.Unlock()
	if receive != nil {
		receive(slices.Clone(body))
	}
}

func (e end) OnPayload(receive func([]byte)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.nodes[e.name] = receive
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

// waitFor waits until cond is true, and fails the test after 20 seconds.
func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !cond(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out waiting for: ", what)
		}
	}
}

// TestFourNodes checks that three voters and another proxy agree on a ban, that followers are notified of it, and that
// a restarted proxy knows it from its folder.
func TestFourNodes(t *testing.T) {
	w := &wire{nodes: map[string]func([]byte){}}
	nodes, folders := map[string]*Node{}, map[string]string{}
	for _, name := range []string{"a", "b", "c", "d"} {
		folders[name] = t.TempDir()
		nodes[name] = w.open(t, name, folders[name])
	}
	notified := make(chan uint64, 100)
	nodes["d"].Follow(func(b *accord.Basis) { notified <- b.Version })
	for name, n := range nodes {
		waitFor(t, name+" with a lease", func() bool { return n.Mode() == accord.Leased && n.Basis().Version == 1 })
	}
	var a rules.Answer
	waitFor(t, "the change to be accepted", func() bool { // the voters may still be joining the log
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var err error
		a, err = nodes["d"].Propose(ctx, rules.Change{Kind: rules.Suspend, Server: "node-00", Why: "disk"})
		return err == nil && a.Rejection == ""
	})
	for _, name := range slices.Sorted(maps.Keys(nodes)) {
		n := nodes[name]
		waitFor(t, name+" with it in force", func() bool { return n.Basis().Version >= a.Version })
		if decision, basis := n.Decide(rules.Send{Server: "node-00"}); decision != rules.Banned || basis.Version != a.Version || !basis.Leased {
			t.Errorf("%s: decision %v, based on %+v", name, decision, basis)
		}
	}
	waitFor(t, "the follower to be notified", func() bool { return <-notified >= a.Version })
	r, err := nodes["a"].Report(t.Context())
	if err != nil || len(r.History) < 2 || r.Voters == nil || len(r.Document.Bans) != 1 {
		t.Errorf("report %+v, error %v", r, err)
	}
	// A process that has handed over acts until its end on the rules that it knows, and repeats nothing.
	nodes["d"].Close(true)
	if decision, _ := nodes["d"].Decide(rules.Send{Server: "node-01", MayHaveRun: true}); decision != rules.NoRepeat || nodes["d"].Mode() != accord.Alone {
		t.Errorf("after the handover: decision %v, mode %v", decision, nodes["d"].Mode())
	}
	for _, name := range []string{"a", "b", "c"} {
		nodes[name].Close(false)
	}
	restarted := w.open(t, "d", folders["d"])
	waitFor(t, "mode alone after the restart", func() bool { return restarted.Mode() == accord.Alone })
	if decision, _ := restarted.Decide(rules.Send{Server: "node-00"}); decision != rules.Banned {
		t.Errorf("with the rules of the folder alone: decision %v", decision)
	}
}

// TestNoAnswerFromVoters checks a proxy that reaches no voter: a proposal times out, and an undecodable message is
// ignored.
func TestNoAnswerFromVoters(t *testing.T) {
	w := &wire{nodes: map[string]func([]byte){}}
	n := w.open(t, "d", t.TempDir())
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if _, err := n.Propose(ctx, rules.Change{Kind: rules.Suspend, Server: "node-00"}); !errors.Is(err, ErrNoAnswer) {
		t.Errorf("error %v; wanted ErrNoAnswer", err)
	}
	if _, err := n.Propose(t.Context(), rules.Change{Kind: rules.Suspend}); err == nil {
		t.Error("a change without a server is accepted")
	}
	if err := n.Refound(t.Context()); err == nil {
		t.Error("Refound succeeds at a proxy that is not a voter")
	}
	n.onPayload([]byte("no message"))
	r, err := n.Report(t.Context())
	if err != nil || fmt.Sprint(r.Voters) != "map[]" {
		t.Errorf("report %+v, error %v", r, err)
	}
}

// topics is a carrier that records the destination and the topic of each payload.
type topics struct {
	end
	seen []string
}

func (c *topics) SendPayload(to string, _ []byte) { c.seen = append(c.seen, to) }

func (c *topics) SendLatestPayload(to, topic string, _ []byte) {
	c.seen = append(c.seen, to+": "+topic)
}

// TestNewerMessagesReplaceQueued checks that only grants and updates are sent with a topic, one for each kind and
// receiver, so that a newer message replaces a queued one. All other messages are sent without a topic.
func TestNewerMessagesReplaceQueued(t *testing.T) {
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

// TestQueuedMessagesAreBatched checks that queued messages are batched in their order, maxBatch at most.
func TestQueuedMessagesAreBatched(t *testing.T) {
	const more = 7
	n := &Node{messages: make(chan *accord.Message, maxQueued)}
	for i := range maxBatch + more {
		n.messages <- &accord.Message{Seq: uint64(i)}
	}
	next := uint64(0)
	for _, want := range []int{maxBatch, more} {
		messages := n.batch(<-n.messages)
		if len(messages) != want {
			t.Errorf("a batch of %d messages; wanted %d", len(messages), want)
		}
		for _, m := range messages {
			if m.Seq != next {
				t.Fatalf("expected message %d, got message %d", next, m.Seq)
			}
			next++
		}
	}
}

// TestQueuedProposalsAreBatched checks that changes that are proposed while the leader's goroutine is busy are
// replicated in a few steps, and not in one step for each change.
func TestQueuedProposalsAreBatched(t *testing.T) {
	const changes = 12
	w := &wire{nodes: map[string]func([]byte){}}
	nodes := map[string]*Node{}
	for _, name := range []string{"a", "b", "c", "d"} {
		nodes[name] = w.open(t, name, t.TempDir())
	}
	for name, n := range nodes {
		waitFor(t, name+" with a lease", func() bool { return n.Mode() == accord.Leased && n.Basis().Version == 1 })
	}
	var leader *Node
	waitFor(t, "a leader with three voters", func() bool {
		for _, n := range nodes {
			if r, err := n.Report(t.Context()); err == nil && r.IsLeader && len(r.Voters) == 3 {
				leader = n
			}
		}
		return leader != nil
	})
	var mu sync.Mutex
	known := map[uint64]bool{} // the newest versions that d has observed
	nodes["d"].Follow(func(b *accord.Basis) {
		mu.Lock()
		defer mu.Unlock()
		known[b.Last] = true
	})

	release, blocked := make(chan struct{}), make(chan struct{})
	go leader.do(leader.ctx, func(*accord.Core, time.Duration) { close(blocked); <-release })
	<-blocked
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
	waitFor(t, "all proposals to be queued at the leader", func() bool { return len(leader.messages) >= changes })
	close(release)
	proposing.Wait()
	waitFor(t, "d to know all versions", func() bool { return nodes["d"].Basis().Last == changes+1 })
	mu.Lock()
	defer mu.Unlock()
	t.Logf("d observed %d versions in %d steps", changes+1, len(known))
	if len(known) > changes/2 {
		t.Errorf("%d changes were observed in %d steps", changes, len(known))
	}
}

// TestDroppedMessagesAreCounted checks that a message is dropped if the queue is full, and that the figures count it.
func TestDroppedMessagesAreCounted(t *testing.T) {
	n := &Node{messages: make(chan *accord.Message, 1)}
	n.basis.Store(&accord.Basis{})
	body, err := (&accord.Message{Kind: accord.Renew, From: "a"}).Encode()
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		n.onPayload(body)
	}
	if n.DroppedMessages() != 2 || len(n.messages) != 1 {
		t.Errorf("%d dropped, %d queued", n.DroppedMessages(), len(n.messages))
	}
	if text := string(n.Figures(nil)); !strings.Contains(text, "rules_late:2|c") {
		t.Errorf("figures: %q", text)
	}
}
