package calls

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"brasswell/internal/rig"
	"brasswell/internal/rig/loopback"
)

// TestTakenNetworkIsDrawnAnew: a chain does not go where another stands, nor where something listens at one of its addresses.
func TestTakenNetworkIsDrawnAnew(t *testing.T) {
	first, second := &chain{proxies: make([]*rig.Server, 2)}, &chain{proxies: make([]*rig.Server, 2)}
	if err := first.place(drawNetwork); err != nil {
		t.Fatal(err)
	}
	tries := 0
	if err := second.place(func() loopback.Network { tries++; return first.network }); !errors.Is(err, syscall.EADDRINUSE) || tries != loopback.Tries {
		t.Errorf("beside another chain: %v after %d tries", err, tries)
	}
	if err := first.claim.Release(); err != nil {
		t.Fatal(err)
	}
	taken, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(first.network.Address(1, consolePort)))
	if err != nil {
		t.Fatal(err)
	}
	draws := []loopback.Network{first.network}
	if err := second.place(func() loopback.Network {
		next := draws[len(draws)-1]
		draws = append(draws, drawNetwork())
		return next
	}); err != nil || len(draws) < 3 {
		t.Errorf("beside a console: %v after %d tries", err, len(draws)-1)
	}
	if err := errors.Join(taken.Close(), second.claim.Release()); err != nil {
		t.Fatal(err)
	}
	if err := second.place(func() loopback.Network { return first.network }); err != nil {
		t.Errorf("once all is free: %v", err)
	} else if err := second.claim.Release(); err != nil {
		t.Error(err)
	}
}
