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
			v.c.answer(m, &Message{Kind: Result, Answer: &a})
			return
		}
	}
	if _, waits := v.proposers[m.Change.ID]; waits {
		return // in the log already, and its answer goes to who asked first
	}
	if !v.hasQuorum() {
		v.c.answer(m, &Message{Kind: Result, Answer: &rules.Answer{ID: m.Change.ID, Rejection: "the keepers are still coming together; nothing can be agreed yet"}})
		return
	}
	if who := v.memberBelow(m.Change.RequiredForm()); who != "" {
		no := fmt.Sprintf("%s runs a version of the program that does not understand this change; end its upgrade, or its process, and propose again", who)
		v.c.answer(m, &Message{Kind: Result, Answer: &rules.Answer{ID: m.Change.ID, Rejection: no}})
		return
	}
	if len(v.proposers) >= mostProposals {
		return // it is tried again
	}
	if v.appendCommand(&command{Propose: m.Change}) {
		v.proposers[m.Change.ID] = m
	}
}

// memberBelow is the name of a proxy that is there and does not understand a form of documents; "" for none. Who is not there, and comes
// back with an older program, acts carefully and gets no lease: see Core.understands.
func (v *voter) memberBelow(form uint8) string {
	if v.c.set.form() < form {
		return v.c.set.Name
	}
	for _, h := range slices.SortedFunc(maps.Keys(v.leases), compareHolders) {
		if l := v.leases[h]; l.until >= v.c.now && max(l.form, 1) < form {
			return h.name
		}
	}
	for _, name := range v.c.set.Voters {
		if p := v.peers[name]; p != nil && max(p.form, 1) < form && v.c.now-p.heard < replaceAfter*v.c.set.Times.Election {
			return name
		}
	}
	return ""
}

// hasQuorum says whether a majority of the voters that the settings name hold the log: before that, one lost folder would lose
// what was agreed.
//
// Where operators had one go on alone they know that.
func (v *voter) hasQuorum() bool {
	return 2*len(v.conf.GetVoters()) > len(v.c.set.Voters) || v.state.Rules.Term > 0
}

// appendCommand puts a command into the log.
func (v *voter) appendCommand(cmd *command) bool {
	text, err := cbor.Marshal(cmd)
	return err == nil && v.raft.Propose(text) == nil
}
