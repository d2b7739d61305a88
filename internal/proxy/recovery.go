package proxy

import (
	"context"
	"time"

	"brasswell/balance"
	"brasswell/internal/cluster/accord"
	"brasswell/internal/console"
	"brasswell/internal/handover"
	"brasswell/internal/recovery"
)

// side is the proxy's side of its way back.
type side struct{ *Proxy }

var _ recovery.Proxy = side{}

// Begin takes up what is known, and begins to follow discovery. Where that is followed already, its list is newer: only the bans are taken up.
func (s side) RestoreState(k handover.State, lost time.Duration) {
	if s.following.hasBegun() {
		s.log.Error("recovery: the server list is followed already; of what was known before this start only bans by hand are used")
		s.host.BanAll(k.Balancer.Banned)
		return
	}
	s.host.Restore(k.Balancer, k.Addresses, lost)
	if len(k.Balancer.Servers) == 0 { // the file's list, as the platform last had it
		if err := s.known(s.fileList); err != nil {
			s.log.Error("the platform's list is not used", "error", err)
		}
	}
	if k.LongestDeadline > 0 {
		s.restart.Restore(k.LongestDeadline, k.LatencyP95)
	}
	s.follow()
}

func (s side) Now() time.Duration { return s.host.Now() }

func (s side) State() handover.State {
	k := handover.State{Seq: s.discovery.Seq(), LongestDeadline: s.restart.LongestDeadline(), LatencyP95: s.restart.LatencyP95()}
	k.Balancer, k.Addresses = s.host.SnapshotInBatches()
	return k
}

func (s side) Outcomes() (asked, lost []int64) {
	asked, lost = make([]int64, len(s.settings.Classes)), make([]int64, len(s.settings.Classes))
	for i := range asked {
		c := s.figures.Class(i)
		lost[i] = c.Shed + c.Errors
		asked[i] = c.OK + lost[i]
	}
	return asked, lost
}

func (s side) StartTimes() []time.Duration { return s.host.StartTimes() }
func (s side) Leased() bool                { return s.rules != nil && s.rules.Mode() == accord.Leased }
func (s side) Banned() []string            { return s.host.Banned() }
func (s side) Ban(ids []string)            { s.host.BanAll(ids) }

// listed tells the way back of each list that has been taken in.
func (p *Proxy) listed(update func(balance.ListKind, []balance.Entry, map[string]string)) func(balance.ListKind, []balance.Entry, map[string]string) {
	return func(kind balance.ListKind, entries []balance.Entry, addresses map[string]string) {
		update(kind, entries, addresses)
		if kind != balance.ListFailed && (kind != balance.Delta || len(entries) > 0) {
			p.recovery.ListUpdated(kind != balance.Cached)
		}
	}
}

// keepTime bounds what a console's call waits for the disk; its callers are owed an answer within 1 s.
const keepTime = 500 * time.Millisecond

// kept makes a change by hand last, where anything does.
func (p *Proxy) kept(ctx context.Context, id string, out, joined bool) error {
	if p.recovery == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, keepTime)
	defer cancel()
	return p.recovery.PersistBan(ctx, id, out, joined)
}

// Recovery says how this process has come back, as JSON.
func (d desk) Recovery(ctx context.Context) ([]byte, error) {
	if d.recovery == nil {
		return nil, console.ErrDisabled
	}
	ctx, cancel := context.WithTimeout(ctx, fleetTime)
	defer cancel()
	return d.recovery.Status(ctx)
}
