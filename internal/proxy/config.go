package proxy

import (
	"context"
	"encoding/json"
	"log/slog"
	"os"

	"brasswell/internal/cluster/accord"
	"brasswell/internal/cluster/rules"
	"brasswell/internal/recovery"
	"brasswell/internal/settings"
)

// Config is the configuration of one proxy.
type Config struct {
	Listen string
	// Inherited, if set, is used in place of Listen: it is a listening socket that the platform owns. The proxy closes
	// its own copy of it and never shuts the socket down.
	Inherited *os.File
	Console   string // address of the operators' console; "" for none
	// Name and HandoverDir locate the socket over which a second process of this proxy takes over this one's state;
	// "" for no handover. A handover needs an Inherited socket.
	Name, HandoverDir string
	// OnMemoryShare is called when this process's share of the proxy's memory limit changes, as in a handover; may be nil.
	OnMemoryShare func(share float64)
	Discovery     string
	Seed          uint64
	Settings      *settings.Settings
	CachedList    json.RawMessage // the last known server list, in discovery's format; may be absent
	Memory        int64           // bytes
	Files         int64           // bytes of it that the mapped files of the process hold
	Sockets       int
	Options       Options
	Fleet         Fleet          // nil if the proxy does not communicate with other proxies
	Rules         Rules          // nil if there are no agreed rules
	Recovery      *recovery.Node // nil if no state is persisted
	Log           *slog.Logger
}

// Fleet is this process's membership in its fleet. Its methods may be called at any time.
type Fleet interface {
	// Status returns the other known members as JSON.
	Status(ctx context.Context) ([]byte, error)
	// Figures appends its metrics to text.
	Figures(ctx context.Context, text []byte) []byte
	// HandOver gives up this process's membership in favor of another process of this proxy. It is called once that
	// process serves the callers. Other proxies are not notified.
	HandOver()
}

// Rules are what this process's fleet agrees on. Its methods may be called at any time.
type Rules interface {
	// Decide returns whether a send is allowed now, and the basis of that decision.
	Decide(s rules.Send) (rules.Decision, rules.DecisionBasis)
	// Mode returns the mode in which this process acts on the rules: with a lease, alone, or not at all.
	Mode() accord.Mode
	// Follow calls f with the current basis of decisions, and again after every change of the rules. f must not block.
	Follow(f func(*accord.Basis))
	// AgreedNumber returns this proxy's agreed instance number and the number of instances; ok is false if there is none.
	AgreedNumber(b *accord.Basis) (self, of int, ok bool)
	// MaxListDrop returns the largest share of the backends that a list may leave out at once; 1 allows any.
	MaxListDrop() float64
	// SetHeldBackends sets the backends that stay in use although the newest list leaves them out. They are reported to
	// operators.
	SetHeldBackends(ids []string)
	// Status returns this process's position in the agreement as JSON.
	Status(ctx context.Context) ([]byte, error)
	// Figures appends its metrics to text.
	Figures(text []byte) []byte
	// Propose submits a change for agreement and returns the outcome.
	Propose(ctx context.Context, c rules.Change) (rules.Answer, error)
	// Refound makes this voter continue alone, to replace a majority that is permanently lost.
	Refound(ctx context.Context) error
}
