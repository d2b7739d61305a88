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

// gate puts the names to the classes that the host knows by number.
type gate struct {
	rules   Rules
	classes []string
	lists   *keptLists // nil where no list is held back
}

func (g gate) class(n int) string {
	if n < 0 || n >= len(g.classes) {
		return ""
	}
	return g.classes[n]
}

// Open says whether requests of a class are taken now: what nothing may be sent for is refused before anything is done.
func (g gate) Open(class int) bool {
	ruling, _ := g.rules.Decide(rules.Send{Class: g.class(class)})
	return ruling == rules.Allowed
}

func (g gate) Rule(server string, class int, again bool) (rules.Decision, rules.DecisionBasis) {
	return g.rules.Decide(rules.Send{Server: server, Class: g.class(class), MayHaveRun: again, DropHeld: g.lists.holds(server)})
}

// agreed takes in on what acts rest.
func (p *Proxy) agreed(b *accord.Basis) {
	p.host.ApplyAgreed(b.Doc.Bans, b.Doc.QuotaShare())
	if self, of, ok := p.rules.AgreedNumber(b); ok {
		p.host.Renumber(self, of)
	}
	p.lists.agreed(b.Doc)
}

// closedWait is for how long a caller is asked to stay away whose request the agreed rules don't let in.
const closedWait = time.Second

// rulesTime bounds what the console waits for the agreement; its callers are owed an answer within 1 s.
const rulesTime = 700 * time.Millisecond

// Rules says how this process stands in the agreement, as JSON.
func (d desk) Rules(ctx context.Context) ([]byte, error) {
	if d.rules == nil {
		return nil, console.ErrDisabled
	}
	ctx, cancel := context.WithTimeout(ctx, rulesTime)
	defer cancel()
	return d.rules.Status(ctx)
}

// Propose has a change agreed: text is a rules.Change in JSON, and the answer a rules.Answer.
func (d desk) Propose(ctx context.Context, text []byte) ([]byte, error) {
	if d.rules == nil {
		return nil, console.ErrDisabled
	}
	var c rules.Change
	if err := json.Unmarshal(text, &c); err != nil {
		return nil, fmt.Errorf("%w: %w", console.ErrInvalid, err)
	}
	if c.ID == "" {
		return nil, fmt.Errorf("%w: a change needs an id of its own, so that asking twice is no second change", console.ErrInvalid)
	}
	if err := c.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", console.ErrInvalid, err)
	}
	ctx, cancel := context.WithTimeout(ctx, rulesTime)
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

// Refound has this keeper go on alone, in place of a majority that is lost for good.
func (d desk) Refound(ctx context.Context) error {
	if d.rules == nil {
		return console.ErrDisabled
	}
	ctx, cancel := context.WithTimeout(ctx, rulesTime)
	defer cancel()
	return d.rules.Refound(ctx)
}
