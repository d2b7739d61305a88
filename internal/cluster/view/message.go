package view

import (
	"slices"
	"time"
)

// newsRoom is the bytes of records in a message; a datagram holds 1,200 with its other fields at their longest.
const maxUpdateBytes = 700

// send completes a message and sends it. If the receiver is not held alive, that record goes first, so that the receiver can refute it in
// its answer.
func (v *View) send(to string, of *Record, m *Message) {
	if !m.Relayed {
		m.From, m.Digest = v.self, v.digest
	}
	remaining := maxUpdateBytes
	if of != nil && of.State != Alive {
		m.Updates = append(m.Updates, *of)
		remaining -= of.size()
	}
	if of == nil || of.State != Dead || m.Kind == Ack { // a dead one that does not answer would use the news up
		m.Updates = v.takeUpdates(m.Updates, remaining)
	}
	v.host.Send(to, m)
}

// Receive handles a datagram that came from an address; it must be Sound.
func (v *View) Receive(now time.Duration, from string, m *Message) {
	v.detectPause(now)
	if v.leaving {
		return
	}
	v.lastReceivedAt = now
	incarnation := v.self.Incarnation
	v.receiveSender(now, from, m)
	for i := range m.Updates {
		v.apply(now, &m.Updates[i], m.From.Name)
	}
	if v.self.Incarnation != incarnation && m.Kind != Ping && !m.Relayed {
		v.send(from, nil, &Message{Kind: Gossip}) // who told of us what is not so hears it first
	}
	switch m.Kind {
	case Ping:
		v.send(from, v.heldRecord(&m.From), &Message{Kind: Ack, Seq: m.Seq})
	case Ack:
		v.receiveAck(now, m)
	case Request:
		v.ping(now, m.Target.Address, v.heldRecord(m.Target), pendingPing{relay: &relay{m.Seq, from}, until: now + 2*v.settings.Period})
	}
	if !m.Relayed {
		v.compareDigests(now, m)
	}
}

// heldRecord is what this process holds of the sender of a record, if that is of the same start or later.
func (v *View) heldRecord(r *Record) *Record {
	if h := v.recordOf(r.Name); h != nil && (h.InstanceID == r.InstanceID || h.supersedes(r)) {
		return h
	}
	return nil
}

// receiveSender applies what the sender of a message says of itself.
func (v *View) receiveSender(now time.Duration, from string, m *Message) {
	r := m.From
	if r.Name != v.self.Name {
		v.apply(now, &r, r.Name)
		return
	}
	if r.InstanceID == v.self.InstanceID {
		return // our own, come back
	}
	// There is no doubt: this name has another living process.
	if v.duplicate == nil || v.duplicate.InstanceID != r.InstanceID {
		v.host.Changed(Change{Record: r, Was: Alive, Why: Duplicate})
	}
	v.duplicate, v.duplicateSeenAt = &r, now
	if v.displaced {
		v.apply(now, &r, r.Name)
		return
	}
	if r.supersedes(&v.self) && r.State == Alive {
		v.yieldName(now, r)
	}
}

// receiveAck ends the probe or ping that an Ack answers.
func (v *View) receiveAck(now time.Duration, m *Message) {
	if i := slices.IndexFunc(v.probes, func(p probe) bool { return p.seq == m.Seq }); i >= 0 {
		if p := v.probes[i]; p.name == m.From.Name {
			v.probes = slices.Delete(v.probes, i, i+1)
			v.health = max(v.health-1, 0)
		}
		return
	}
	a, known := v.pendingPings[m.Seq]
	if !known {
		return
	}
	delete(v.pendingPings, m.Seq)
	if a.relay != nil {
		v.send(a.relay.to, nil, &Message{Kind: Ack, Seq: a.relay.seq, From: m.From, Relayed: true})
	}
}
