package accord

import (
	"fmt"
	"testing"
	"time"

	"brasswell/internal/cluster/rules"
)

// tallyHost counts a leader's disk writes and messages.
type tallyHost struct {
	nopHost
	logWrites, ruleWrites int
	sent                  map[MessageKind]int
	last                  map[MessageKind]*Message
}

func newTallyHost() *tallyHost {
	h := &tallyHost{}
	h.reset()
	return h
}

func (h *tallyHost) reset() {
	h.logWrites, h.ruleWrites, h.sent, h.last = 0, 0, map[MessageKind]int{}, map[MessageKind]*Message{}
}

func (h *tallyHost) Save(*Record) error { h.logWrites++; return nil }

func (h *tallyHost) SaveRules(*rules.Status) { h.ruleWrites++ }

func (h *tallyHost) Send(_ string, m *Message) {
	h.sent[m.Kind]++
	h.last[m.Kind] = m
}

// leaderWithHolders returns a leader, the only voter, and the time. The named holders have leases on the version in
// force. The leader's next heartbeat is not due yet.
func leaderWithHolders(t *testing.T, host Host, holders ...string) (*Core, time.Duration) {
	t.Helper()
	c, err := New(0, Settings{Name: "leader", InstanceID: 1, Voters: []string{"leader"}, Times: DefaultTimes()}, 1, Stored{}, host)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Duration(0)
	for ; now < 3*time.Second; now += 10 * time.Millisecond {
		c.Tick(now)
	}
	if !c.IsLeader() {
		t.Fatal("the only voter does not lead")
	}
	for _, name := range holders {
		c.Receive(now, renewal(c, name, versionsOf(&c.voter.state.Rules.Status)))
	}
	now = c.voter.nextHeartbeat
	c.Tick(now)
	return c, now
}

// renewal returns a renewal of a holder that has versions which the leader once had.
func renewal(c *Core, name string, has HeldVersions) *Message {
	return &Message{Kind: Renew, From: name, InstanceID: 1, Seq: 1, Held: has, Form: rules.CurrentForm, AcceptsDeltas: true, Digest: c.voter.digests[has]}
}

func acknowledgement(name string, has HeldVersions) *Message {
	return &Message{Kind: Acknowledge, From: name, InstanceID: 1, Held: has, AcceptsDeltas: true}
}

func proposalOfBan(number int) *Message {
	id := fmt.Sprint("ban-", number)
	return &Message{Kind: Propose, From: "operator", Change: &rules.Change{ID: id, Kind: rules.Suspend, Server: id}}
}

// TestProposalsAreBatched checks that proposals that arrive together cost the leader as many disk writes as one, and
// one message per holder.
func TestProposalsAreBatched(t *testing.T) {
	const proposals = rules.MaxPending
	holders := []string{"p1", "p2", "p3", "p4"}
	host := newTallyHost()
	c, now := leaderWithHolders(t, host, holders...)
	var together []*Message
	for i := range proposals {
		together = append(together, proposalOfBan(i))
	}
	host.reset()
	c.Receive(now, together...)
	if n := len(c.voter.state.Rules.Pending); n != proposals {
		t.Errorf("%d versions are pending", n)
	}
	if host.sent[Result] != proposals || host.sent[Update] != len(holders) {
		t.Errorf("%d results, %d updates", host.sent[Result], host.sent[Update])
	}
	// One write contains the entries. The only voter commits them at once, and a second write contains the commit
	// index.
	if host.logWrites != 2 || host.ruleWrites != 1 {
		t.Errorf("the log is written %d times, the rules %d times", host.logWrites, host.ruleWrites)
	}
	if bans := len(c.basis.Doc.Bans); bans != proposals {
		t.Errorf("the leader applies %d bans", bans)
	}
}

// TestEntriesAfterAnInvalidOne checks that entries after one that cannot be applied are not applied, and that those
// before it are.
func TestEntriesAfterAnInvalidOne(t *testing.T) {
	c, now := leaderWithHolders(t, newTallyHost())
	v := c.voter
	v.propose(proposalOfBan(0))
	if err := v.raft.Propose([]byte("no command")); err != nil {
		t.Fatal(err)
	}
	v.propose(proposalOfBan(1))
	c.Receive(now)
	if c.IsVoter() || v.state.Rules.Last() != 2 || c.basis.Last != 2 {
		t.Errorf("voter %v; version %d at the voter, %d at its proxy", c.IsVoter(), v.state.Rules.Last(), c.basis.Last)
	}
}

// TestRenewalDoesNotUndoAcknowledgement guards against a renewal that waits for a majority while its sender
// acknowledges a change: it must not keep the change from being in force, and its grant must name the acknowledged
// versions.
func TestRenewalDoesNotUndoAcknowledgement(t *testing.T) {
	host := newTallyHost()
	c, now := leaderWithHolders(t, host, "quick", "slow")
	before := versionsOf(&c.voter.state.Rules.Status)
	c.Receive(now, renewal(c, "quick", before))
	c.Receive(now, proposalOfBan(0))
	has := versionsOf(&c.voter.state.Rules.Status)
	c.Receive(now, acknowledgement("quick", has))
	host.reset()
	now = c.voter.nextHeartbeat
	c.Tick(now)
	if g := host.last[Grant]; host.sent[Grant] != 1 || g.Held != has || g.Delta != nil {
		t.Errorf("%d grants, the last on %+v", host.sent[Grant], g)
	}
	c.Receive(now, acknowledgement("slow", has))
	if s := &c.voter.state.Rules.Status; s.InForce.Number != has.Last {
		t.Errorf("version %d is in force, but all holders have %d", s.InForce.Number, has.Last)
	}
}

// TestAcknowledgingHolderKeepsLease checks a proxy whose renewals each lack the newest of a series of changes. It gets
// its leases if it acknowledges each change before the next renewal, and none after half a lease if it acknowledges
// nothing.
func TestAcknowledgingHolderKeepsLease(t *testing.T) {
	const renewals = 16
	times := DefaultTimes()
	for _, acknowledges := range []bool{true, false} {
		host := newTallyHost()
		c, now := leaderWithHolders(t, host, "p1")
		status := &c.voter.state.Rules.Status
		granted, has := 0, versionsOf(status)
		for i := range renewals {
			c.Receive(now, proposalOfBan(i))
			host.reset()
			c.Receive(now, renewal(c, "p1", has))
			for wait := now + times.Renew; now < wait; now += 10 * time.Millisecond {
				c.Tick(now)
			}
			granted += host.sent[Grant]
			if acknowledges {
				has = versionsOf(&c.voter.state.Rules.Status)
				c.Receive(now, acknowledgement("p1", has))
			}
		}
		maxGranted := int(times.Lease/2/times.Renew) + 1
		if acknowledges && granted != renewals || !acknowledges && granted > maxGranted {
			t.Errorf("acknowledges %v: %d of %d renewals were granted", acknowledges, granted, renewals)
		}
	}
}
