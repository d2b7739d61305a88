package rig

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"slices"
	"syscall"
	"testing"
	"time"

	"brasswell/internal/rig/loopback"
	"brasswell/internal/rig/story"
)

// unplaced is a rig of two members without addresses.
func unplaced(t *testing.T) *Rig {
	t.Helper()
	s := &story.Story{
		Name: "placed", Members: 2, Backends: 1, Seed: 1, Period: story.Duration(300 * time.Millisecond), Length: story.Duration(time.Second),
		Events: []story.Event{{Do: story.Upgrade, Who: []string{"n1"}}},
	}
	r, err := New(Config{Story: s, Folder: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := r.Close(); err != nil {
			t.Error(err)
		}
	})
	r.board.Close()
	r.letGo()
	r.members, r.board = nil, NewSwitchboard(s.Seed)
	return r
}

// TestTakenNetworkIsDrawnAnew: where something listens at any address of a member, its own or its public one, the rig takes another
// network, before it starts a process.
func TestTakenNetworkIsDrawnAnew(t *testing.T) {
	n := network{loopback.Network{Second: 63, Third: 2 * byte(1+time.Now().UnixNano()%100)}} // where no rig draws
	overTCP := func(address netip.AddrPort) (io.Closer, error) {
		return net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address))
	}
	overUDP := func(address netip.AddrPort) (io.Closer, error) {
		return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	}
	for name, c := range map[string]struct {
		address netip.AddrPort
		listen  func(netip.AddrPort) (io.Closer, error)
	}{
		"fleet, UDP":            {n.Address(1, fleetPort), overUDP},
		"fleet, TCP":            {n.Address(1, fleetPort), overTCP},
		"console":               {n.Address(1, consolePort), overTCP},
		"console of an upgrade": {n.Address(0, evenConsolePort), overTCP},
		"the next one's":        {n.Address(0, oddConsolePort), overTCP},
		"proxy":                 {n.Address(1, proxyPort), overTCP},
		"public":                {n.public(1), overUDP},
		"public, TCP":           {n.public(1), overTCP},
	} {
		t.Run(name, func(t *testing.T) {
			r := unplaced(t)
			taken, err := c.listen(c.address)
			if err != nil {
				t.Fatal(err)
			}
			defer taken.Close()
			drawn := []network{n}
			if err := r.settle(func() network {
				next := drawn[len(drawn)-1]
				drawn = append(drawn, drawNetwork())
				return next
			}); err != nil {
				t.Fatal(err)
			}
			if len(drawn) < 3 || len(r.members) != 2 || slices.ContainsFunc(r.members, func(m *member) bool { return m.real == n.Address(0, fleetPort).String() }) {
				t.Errorf("%d networks drawn, %d members; the first is at %s", len(drawn)-1, len(r.members), r.members[0].real)
			}
		})
	}
}

// TestTwoRigsTakeOtherNetworks: what one rig holds no other takes, also before a process listens; and the tries end.
func TestTwoRigsTakeOtherNetworks(t *testing.T) {
	first, second := unplaced(t), unplaced(t)
	var held network
	if err := first.settle(func() network { held = drawNetwork(); return held }); err != nil {
		t.Fatal(err)
	}
	tries := 0
	if err := second.settle(func() network { tries++; return held }); !errors.Is(err, syscall.EADDRINUSE) || tries != loopback.Tries {
		t.Errorf("%v after %d tries", err, tries)
	}
	first.board.Close()
	first.letGo()
	second.board = NewSwitchboard(1)
	if err := second.settle(func() network { return held }); err != nil {
		t.Errorf("after the first let go: %v", err)
	}
}
