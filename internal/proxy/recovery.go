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

// recoverySide implements the proxy's part of recovery.
type recoverySide struct{ *Proxy }

var _ recovery.Proxy = recoverySide{}

// RestoreState restores the recovered state and begins to follow discovery. If discovery is followed already, its list is newer,
// and only the bans are restored.
func (s recoverySide) RestoreState(state handover.State, lost time.Duration) {
	if s.followState.hasBegun() {
		s.log.Error("recovery: discovery is followed already; only operator bans are restored from the state before this start")
		s.host.BanAll(state.Balancer.Banned)
		return
	}
	s.host.Restore(state.Balancer, state.Addresses, lost)
	if len(state.Balancer.Servers) == 0 { // use the file's list, which the platform had last
		if err := s.loadCachedList(s.fileList); err != nil {
			s.log.Error("recovery: the platform's server list is unusable", "error", err)
		}
	}
	if state.LongestDeadline > 0 {
		s.restart.Restore(state.LongestDeadline, state.LatencyP95)
	}
	s.startFollowing()
}

func (s recoverySide) Now() time.Duration { return s.host.Now() }

func (s recoverySide) State() handover.State {
	state := handover.State{Seq: s.discovery.Seq(), LongestDeadline: s.restart.LongestDeadline(), LatencyP95: s.restart.LatencyP95()}
	state.Balancer, state.Addresses = s.host.SnapshotInBatches()
	return state
}

func (s recoverySide) Outcomes() (asked, lost []int64) {
	asked, lost = make([]int64, len(s.settings.Classes)), make([]int64, len(s.settings.Classes))
	for i := range asked {
		c := s.figures.Class(i)
		lost[i] = c.Shed + c.Errors
		asked[i] = c.OK + lost[i]
	}
	return asked, lost
}

func (s recoverySide) StartTimes() []time.Duration { return s.host.StartTimes() }
func (s recoverySide) Leased() bool                { return s.rules != nil && s.rules.Mode() == accord.Leased }
func (s recoverySide) Banned() []string            { return s.host.Banned() }
func (s recoverySide) Ban(ids []string)            { s.host.BanAll(ids) }

// notifyRecovery wraps update to notify recovery of each list that has been applied.
func (p *Proxy) notifyRecovery(update func(balance.ListKind, []balance.Entry, map[string]string)) func(balance.ListKind, []balance.Entry, map[string]string) {
	return func(kind balance.ListKind, entries []balance.Entry, addresses map[string]string) {
		update(kind, entries, addresses)
		if kind != balance.ListFailed && (kind != balance.Delta || len(entries) > 0) {
			p.recovery.ListUpdated(kind != balance.Cached)
		}
	}
}

// persistTimeout limits how long a console call waits for the disk. The console must answer its callers within 1 s.
const persistTimeout = 500 * time.Millisecond

// persistBan writes an operator's ban, or its lifting, to disk if the proxy persists state.
func (p *Proxy) persistBan(ctx context.Context, id string, banned, joined bool) error {
	if p.recovery == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, persistTimeout)
	defer cancel()
	return p.recovery.PersistBan(ctx, id, banned, joined)
}

// Recovery returns the status of this process's recovery as JSON.
func (d consoleHandler) Recovery(ctx context.Context) ([]byte, error) {
	if d.recovery == nil {
		return nil, console.ErrDisabled
	}
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	return d.recovery.Status(ctx)
}
