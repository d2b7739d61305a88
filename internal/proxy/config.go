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

// Config is all that a proxy is told.
type Config struct {
	Listen string
	// Inherited is the platform's listening socket where it holds that itself, in place of Listen; the proxy
	// closes its own copy and never shuts the socket down.
	Inherited *os.File
	Console   string // where operators call; "" for nowhere
	// Name and MeetIn are where a second process of this proxy is met, which goes on where this one is; "" for
	// nowhere. It needs an Inherited socket.
	Name, HandoverDir string
	// OnPart is called when the part of the process's memory that is this proxy's own changes; may be nil.
	OnMemoryShare func(part float64)
	Discovery     string
	Seed          uint64
	Settings      *settings.Settings
	CachedList    json.RawMessage // the server list as last had, in discovery's form; may be absent
	Memory        int64           // bytes
	Sockets       int
	Options       Options
	Fleet         Fleet          // nil where it talks to no other proxy
	Rules         Rules          // nil where it agrees on none with others
	Recovery      *recovery.Node // nil where nothing lasts
	Log           *slog.Logger
}

// Fleet is this process's part in its fleet. Its methods may be called at any time.
type Fleet interface {
	// Status says who else is there, as JSON.
	Status(ctx context.Context) ([]byte, error)
	// Figures appends its figures to text.
	Figures(ctx context.Context, text []byte) []byte
	// HandOver lets go of this process's place for another process of this proxy. It is called once that one takes the
	// callers; nothing is said to other proxies.
	HandOver()
}

// Rules are what this process's fleet agrees on. Its methods may be called at any time.
type Rules interface {
	// Rule says whether an act is allowed now, and on what that rests.
	Decide(s rules.Send) (rules.Decision, rules.DecisionBasis)
	// Mode is on what this process acts.
	Mode() accord.Mode
	// Follow tells f on what acts rest, now and after every change of the rules. f must not block.
	Follow(f func(*accord.Basis))
	// Number is this proxy's agreed own number, of how many; ok is false where there is none.
	AgreedNumber(b *accord.Basis) (self, of int, ok bool)
	// ListDrop is the share of the backends that lists may leave out at once; 1 for any.
	MaxListDrop() float64
	// Hold takes in which backends are gone on with though the newest list leaves them out, for people.
	SetHeldBackends(ids []string)
	// Status says how this process stands in the agreement, as JSON.
	Status(ctx context.Context) ([]byte, error)
	// Figures appends its figures to text.
	Figures(text []byte) []byte
	// Propose has a change agreed and returns what became of it.
	Propose(ctx context.Context, c rules.Change) (rules.Answer, error)
	// Refound has this keeper go on alone, in place of a majority that is lost for good.
	Refound(ctx context.Context) error
}
