package proxy

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"brasswell/internal/cluster/accord"
	"brasswell/internal/cluster/rules"
	"brasswell/internal/console"
)

// rulesGate checks sends against the agreed rules, and maps the host's class numbers to class names.
type rulesGate struct {
	rules   Rules
	classes []string
	lists   *listGuard // nil if lists are not checked
}

func (g rulesGate) className(n int) string {
	if n < 0 || n >= len(g.classes) {
		return ""
	}
	return g.classes[n]
}

// Open reports whether requests of a class are admitted now. A request that the rules do not let the proxy send is refused
// before any work is done for it.
func (g rulesGate) Open(class int) bool {
	decision, _ := g.rules.Decide(rules.Send{Class: g.className(class)})
	return decision == rules.Allowed
}

func (g rulesGate) Decide(server string, class int, mayHaveRun bool) (rules.Decision, rules.DecisionBasis) {
	return g.rules.Decide(rules.Send{Server: server, Class: g.className(class), MayHaveRun: mayHaveRun, DropHeld: g.lists.isHeld(server)})
}

// applyRules applies the current basis of the agreed rules.
func (p *Proxy) applyRules(b *accord.Basis) {
	p.host.ApplyAgreed(b.Doc.Bans, b.Doc.QuotaShare())
	if self, of, ok := p.rules.AgreedNumber(b); ok {
		p.host.Renumber(self, of)
	}
	p.lists.setRules(b.Doc)
}

// closedRetryAfter is the retry time for callers whose requests the agreed rules do not admit.
const closedRetryAfter = time.Second

// rulesTimeout limits how long the console waits for the agreement. The console must answer its callers within 1 s.
const rulesTimeout = 700 * time.Millisecond

// Rules returns this process's position in the agreement as JSON.
func (d consoleHandler) Rules(ctx context.Context) ([]byte, error) {
	if d.rules == nil {
		return nil, console.ErrDisabled
	}
	ctx, cancel := context.WithTimeout(ctx, rulesTimeout)
	defer cancel()
	return d.rules.Status(ctx)
}

// Propose submits a change for agreement: text is a rules.Change in JSON, and the answer is a rules.Answer.
func (d consoleHandler) Propose(ctx context.Context, text []byte) ([]byte, error) {
	if d.rules == nil {
		return nil, console.ErrDisabled
	}
	var c rules.Change
	if err := json.Unmarshal(text, &c); err != nil {
		return nil, fmt.Errorf("%w: %w", console.ErrInvalid, err)
	}
	if c.ID == "" {
		return nil, fmt.Errorf("%w: a change needs a unique id, so that a repeated request is not applied as a second change", console.ErrInvalid)
	}
	if err := c.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", console.ErrInvalid, err)
	}
	ctx, cancel := context.WithTimeout(ctx, rulesTimeout)
	defer cancel()
	a, err := d.rules.Propose(ctx, c)
	if err != nil {
		return nil, err
	}
	if a.Rejection != "" {
		return nil, errors.Join(console.ErrRefused, errors.New(a.Rejection))
	}
	return json.Marshal(a)
}

// Refound makes this voter continue alone, to replace a majority that is permanently lost.
func (d consoleHandler) Refound(ctx context.Context) error {
	if d.rules == nil {
		return console.ErrDisabled
	}
	ctx, cancel := context.WithTimeout(ctx, rulesTimeout)
	defer cancel()
	return d.rules.Refound(ctx)
}
