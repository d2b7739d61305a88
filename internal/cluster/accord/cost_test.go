package accord

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"brasswell/internal/cluster/rules"
)

// The fleet that the costs are for.
const (
	costHolders  = 1400
	costBans     = 200
	costServices = 35
)

// costDocument is a state with a document of the target's size in force.
func costDocument(tb testing.TB) *rules.State {
	tb.Helper()
	state := rules.NewState()
	settings := &rules.Settings{Classes: map[string]rules.Class{}, Numbers: map[string]int{}, Quota: 0.9}
	for i := range costServices {
		for _, kind := range []string{"read", "write", "search", "export"} {
			settings.Classes[fmt.Sprintf("service-%02d/%s", i, kind)] = rules.Class{NoRepeat: kind == "write"}
		}
	}
	for i := range costHolders {
		settings.Numbers[costName(i)] = i
	}
	propose(tb, state, &rules.Change{ID: "settings", Kind: rules.Configure, Settings: settings, Form: 2})
	state.Enforce(state.Last())
	for i := range costBans {
		propose(tb, state, &rules.Change{ID: fmt.Sprint("ban-", i), Kind: rules.Suspend, Server: fmt.Sprintf("node-%04d.site", i), Who: "ops", Why: "its disk fails, see ticket 4711"})
		state.Enforce(state.Last())
	}
	return state
}

func costName(i int) string { return fmt.Sprintf("proxy-%04d", i) }

func propose(tb testing.TB, state *rules.State, c *rules.Change) {
	tb.Helper()
	if a := state.Propose(c); a.Version == 0 {
		tb.Fatal(a.Rejection)
	}
}

// costChange is a ban, or other numbers: of "one" proxy that is gone, of which another takes the number, or of a "third".
func costChange(kind string, of *rules.State, id string) *rules.Change {
	if kind == "ban" {
		return &rules.Change{ID: id, Kind: rules.Suspend, Server: "node-" + id, Who: "ops", Why: "its disk fails, see ticket 4711", Form: 2}
	}
	numbers := map[string]int{}
	if kind == "one" {
		maps.Copy(numbers, of.InForce.Doc.Numbers)
		delete(numbers, costName(7))
		numbers[costName(costHolders-1)] = 7
		return &rules.Change{ID: id, Kind: rules.Renumber, Numbers: numbers, Form: 2}
	}
	free := 0
	for i := range costHolders {
		if i%3 == 0 {
			continue // gone, and its number is free
		}
		n := i
		if n >= costHolders*2/3 {
			n, free = free, free+3
		}
		numbers[costName(i)] = n
	}
	return &rules.Change{ID: id, Kind: rules.Renumber, Numbers: numbers, Form: 2}
}

// countingHost counts what a leader sends to holders and writes it, as the host of a process does.
type countingHost struct {
	nobody
	tb              testing.TB
	messages, bytes int
	streams         int // messages too long for a datagram of 1,200 bytes
	last            *Message
}

func (h *countingHost) Send(_ string, m *Message) {
	text, err := m.Encode()
	if err != nil {
		h.tb.Fatal(err)
	}
	h.messages++
	h.bytes += len(text)
	if len(text) > 1170 {
		h.streams++
	}
	h.last = m
}

// leaderOfMany is a leader, the only voter, that has granted leases to many holders, which have what is in force.
func leaderOfMany(tb testing.TB, host Host, state *rules.State, deltas bool) (*Core, time.Duration) {
	tb.Helper()
	c, err := New(0, Settings{Name: costName(0), InstanceID: 1, Voters: []string{costName(0)}, Times: DefaultTimes()}, 1, Stored{}, host)
	if err != nil {
		tb.Fatal(err)
	}
	now := time.Duration(0)
	c.Tick(now)
	if err := c.voter.install(state); err != nil {
		tb.Fatal(err)
	}
	c.voter.processReady()
	for now < 3*time.Second {
		now += 10 * time.Millisecond
		c.Tick(now)
	}
	if !c.IsLeader() {
		tb.Fatal("it does not lead")
	}
	holdAll(c, now, deltas)
	return c, now
}

// holdAll has all holders renew with what is newest, and take it.
func holdAll(c *Core, now time.Duration, deltas bool) {
	v := c.voter
	holds := holdsOf(&v.state.Rules.Status)
	for i := 1; i < costHolders; i++ {
		m := &Message{Kind: Renew, From: costName(i), InstanceID: 1, Seq: 1, Held: holds, Form: 2, AcceptsDeltas: deltas}
		if deltas {
			m.Digest = v.digests[holds]
		}
		c.Receive(now, m)
	}
	c.Tick(now + 100*time.Millisecond)
	forgetLong(c)
}

// forgetLong has what is long sent again at once, as before there were differences.
func forgetLong(c *Core) {
	for _, l := range c.voter.leases {
		l.longSent = 0
	}
}

