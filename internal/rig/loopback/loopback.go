// Package loopback divides 127.0.0.0/8 among those that run many processes on this machine, so that no run listens where another
// is about to.
package loopback

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
)

// Range is the second bytes of the addresses that one kind of run draws from, both ends included.
type Range struct{ First, Last byte }

// The ranges of all kinds. They are disjoint, and leave out 127.0.0.0/10, where everybody else listens.
var (
	Rigs      = Range{64, 103}  // package rig
	Chains    = Range{104, 127} // package calls
	ScaleRuns = Range{128, 250} // package scale
)

// Draw is a second byte of the range.
func (r Range) Draw() byte { return r.First + byte(rand.IntN(int(r.Last)-int(r.First)+1)) }

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
