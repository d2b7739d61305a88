package accord

import (
	"fmt"
	"testing"
	"time"

	"brasswell/internal/cluster/rules"
)

// tallyHost counts what a leader writes to its disk and sends.
type tallyHost struct {
	nobody
	saves, keeps int
	sent         map[MessageKind]int
	last         map[MessageKind]*Message
}

func newTallyHost() *tallyHost {
	h := &tallyHost{}
	h.reset()
	return h
}

func (h *tallyHost) reset() {
	h.saves, h.keeps, h.sent, h.last = 0, 0, map[MessageKind]int{}, map[MessageKind]*Message{}
}

func (h *tallyHost) Save(*Record) error { h.saves++; return nil }

func (h *tallyHost) SaveRules(*rules.Status) { h.keeps++ }

func (h *tallyHost) Send(_ string, m *Message) {
	h.sent[m.Kind]++
	h.last[m.Kind] = m
}

// leaderWithHolders is a leader, the only voter, with leases of holders that have what is in force. Its next heartbeat is not due yet.
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
		t.Fatal("it does not lead")
	}
	for _, name := range holders {
		c.Receive(now, renewal(c, name, holdsOf(&c.voter.state.Rules.Status)))
	}
	now = c.voter.nextHeartbeat
	c.Tick(now)
	return c, now
}

// renewal is one of a holder that has something which was once at the leader.
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

// TestProposalsThatComeTogether cost the leader the writes of the disk of one, and its holders one message each.
func TestProposalsThatComeTogether(t *testing.T) {
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
		t.Errorf("%d versions are on their way", n)
	}
	if host.sent[Result] != proposals || host.sent[Update] != len(holders) {
		t.Errorf("%d answers, %d holders told", host.sent[Result], host.sent[Update])
	}
	// One write holds the entries and one, as the only voter agrees with itself at once, that they are agreed.
	if host.saves != 2 || host.keeps != 1 {
		t.Errorf("the log is written %d times, what is acted on %d times", host.saves, host.keeps)
	}
	if bans := len(c.basis.Doc.Bans); bans != proposals {
		t.Errorf("the leader acts on %d bans", bans)
	}
}

// TestEntriesBehindOneThatCannotBeTakenIn are not taken in either, and those before it are.
func TestEntriesBehindOneThatCannotBeTakenIn(t *testing.T) {
	c, now := leaderWithHolders(t, newTallyHost())
	v := c.voter
	v.propose(proposalOfBan(0))
	if err := v.raft.Propose([]byte("no command")); err != nil {
		t.Fatal(err)
	}
	v.propose(proposalOfBan(1))
	c.Receive(now)
	if c.IsVoter() || v.state.Rules.Last() != 2 || c.basis.Last != 2 {
		t.Errorf("keeps %v; version %d at the voter, %d at its proxy", c.IsVoter(), v.state.Rules.Last(), c.basis.Last)
	}
}

// TestARenewalTakesNoAcknowledgementBack: one that waits for a majority while its sender acknowledges a change does not keep that from
// being in force, and its grant names what was acknowledged.
func TestARenewalTakesNoAcknowledgementBack(t *testing.T) {
	host := newTallyHost()
	c, now := leaderWithHolders(t, host, "quick", "slow")
	before := holdsOf(&c.voter.state.Rules.Status)
	c.Receive(now, renewal(c, "quick", before))
	c.Receive(now, proposalOfBan(0))
	has := holdsOf(&c.voter.state.Rules.Status)
	c.Receive(now, acknowledgement("quick", has))
	host.reset()
	now = c.voter.nextHeartbeat
	c.Tick(now)
	if g := host.last[Grant]; host.sent[Grant] != 1 || g.Held != has || g.Delta != nil {
		t.Errorf("%d grants, the last on %+v", host.sent[Grant], g)
	}
	c.Receive(now, acknowledgement("slow", has))
	if s := &c.voter.state.Rules.Status; s.InForce.Number != has.Last {
		t.Errorf("version %d is in force, and all have %d", s.InForce.Number, has.Last)
	}
}

// TestWhoAcknowledgesHears: a proxy that is behind with each renewal, as change follows on change, and acknowledges each meanwhile gets
// its leases; one that acknowledges nothing gets none after half a lease.
func TestWhoAcknowledgesHears(t *testing.T) {
	const renewals = 16
	times := DefaultTimes()
	for _, acknowledges := range []bool{true, false} {
		host := newTallyHost()
		c, now := leaderWithHolders(t, host, "p1")
		standing := &c.voter.state.Rules.Status
		granted, has := 0, holdsOf(standing)
		for i := range renewals {
			c.Receive(now, proposalOfBan(i))
			host.reset()
			c.Receive(now, renewal(c, "p1", has))
			for wait := now + times.Renew; now < wait; now += 10 * time.Millisecond {
				c.Tick(now)
			}
			granted += host.sent[Grant]
			if acknowledges {
				has = holdsOf(&c.voter.state.Rules.Status)
				c.Receive(now, acknowledgement("p1", has))
			}
		}
		most := int(times.Lease/2/times.Renew) + 1
		if acknowledges && granted != renewals || !acknowledges && granted > most {
			t.Errorf("acknowledges %v: %d of %d renewals were granted", acknowledges, granted, renewals)
		}
	}
}
