package proxy

import (
	"errors"
	"math"
	"syscall"

	"brasswell/internal/handover"
)

const (
	// reservedSockets are for discovery, the listener, the runtime and the standard streams.
	reservedSockets = 32
	// callerShare and backendShare of the other sockets are for each side. A request uses one of each, and
	// callers' connections that are only there to be refused need a few more.
	callerShare, crowdShare, backendShare = 0.46, 0.54, 0.46
	// bodyShare of the memory may hold callers' bodies. The rest is for answers (body.WholeBytes for each
	// backend connection at most), streams' windows, connections and the collector's slack.
	bodyShare = 0.25
	// kernelShare of the memory bounds what all sockets may hold in the kernel, where it counts as ours and
	// the collector does not see it. Left alone, one connection's buffers grow to megabytes.
	kernelShare = 0.2
	// The console holds one of consoleShare descriptors, within bounds: its callers may stay and say nothing.
	consoleShare, leastConsole, mostConsole = 24, 8, 64
	// A socket's buffer is no smaller than leastBuffer, which the kernel would not go below by much, and
	// needs to be no larger than mostBuffer, which takes a body that is read whole.
	leastBuffer, mostBuffer = 8 << 10, 64 << 10
)

// socketControl is called with each socket before it is used.
type socketControl = func(network, address string, c syscall.RawConn) error

// socketBuffers returns a hook that bounds the kernel's buffers of a socket, and of those that a listener accepts.
func socketBuffers(memory int64, sockets int) socketControl {
	// The kernel doubles what is asked for, to leave room for its own records.
	size := int(kernelShare * float64(memory) / float64(4*max(sockets, 1)))
	size = min(max(size, leastBuffer), mostBuffer)
	return func(_, _ string, c syscall.RawConn) error {
		var err error
		control := c.Control(func(fd uintptr) {
			for _, option := range []int{syscall.SO_RCVBUF, syscall.SO_SNDBUF} {
				err = errors.Join(err, syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, size))
			}
		})
		return errors.Join(control, err)
	}
}

// limits are what a proxy may hold when it is alone.
type limits struct {
	soft, hard, backends int
	bodies               int64
	onPart               func(float64)
}

// divide divides what the platform allows among the proxy's sides. What channels may hold is taken from c.
func divide(c *Config) (limits, error) {
	sockets := float64(c.Sockets - reservedSockets - consoleConns(c))
	if o := &c.Options.Channels; o.Enabled {
		if err := roomForChannels(c, sockets); err != nil {
			return limits{}, err
		}
		sockets -= socketsOfChannel * float64(o.MaxChannels)
		c.Memory -= memoryOfChannels(o)
	}
	return limits{
		soft: int(callerShare * sockets), hard: int(crowdShare * sockets), backends: int(backendShare * sockets),
		bodies: int64(bodyShare * float64(c.Memory)), onPart: c.OnMemoryShare,
	}, nil
}

// consoleConns is how many connections operators may have.
func consoleConns(c *Config) int {
	if c.Console == "" {
		return 0
	}
	return min(max(c.Sockets/consoleShare, leastConsole), mostConsole)
}

// setPart makes a part of the proxy's limits this process's own.
func (p *Proxy) setPart(part handover.Share) {
	l := p.limits
	share := func(part float64, of int) int { return max(int(math.Round(part*float64(of))), 1) }
	p.callers.SetLimits(share(part.Callers, l.soft), share(part.Callers, l.hard))
	memory := max(part.Other, leastPart)
	p.backends.SetLimit(share(memory, l.backends))
	p.bodies.Resize(int64(memory * float64(l.bodies)))
	p.host.SetUpgradeShare(part.Other)
	if l.onPart != nil {
		l.onPart(memory)
	}
}

// leastPart of the memory and the backends' connections is for a process that only finishes what it has.
const leastPart = 0.25
