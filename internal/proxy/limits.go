package proxy

import (
	"errors"
	"math"
	"syscall"

	"brasswell/internal/handover"
	"brasswell/internal/memory"
)

const (
	// reservedSockets is the number of descriptors for discovery, the listener, the runtime and the standard streams.
	reservedSockets = 32
	// callerShare and backendShare are the shares of the other sockets for each side. A request uses one socket on each
	// side. hardCallerShare is higher, because connections that are accepted only to be refused need a few more sockets.
	callerShare, hardCallerShare, backendShare = 0.46, 0.54, 0.46
	// kernelShare is the share of the memory for the kernel buffers of all sockets. They count toward this process's
	// memory limit, but the garbage collector does not see them. Without a limit, the buffers of one connection grow to
	// megabytes.
	kernelShare = 0.2
	// The console may use one descriptor in socketsPerConsoleConn, within the bounds: its callers may keep idle
	// connections open.
	socketsPerConsoleConn, minConsoleConns, maxConsoleConns = 24, 8, 64
	// A socket's buffer is at least minBuffer, since the kernel's own minimum is not much lower, and at most maxBuffer,
	// which holds a body that is read whole.
	minBuffer, maxBuffer = 8 << 10, 64 << 10
)

// socketControl is called for each socket before it is used.
type socketControl = func(network, address string, c syscall.RawConn) error

// socketBuffers returns a hook that limits the kernel buffers of a socket, and of the sockets that a listener accepts.
func socketBuffers(memory int64, sockets int) socketControl {
	// The kernel doubles the requested size, for its own bookkeeping.
	size := int(kernelShare * float64(memory) / float64(4*max(sockets, 1)))
	size = min(max(size, minBuffer), maxBuffer)
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

// limits are the resources of a proxy while no second process of it is running.
type limits struct {
	softCallers, hardCallers, backends int
	account                            int64 // bytes that callers may make the process hold
	onMemoryShare                      func(float64)
}

// divideLimits divides the platform's limits among callers, backends and what callers make the process hold. It first subtracts what channels may use;
// for memory, it subtracts that from c.
func divideLimits(c *Config) (limits, error) {
	sockets := float64(c.Sockets - reservedSockets - consoleConns(c))
	if o := &c.Options.Channels; o.Enabled {
		if err := checkChannelLimits(c, sockets); err != nil {
			return limits{}, err
		}
		sockets -= socketsPerChannel * float64(o.MaxChannels)
		c.Memory -= channelMemory(o)
	}
	return limits{
		softCallers: int(callerShare * sockets), hardCallers: int(hardCallerShare * sockets), backends: int(backendShare * sockets),
		account: memory.Divide(c.Memory, c.Files).Account, onMemoryShare: c.OnMemoryShare,
	}, nil
}

// consoleConns returns the maximum number of console connections.
func consoleConns(c *Config) int {
	if c.Console == "" {
		return 0
	}
	return min(max(c.Sockets/socketsPerConsoleConn, minConsoleConns), maxConsoleConns)
}

// setShare limits this process to a share of the proxy's limits.
func (p *Proxy) setShare(share handover.Share) {
	l := p.limits
	scale := func(fraction float64, of int) int { return max(int(math.Round(fraction*float64(of))), 1) }
	p.callers.SetLimits(scale(share.Callers, l.softCallers), scale(share.Callers, l.hardCallers))
	memoryShare := max(share.Other, minMemoryShare)
	p.backends.SetLimit(scale(memoryShare, l.backends))
	p.memory.Resize(int64(memoryShare * float64(l.account)))
	p.host.SetUpgradeShare(share.Other)
	if l.onMemoryShare != nil {
		l.onMemoryShare(memoryShare)
	}
}

// minMemoryShare is the smallest share of the memory and of the backend connections. A process that only finishes its open
// requests keeps this share.
const minMemoryShare = 0.25
