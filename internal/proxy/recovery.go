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
type recoverySide struct{ *Proxy }

var _ recovery.Side = recoverySide{}

// Begin takes up what is known, and begins to follow discovery. Where that is followed already, its list is newer: only the bans are taken up.
func (s recoverySide) Begin(state handover.Knowledge, lost time.Duration) {
	if s.followState.hasBegun() {
		s.log.Error("recovery: the server list is followed already; of what was known before this start only bans by hand are used")
		s.host.BanAll(state.Balancer.Banned)
		return
	}
	s.host.Restore(state.Balancer, state.Addresses, lost)
	if len(state.Balancer.Servers) == 0 { // the file's list, as the platform last had it
		if err := s.loadCachedList(s.fileList); err != nil {
			s.log.Error("the platform's list is not used", "error", err)
		}
	}
	if state.Longest > 0 {
		s.restart.Resume(state.Longest, state.Usual)
	}
	s.startFollowing()
}

func (s recoverySide) Now() time.Duration { return s.host.Now() }

func (s recoverySide) Known() handover.Knowledge {
	state := handover.Knowledge{Seq: s.discovery.Seq(), Longest: s.restart.Longest(), Usual: s.restart.Usual()}
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

func (s recoverySide) Births() []time.Duration { return s.host.StartTimes() }
func (s recoverySide) Leased() bool            { return s.rules != nil && s.rules.Mode() == accord.Leased }
func (s recoverySide) Banned() []string        { return s.host.Banned() }
func (s recoverySide) Ban(ids []string)        { s.host.BanAll(ids) }

// listed tells the way back of each list that has been taken in.
func (p *Proxy) notifyRecovery(update func(balance.ListKind, []balance.Entry, map[string]string)) func(balance.ListKind, []balance.Entry, map[string]string) {
	return func(kind balance.ListKind, entries []balance.Entry, addresses map[string]string) {
		update(kind, entries, addresses)
		if kind != balance.ListFailed && (kind != balance.Delta || len(entries) > 0) {
			p.recovery.Listed(kind != balance.Cached)
		}
	}
}

// keepTime bounds what a console's call waits for the disk; its callers are owed an answer within 1 s.
const persistTimeout = 500 * time.Millisecond

// kept makes a change by hand last, where anything does.
func (p *Proxy) persistBan(ctx context.Context, id string, out, joined bool) error {
	if p.recovery == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, persistTimeout)
	defer cancel()
	return p.recovery.Keep(ctx, id, out, joined)
}

// Recovery says how this process has come back, as JSON.
func (d consoleHandler) Recovery(ctx context.Context) ([]byte, error) {
	if d.recovery == nil {
		return nil, console.ErrNone
	}
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	return d.recovery.Status(ctx)
}
