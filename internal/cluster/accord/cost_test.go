package accord

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"brasswell/internal/cluster/rules"
)

// Size of the fleet whose costs are measured.
const (
	costHolders  = 1400
	costBans     = 200
	costServices = 35
)

// costDocument returns a state whose document in force has the size that such a fleet needs.
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

// costChange returns a ban, or new numbers: "one" replaces one proxy, whose number another takes, and "third" replaces
// a third of them.
func costChange(kind string, state *rules.State, id string) *rules.Change {
	if kind == "ban" {
		return &rules.Change{ID: id, Kind: rules.Suspend, Server: "node-" + id, Who: "ops", Why: "its disk fails, see ticket 4711", Form: 2}
	}
	numbers := map[string]int{}
	if kind == "one" {
		maps.Copy(numbers, state.InForce.Doc.Numbers)
		delete(numbers, costName(7))
		numbers[costName(costHolders-1)] = 7
		return &rules.Change{ID: id, Kind: rules.Renumber, Numbers: numbers, Form: 2}
	}
	nextFree := 0
	for i := range costHolders {
		if i%3 == 0 {
			continue // this proxy is gone, and its number is free
		}
		n := i
		if n >= costHolders*2/3 {
			n, nextFree = nextFree, nextFree+3
		}
		numbers[costName(i)] = n
	}
	return &rules.Change{ID: id, Kind: rules.Renumber, Numbers: numbers, Form: 2}
}

// countingHost counts a leader's messages to holders. It encodes them, as the host of a process does.
type countingHost struct {
	nopHost
	tb              testing.TB
	messages, bytes int
	streams         int // messages too long for a datagram of 1,200 bytes
	last            *Message
}

func (h *countingHost) Send(_ string, m *Message) {
	data, err := m.Encode()
	if err != nil {
		h.tb.Fatal(err)
	}
	h.messages++
	h.bytes += len(data)
	if len(data) > 1170 {
		h.streams++
	}
	h.last = m
}

// leaderOfMany returns a leader, the only voter, that has granted leases to many holders, which have the version in
// force.
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
		tb.Fatal("the only voter does not lead")
	}
	renewAll(c, now, deltas)
	return c, now
}

// renewAll makes all holders renew their leases with the newest versions.
func renewAll(c *Core, now time.Duration, deltas bool) {
	v := c.voter
	holds := versionsOf(&v.state.Rules.Status)
	for i := 1; i < costHolders; i++ {
		m := &Message{Kind: Renew, From: costName(i), InstanceID: 1, Seq: 1, Held: holds, Form: 2, AcceptsDeltas: deltas}
		if deltas {
			m.Digest = v.digests[holds]
		}
		c.Receive(now, m)
	}
	c.Tick(now + 100*time.Millisecond)
	resetLongSends(c)
}

// resetLongSends lets the leader send long messages again at once, as before there were deltas.
func resetLongSends(c *Core) {
	for _, l := range c.voter.leases {
		l.longSentAt = 0
	}
}

// BenchmarkOneChange measures what one change costs a leader with 1,400 holders: it is committed, sent to all,
// acknowledged by each, brought into force, and that is sent to all.
func BenchmarkOneChange(b *testing.B) {
	for _, format := range []string{"differences", "whole"} {
		for _, kind := range []string{"ban", "one", "third"} {
			b.Run(kind+"/"+format, func(b *testing.B) {
				base := costDocument(b)
				host := &countingHost{tb: b}
				deltas := format == "differences"
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
						resetLongSends(c)
					}
					acknowledge(c, now, deltas)
					acknowledge(c, now, deltas)
					if s := &c.voter.state.Rules.Status; len(s.Pending) > 0 {
						b.Fatalf("%d versions are still pending", len(s.Pending))
					}
				}
				b.ReportMetric(float64(host.messages), "messages")
				b.ReportMetric(float64(host.bytes), "sent-bytes")
				b.ReportMetric(float64(host.streams), "streams")
			})
		}
	}
}

