package accord

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"brasswell/internal/cluster/rules"
)

func (v *voter) propose(m *Message) {
	for _, a := range v.state.Rules.Answers {
		if a.ID == m.Change.ID {
			v.c.reply(m, &Message{Kind: Result, Answer: &a})
			return
		}
	}
	if _, waiting := v.proposers[m.Change.ID]; waiting {
		return // already in the log; the first request gets the result
	}
	if !v.hasQuorum() {
		v.c.reply(m, &Message{Kind: Result, Answer: &rules.Answer{ID: m.Change.ID, Rejection: "the keepers are still coming together; nothing can be agreed yet"}})
		return
	}
	if name := v.memberWithoutForm(m.Change.RequiredForm()); name != "" {
		refusal := fmt.Sprintf("%s runs a version of the program that does not understand this change; end its upgrade, or its process, and propose again", name)
		v.c.reply(m, &Message{Kind: Result, Answer: &rules.Answer{ID: m.Change.ID, Rejection: refusal}})
		return
	}
	if len(v.proposers) >= maxProposals {
		return // the proposer retries it
	}
	if v.appendCommand(&command{Propose: m.Change}) {
		v.proposers[m.Change.ID] = m
	}
}

// memberWithoutForm returns the name of a reachable proxy that does not understand a form of documents; "" for none. A
// proxy that is unreachable and comes back with an older program gets no lease and is restricted: see Core.understands.
func (v *voter) memberWithoutForm(form uint8) string {
	if v.c.settings.form() < form {
		return v.c.settings.Name
	}
	for _, h := range slices.SortedFunc(maps.Keys(v.leases), compareHolders) {
		if l := v.leases[h]; l.until >= v.c.now && max(l.form, 1) < form {
			return h.name
		}
	}
	for _, name := range v.c.settings.Voters {
		if p := v.peers[name]; p != nil && max(p.form, 1) < form && v.c.now-p.lastHeard < replaceAfter*v.c.settings.Times.Election {
			return name
		}
	}
	return ""
}

// hasQuorum reports whether a majority of the voters that the settings name hold the log. Before that, one lost folder
// could lose committed changes.
//
// After a Refound the check does not apply: the operators accepted that risk.
func (v *voter) hasQuorum() bool {
	return 2*len(v.confState.GetVoters()) > len(v.c.settings.Voters) || v.state.Rules.Term > 0
}

// appendCommand proposes a command as an entry of the log, and reports whether the log accepted it.
func (v *voter) appendCommand(cmd *command) bool {
	data, err := cbor.Marshal(cmd)
	return err == nil && v.raft.Propose(data) == nil
}
