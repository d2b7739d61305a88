package hollow

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"brasswell/internal/cluster"
	"brasswell/internal/cluster/agreement"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testFleet is one whose members nobody runs.
func testFleet() Fleet {
	return Fleet{Name: "test", Layout: threeRegions, Voters: []string{"a"}, Lease: time.Second, Period: 100 * time.Millisecond, Seed: 1}
}

// line is one of a real proxy's log.
func line(at time.Time, message string, fields map[string]any) string {
	all := map[string]any{"time": at, "level": "INFO", "msg": message}
	for k, v := range fields {
		all[k] = v
	}
	text, err := json.Marshal(all)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// TestObserve: what a proxy's log says is what its sample shows.
func TestObserve(t *testing.T) {
	h := NewHost(testFleet())
	say := h.Observe(Spec{Name: "r", Zone: 0})
	address := func(zone int) string { return threeRegions.Address(Place{Zone: zone}, 0).String() }
	member := func(name, state, was string, boot, zone int) {
		say(line(time.Now(), cluster.LogMember, map[string]any{"member": name, "state": state, "was": was, "boot": fmt.Sprintf("%x", boot), "address": address(zone)}))
	}
	h.SetLiving(Living{Up: []Boot{{"r", 0}, {"a", 7}, {"b", 8}, {"c", 9}}})
	member("a", "alive", "unknown", 7, 1)
	member("b", "alive", "unknown", 8, 2)
	member("c", "alive", "unknown", 9, 0)
	member("a", "suspect", "alive", 7, 1)
	say("no JSON, which is passed over")
	say(line(time.Now(), agreement.LogMode, map[string]any{"mode": "leased"}))
	say(line(time.Now(), agreement.LogRules, map[string]any{"version": 3, "last": 4}))
	s := h.Sample()
	if s.Living != 1 || s.Leased != 1 || s.Joined != 1 || s.Views[Digest("r", "a", "b", "c")] != 1 || s.LowVersion != 3 || s.LastVersion != 4 || s.FalseDeaths != 0 {
		t.Errorf("%+v", s)
	}

	member("a", "dead", "suspect", 6, 1) // of an earlier start: it is no more
	member("c", "dead", "alive", 9, 0)   // it lives
	h.Cut(Cut{Region: 2})
	member("b", "dead", "alive", 8, 2) // it is cut off
	h.SetLiving(Living{Down: []string{"a"}})
	member("a", "alive", "dead", 7, 1)
	member("a", "dead", "alive", 7, 1)
	say(line(time.Now(), agreement.LogMode, map[string]any{"mode": "alone"}))
	if s := h.Sample(); s.FalseDeaths != 1 || s.Views[Digest("r")] != 1 || s.Leased != 0 || s.Lost != 1 || s.Joined != 1 {
		t.Errorf("%+v", s)
	}
}

// TestSpread: a change counts for members that had a lease before its proposal, and apart for those that were cut off.
func TestSpread(t *testing.T) {
	h := NewHost(testFleet())
	second := func(s int) int64 { return int64(s) * int64(time.Second) }
	observe := func(name string, zone, joined int, versions ...learned) {
		h.Observe(Spec{Name: name, Zone: zone})
		w := h.members[name].watch
		w.joined, w.versions = second(joined), versions
	}
	observe("near", 0, 1, learned{second(11), 0, 1}, learned{second(12), 1, 1})
	observe("slow", 1, 1, learned{second(11), 0, 1})
	observe("new", 0, 20, learned{second(20), 1, 1})
	observe("cut", 2, 1, learned{second(31), 1, 1})
	h.cuts = []cutSpan{{region: 2, begin: second(5), end: second(30)}}

	ask := SpreadRequest{Changes: []Change{{Version: 1, ProposedNS: second(10)}}}
	if got, want := h.Spread(ask)[0], (Spread{Version: 1, Members: 2, Known: 2, Acting: 1, KnownNS: second(11), ActingNS: second(12)}); got != want {
		t.Errorf("%+v; want %+v", got, want)
	}
	ask.CutOff = true
	if got, want := h.Spread(ask)[0], (Spread{Version: 1, Members: 1, Known: 1, Acting: 1, KnownNS: second(31), ActingNS: second(31)}); got != want {
		t.Errorf("cut off: %+v; want %+v", got, want)
	}
	ask = SpreadRequest{Changes: []Change{{Version: 1, ProposedNS: second(30)}}, CutOff: true}
	if got := h.Spread(ask)[0]; got.Members != 0 {
		t.Errorf("proposed after the cut: %+v", got)
	}
}

// TestServe: each request is answered by its ID, one that cannot be done with an error, and all ends with the requests.
func TestServe(t *testing.T) {
	in, asks := io.Pipe()
	replies, out := io.Pipe()
	ended := make(chan error, 1)
	go func() {
		ended <- Serve(in, out)
		out.Close()
	}()
	reading := json.NewDecoder(replies)
	ask := func(r Request) Reply {
		t.Helper()
		if err := json.NewEncoder(asks).Encode(r); err != nil {
			t.Fatal(err)
		}
		var reply Reply
		if err := reading.Decode(&reply); err != nil || reply.ID != r.ID {
			t.Fatalf("%+v, %v", reply, err)
		}
		return reply
	}
	if r := ask(Request{ID: 1, Sample: &SampleRequest{}}); !strings.Contains(r.Error, "not configured") {
		t.Errorf("%+v", r)
	}
	f := testFleet()
	f.Layout.Base = freeBase(t)
	f.Voters = []string{"v"}
	ask(Request{ID: 2, Configure: &f})
	if r := ask(Request{ID: 3}); r.Error == "" {
		t.Errorf("%+v", r)
	}
	specs := []Spec{
		{Name: "v", Address: f.Layout.Address(Place{}, 0).String(), Boot: 1, Folder: t.TempDir()},
		{Name: "m", Address: f.Layout.Address(Place{}, 1).String(), Boot: 2},
	}
	f.Seeds = []string{specs[0].Address}
	ask(Request{ID: 4, Configure: &f})
	if r := ask(Request{ID: 5, Start: &Start{Members: specs}}); r.Error != "" {
		t.Fatal(r.Error)
	}
	if r := ask(Request{ID: 6, Start: &Start{Members: specs[:1]}}); !strings.Contains(r.Error, "runs already") {
		t.Errorf("%+v", r)
	}
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		r := ask(Request{ID: 7, Sample: &SampleRequest{}})
		if r.Sample.Leased == 2 && r.Sample.Views[Digest("v", "m")] == 2 && r.Sample.Leader == "v" {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("%+v", r.Sample)
		}
	}
	if r := ask(Request{ID: 8, Propose: &Propose{At: "m", Kind: Ban, Backend: "b", Within: 20 * time.Second}}); r.Proposal == nil || r.Proposal.Version == 0 {
		t.Errorf("%+v, %s", r.Proposal, r.Error)
	}
	if r := ask(Request{ID: 9, Stop: &Stop{Names: []string{"m"}}}); r.Error != "" {
		t.Error(r.Error)
	}
	if r := ask(Request{ID: 10, Stop: &Stop{Names: []string{"m"}}}); !strings.Contains(r.Error, "does not run") {
		t.Errorf("%+v", r)
	}
	if r := ask(Request{ID: 11, Document: &MemberName{"v"}}); r.Document == nil || r.Document.Bans != 1 {
		t.Errorf("%+v, %s", r.Document, r.Error)
	}
	asks.Close()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// freeBase is a base whose first addresses nobody listens at, beyond those that runs take.
func freeBase(t *testing.T) int {
	t.Helper()
	for base := 251; base < 255; base++ {
		l := Layout{Base: base, Zones: 1, Regions: 1}
		if canListen(l.ClaimAddress(0)) && canListen(l.Address(Place{}, 0)) {
			return base
		}
	}
	t.Fatal("no addresses are free")
	return 0
}

func canListen(at netip.AddrPort) bool {
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(at))
	if err == nil {
		l.Close()
	}
	return err == nil
}