// acknowledge makes each holder acknowledge the newest version.
func acknowledge(c *Core, now time.Duration, deltas bool) {
	holds := versionsOf(&c.voter.state.Rules.Status)
	for i := 1; i < costHolders; i++ {
		c.Receive(now, &Message{Kind: Acknowledge, From: costName(i), InstanceID: 1, Held: holds, AcceptsDeltas: deltas})
	}
}

// BenchmarkAcknowledgements measures a round of acknowledgements at a leader that is still waiting for the last one.
func BenchmarkAcknowledgements(b *testing.B) {
	c, now := leaderOfMany(b, &countingHost{tb: b}, costDocument(b), true)
	if err := c.Propose(now, *costChange("ban", c.voter.state.Rules, "one")); err != nil {
		b.Fatal(err)
	}
	holds := versionsOf(&c.voter.state.Rules.Status)
	for b.Loop() {
		for i := 2; i < costHolders; i++ { // the first holder never acknowledges
			c.Receive(now, &Message{Kind: Acknowledge, From: costName(i), InstanceID: 1, Held: holds, AcceptsDeltas: true})
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/(costHolders-2), "ns/acknowledgement")
}

// BenchmarkRenewal measures one renewal at a leader without changes: it is decoded and granted, and the grant is
// encoded.
func BenchmarkRenewal(b *testing.B) {
	host := &countingHost{tb: b}
	c, _ := leaderOfMany(b, host, costDocument(b), true)
	m := &Message{Kind: Renew, From: costName(1), InstanceID: 1, Seq: 1, Held: versionsOf(&c.voter.state.Rules.Status), Form: 2, AcceptsDeltas: true, Digest: c.voter.state.Rules.Status.Digest()}
	data, err := m.Encode()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		read, err := Decode(data)
		if err != nil {
			b.Fatal(err)
		}
		c.voter.grant(read)
	}
}

// BenchmarkHolder measures what a message with one change costs its receiver, which decodes and applies it.
func BenchmarkHolder(b *testing.B) {
	for _, format := range []string{"differences", "whole"} {
		for _, kind := range []string{"ban", "one", "third"} {
			for _, pending := range []int{1, rules.MaxPending} {
				if kind == "one" && pending > 1 {
					continue // it cannot be proposed twice
				}
				b.Run(fmt.Sprintf("%s/%s/%d-pending", kind, format, pending), func(b *testing.B) {
					state := costDocument(b)
					for i := range pending - 1 {
						propose(b, state, costChange("ban", state, fmt.Sprint("before-", i)))
					}
					before := state.Copy()
					propose(b, state, costChange(kind, state, "one"))
					m := &Message{Kind: Update, From: costName(0), To: costName(1), Status: state.Copy()}
					if format == "differences" {
						d, ok := rules.DeltaFrom(state, before.Position())
						if !ok {
							b.Fatal("no delta")
						}
						m.Status, m.Delta = nil, d
					}
					data, err := m.Encode()
					if err != nil {
						b.Fatal(err)
					}
					c, err := New(0, Settings{Name: costName(1), InstanceID: 1, Voters: []string{costName(0)}, Times: DefaultTimes()}, 1, Stored{Rules: before}, nopHost{})
					if err != nil {
						b.Fatal(err)
					}
					status, digest := c.status, c.digest
					for b.Loop() {
						c.status, c.digest = status, digest
						read, err := Decode(data)
						if err != nil {
							b.Fatal(err)
						}
						c.Receive(time.Millisecond, read)
						if c.status.Last() != state.Last() {
							b.Fatal("the change was not applied")
						}
					}
					b.ReportMetric(float64(len(data)), "bytes")
				})
			}
		}
	}
}

// TestCostDocuments checks the data of the benchmarks: the document has the intended size, and the change of a third
// assigns the free numbers without giving one to two proxies, which Propose would refuse.
func TestCostDocuments(t *testing.T) {
	state := costDocument(t)
	data, err := (&Message{Kind: Update, From: "a", Status: state.Copy()}).Encode()
	if err != nil || len(data) < 30_000 || len(data) > 45_000 {
		t.Errorf("the document has %d bytes, error %v", len(data), err)
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
		t.Errorf("only %d numbers change", moved)
	}
}
