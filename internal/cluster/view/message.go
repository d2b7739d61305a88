package view

import (
	"slices"
	"time"
)

// maxUpdateBytes bounds the records in a message, so that a datagram with all other fields at their maximum fits 1,200 bytes.
const maxUpdateBytes = 700

// send completes a message and sends it. If the view does not hold the receiver alive, the receiver's record goes first, so that the
// receiver can refute it in its answer.
func (v *View) send(to string, of *Record, m *Message) {
	if !m.Relayed {
		m.From, m.Digest = v.self, v.digest
	}
	remaining := maxUpdateBytes
	if of != nil && of.State != Alive {
		m.Updates = append(m.Updates, *of)
		remaining -= of.size()
	}
	if of == nil || of.State != Dead || m.Kind == Ack { // a dead member that does not answer would use up transmissions of updates
		m.Updates = v.takeUpdates(m.Updates, remaining)
	}
	v.host.Send(to, m)
}

// Receive handles a message from an address; it must have passed Validate.
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
		v.send(from, nil, &Message{Kind: Gossip}) // send the refutation first to the process that sent the wrong record
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

// heldRecord returns this process's record of a member, if it is of the same instance as r or supersedes r; nil otherwise.
func (v *View) heldRecord(r *Record) *Record {
	if h := v.recordOf(r.Name); h != nil && (h.InstanceID == r.InstanceID || h.supersedes(r)) {
		return h
	}
	return nil
}

// receiveSender applies the sender's record of itself.
func (v *View) receiveSender(now time.Duration, from string, m *Message) {
	r := m.From
	if r.Name != v.self.Name {
		v.apply(now, &r, r.Name)
		return
	}
	if r.InstanceID == v.self.InstanceID {
		return // this process's own record, echoed
	}
	// The message itself proves that another living process uses this name.
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

// receiveAck completes the probe or ping that an Ack answers.
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