// BenchmarkOneChange is what one change costs a leader with 1,400 holders: it is agreed, told to all, acknowledged by each, in force,
// and that is told to all.
func BenchmarkOneChange(b *testing.B) {
	for _, by := range []string{"differences", "whole"} {
		for _, kind := range []string{"ban", "one", "third"} {
			b.Run(kind+"/"+by, func(b *testing.B) {
				base := costDocument(b)
				host := &countingHost{tb: b}
				deltas := by == "differences"
				for i := 0; b.Loop(); i++ {
					b.StopTimer()
					c, now := leaderOfMany(b, host, base.Clone(), deltas)
					host.messages, host.bytes, host.streams = 0, 0, 0
					change := costChange(kind, c.voter.state.Rules, fmt.Sprint(i))
					b.StartTimer()
					if err := c.Propose(now, *change); err != nil {
						b.Fatal(err)
					}
					if !deltas {
						forgetLong(c)
					}
					acknowledge(c, now, deltas)
					acknowledge(c, now, deltas)
					if s := &c.voter.state.Rules.Status; len(s.Pending) > 0 {
						b.Fatalf("%d versions are on their way", len(s.Pending))
					}
				}
				b.ReportMetric(float64(host.messages), "messages")
				b.ReportMetric(float64(host.bytes), "sent-bytes")
				b.ReportMetric(float64(host.streams), "streams")
			})
		}
	}
}

// acknowledge has each holder say that it has what is newest.
func acknowledge(c *Core, now time.Duration, deltas bool) {
	holds := holdsOf(&c.voter.state.Rules.Status)
	for i := 1; i < costHolders; i++ {
		c.Receive(now, &Message{Kind: Acknowledge, From: costName(i), InstanceID: 1, Held: holds, AcceptsDeltas: deltas})
	}
}

// BenchmarkAcknowledgements is one round of them at a leader that has to wait for the last.
func BenchmarkAcknowledgements(b *testing.B) {
	c, now := leaderOfMany(b, &countingHost{tb: b}, costDocument(b), true)
	if err := c.Propose(now, *costChange("ban", c.voter.state.Rules, "one")); err != nil {
		b.Fatal(err)
	}
	holds := holdsOf(&c.voter.state.Rules.Status)
	for b.Loop() {
		for i := 2; i < costHolders; i++ { // the first never does
			c.Receive(now, &Message{Kind: Acknowledge, From: costName(i), InstanceID: 1, Held: holds, AcceptsDeltas: true})
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/(costHolders-2), "ns/acknowledgement")
}

// BenchmarkRenewal is one renewal at a leader where nothing has changed: it is read, granted, and the grant is written.
func BenchmarkRenewal(b *testing.B) {
	host := &countingHost{tb: b}
	c, _ := leaderOfMany(b, host, costDocument(b), true)
	m := &Message{Kind: Renew, From: costName(1), InstanceID: 1, Seq: 1, Held: holdsOf(&c.voter.state.Rules.Status), Form: 2, AcceptsDeltas: true, Digest: c.voter.state.Rules.Status.Digest()}
	text, err := m.Encode()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		read, err := Decode(text)
		if err != nil {
			b.Fatal(err)
		}
		c.voter.grant(read)
	}
}

// BenchmarkHolder is what a message with one change costs its receiver: it is read, applied, and acted on.
func BenchmarkHolder(b *testing.B) {
	for _, by := range []string{"differences", "whole"} {
		for _, kind := range []string{"ban", "one", "third"} {
			for _, pending := range []int{1, rules.MaxPending} {
				if kind == "one" && pending > 1 {
					continue // it cannot be made twice
				}
				b.Run(fmt.Sprintf("%s/%s/%d-pending", kind, by, pending), func(b *testing.B) {
					state := costDocument(b)
					for i := range pending - 1 {
						propose(b, state, costChange("ban", state, fmt.Sprint("before-", i)))
					}
					before := state.Copy()
					propose(b, state, costChange(kind, state, "one"))
					m := &Message{Kind: Update, From: costName(0), To: costName(1), Status: state.Copy()}
					if by == "differences" {
						d, ok := rules.DeltaFrom(state, before.Position())
						if !ok {
							b.Fatal("no delta")
						}
						m.Status, m.Delta = nil, d
					}
					text, err := m.Encode()
					if err != nil {
						b.Fatal(err)
					}
					c, err := New(0, Settings{Name: costName(1), InstanceID: 1, Voters: []string{costName(0)}, Times: DefaultTimes()}, 1, Stored{Rules: before}, nobody{})
					if err != nil {
						b.Fatal(err)
					}
					standing, digest := c.standing, c.digest
					for b.Loop() {
						c.standing, c.digest = standing, digest
						read, err := Decode(text)
						if err != nil {
							b.Fatal(err)
						}
						c.Receive(time.Millisecond, read)
						if c.standing.Last() != state.Last() {
							b.Fatal("not taken")
						}
					}
					b.ReportMetric(float64(len(text)), "bytes")
				})
			}
		}
	}
}

// TestCostsOfAChange: the numbers of a third are free and dealt out, none is held twice, and the document is as long as was meant.
func TestCostsOfAChange(t *testing.T) {
	state := costDocument(t)
	text, err := (&Message{Kind: Update, From: "a", Status: state.Copy()}).Encode()
	if err != nil || len(text) < 30_000 || len(text) > 45_000 {
		t.Errorf("a document of %d bytes, %v", len(text), err)
	}
	before := maps.Clone(state.InForce.Doc.Numbers)
	propose(t, state, costChange("third", state, "one"))
	moved := 0
	for name, n := range state.Pending[0].Doc.Numbers {
		if before[name] != n {
			moved++
		}
	}
	if moved < 250 {
		t.Errorf("%d numbers change", moved)
	}
}
