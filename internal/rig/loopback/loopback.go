// Package loopback divides 127.0.0.0/8 among those that run many processes on this machine, so that no run listens where another
// is about to.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"syscall"
)

// Range is the second bytes of the addresses that one kind of run draws from, both ends included.
type Range struct{ First, Last byte }

// The ranges of all kinds. They are disjoint, and leave out 127.0.0.0/10, where everybody else listens.
var (
	Rigs      = Range{64, 103}  // package rig
	Chains    = Range{104, 127} // package calls
	ScaleRuns = Range{128, 230} // package scale
	Soaks     = Range{231, 250} // package soak
	Crowds    = Range{251, 254} // package slowclients
)

// Draw is a second byte of the range.
func (r Range) Draw() byte { return r.First + byte(rand.IntN(int(r.Last)-int(r.First)+1)) }

// Network is the second and third bytes of the addresses of a run.
type Network struct{ Second, Third byte }

// Address is that of one of its processes, from 0 on, at a port.
func (n Network) Address(process int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n.Second, n.Third, byte(process + 1)}), port)
}

// Tries is how often a place is drawn for one whose addresses are all free.
const Tries = 10

// UntilFree calls place, which draws a place and takes it, until that fails for another reason than an address that is taken, or Tries
// times.
func UntilFree(place func() error) error {
	for try := 1; ; try++ {
		err := place()
		if err == nil || try == Tries || !errors.Is(err, syscall.EADDRINUSE) {
			return err
		}
	}
}

// TakenError is that of an address at which something listens already.
type TakenError struct {
	Address netip.AddrPort
	Err     error
}

func (e *TakenError) Error() string { return fmt.Sprintf("%s is taken: %v", e.Address, e.Err) }

func (e *TakenError) Unwrap() error { return e.Err }

// CheckFree is a *TakenError of the first address at which a process cannot listen, over UDP and over TCP. It holds none of them:
// who runs beside has to be kept away by a claim.
func CheckFree(addresses []netip.AddrPort) error {
	for _, address := range addresses {
		udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
		if err != nil {
			return &TakenError{address, err}
		}
		udp.Close()
		tcp, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address))
		if err != nil {
			return &TakenError{address, err}
		}
		tcp.Close()
	}
	return nil
}

// Claim listens at addresses that no process of a run uses, each of which stands for some that they do use: the next run that claims
// one of them gets a *TakenError.
type Claim struct{ held []net.Listener }

// NewClaim holds all of the addresses, or none.
func NewClaim(addresses []netip.AddrPort) (*Claim, error) {
	c := &Claim{}
	for _, address := range addresses {
		l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address))
		if err != nil {
			return nil, errors.Join(&TakenError{address, err}, c.Release())
		}
		c.held = append(c.held, l)
	}
	return c, nil
}

// Release lets go of them.
func (c *Claim) Release() error {
	var errs []error
	for _, l := range c.held {
		errs = append(errs, l.Close())
	}
	c.held = nil
	return errors.Join(errs...)
}
