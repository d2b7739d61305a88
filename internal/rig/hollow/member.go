package hollow

import (
	"fmt"
	"log/slog"

	"brasswell/internal/cluster"
	"brasswell/internal/cluster/agreement"
)

// member is one start of a hollow member: the view and the agreement of a proxy, with their sockets. One that is only observed is a
// process elsewhere, and has neither here.
type member struct {
	*watch
	node  *cluster.Node
	rules *agreement.Node
}

func (h *Host) open(s Spec) (*member, error) {
	m := &member{watch: newWatch(h, s)}
	log := slog.New(tap{m.watch})
	var err error
	m.node, err = cluster.Open(cluster.Config{
		Options: h.viewOptions(s), Name: s.Name, Seed: h.fleet.Seed ^ Digest(s.Name), InstanceID: s.Boot, Path: h.network.From(Place{Zone: s.Zone}), Log: log,
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	m.rules, err = agreement.Open(agreement.Config{
		Options: h.rulesOptions(s), Fleet: h.fleet.Name, Name: s.Name, InstanceID: s.Boot, Seed: h.fleet.Seed, Volatile: s.Folder == "", Log: log,
	}, m.node.Endpoint(cluster.AgreementKind))
	if err != nil {
		m.node.Close(false)
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	m.rules.Follow(m.act)
	return m, nil
}

func (h *Host) viewOptions(s Spec) cluster.Options {
	o := cluster.DefaultOptions()
	o.Enabled, o.Name, o.Listen, o.Seeds, o.Period = true, h.fleet.Name, s.Address, h.fleet.Seeds, h.fleet.Period
	return o
}

func (h *Host) rulesOptions(s Spec) agreement.Options {
	o := agreement.DefaultOptions()
	o.Enabled, o.Voters, o.Folder, o.Lease, o.AssignNumbers = true, h.fleet.Voters, s.Folder, h.fleet.Lease, h.fleet.Numbers
	return o
}

// close ends the member without a word to others, as when its process is killed.
func (m *member) close() {
	if m.node == nil {
		return
	}
	m.node.Close(false)
	m.rules.Close(false)
}

// usage is what the member has sent and received. Messages that come by a stream are not counted by the link as received.
func (m *member) usage() MemberUsage {
	c, late := m.node.Counts()
	m.mu.Lock()
	defer m.mu.Unlock()
	return MemberUsage{
		Name: m.spec.Name, Boot: m.spec.Boot, Leads: m.leads, Sent: c.Sent, SentBytes: c.SentBytes, Received: c.Received,
		ReceivedBytes: c.ReceivedBytes, Dropped: c.Flood + c.Unsent + late + m.rules.DroppedMessages(),
	}
}
