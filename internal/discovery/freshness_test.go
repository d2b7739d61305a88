package discovery

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"brasswell/balance"
)

// staleTimes follows a service of which calls meet what fate says, for so long, and returns when the list was held for stale and when no
// longer; 0 for never.
func staleTimes(t *testing.T, length time.Duration, fate func(now time.Duration) fault) (from, to time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		const look = 10 * time.Millisecond
		s := newService()
		defer s.close()
		s.fate = func(int) fault { return fate(time.Since(s.start)) }
		d := New("discovery:1", []string{"kita"}, DefaultOptions(), slog.New(slog.DiscardHandler),
			func(balance.ListKind, []balance.Entry, map[string]string) {})
		d.client.Transport.(*http.Transport).DialContext = s.dial
		d.Resume(1)
		ctx, cancel := context.WithCancel(t.Context())
		following := make(chan struct{})
		go func() {
			defer close(following)
			d.Follow(ctx)
		}()
		for now := time.Duration(0); now < length; now = time.Since(s.start) {
			switch fresh := d.Fresh(); {
			case !fresh && from == 0:
				from = now
			case fresh && from != 0 && to == 0:
				to = now
			}
			time.Sleep(look)
		}
		cancel()
		<-following
		d.CloseIdle()
	})
	return from, to
}

// TestStaleOnceAllCallsAreTurnedAway: what discovery had while it turned all calls away counts as told 6 s after, so the list is stale
// within half a second of that, and not before; an answer ends it, and so does time.
func TestStaleOnceAllCallsAreTurnedAway(t *testing.T) {
	const grace, room = 500 * time.Millisecond, 150 * time.Millisecond // until a send breaks the rule; of that for a process that is held up
	for name, c := range map[string]struct {
		fate func(now time.Duration) fault
		// The last time at which the list was up to date or discovery was out of reach is between these two; both 0 for a list that is
		// never stale.
		earliest, latest time.Duration
	}{
		"turned away from the start": {func(time.Duration) fault { return turned }, 1, 1},
		"an answer, then turned away": {func(now time.Duration) fault {
			if now < time.Second {
				return well // and a watch that holds
			}
			return turned
		}, DefaultOptions().Hold, DefaultOptions().Hold},
		"broken-off answers":  {func(time.Duration) fault { return cut }, 1, 1},
		"all well":            {func(time.Duration) fault { return well }, 0, 0},
		"silent":              {func(time.Duration) fault { return silent }, 0, 0},
		"no connection":       {func(time.Duration) fault { return unborn }, 0, 0},
		"refused connections": {func(time.Duration) fault { return rejected }, 0, 0},
		"refused connections for 8 s, then turned away": {func(now time.Duration) fault {
			if now < 8*time.Second {
				return rejected
			}
			return turned
		}, 8*time.Second - pushRetry, 8 * time.Second},
		"silent for 8 s, then turned away": {func(now time.Duration) fault {
			if now < 8*time.Second {
				return silent
			}
			return turned
		}, 8*time.Second - overlap, 8 * time.Second},
		"turned away now and then, and answered": {func(now time.Duration) fault {
			if now/time.Second%5 >= 3 { // for 2 s, which no pause is
				return well
			}
			return turned
		}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			from, to := staleTimes(t, time.Minute, c.fate)
			if c.latest == 0 {
				if from != 0 {
					t.Errorf("stale after %v", from)
				}
				return
			}
			if from < c.earliest+toldWithin || from > c.latest+toldWithin+grace-room {
				t.Errorf("stale after %v, want within %v and %v", from, c.earliest+toldWithin, c.latest+toldWithin+grace-room)
			}
			if held := to - from; held < staleMost-time.Second || held > staleMost+time.Second {
				t.Errorf("no longer stale %v after that, want %v", held, staleMost)
			}
		})
	}
}

// TestAnAnswerEndsStaleness: right with the first answer.
func TestAnAnswerEndsStaleness(t *testing.T) {
	const back = 9 * time.Second
	from, to := staleTimes(t, 20*time.Second, func(now time.Duration) fault {
		if now < back {
			return turned
		}
		return well
	})
	if from < toldWithin || from > back || to < back || to > back+pushRetry+turnedAwayMost+turnedAwayLeast+time.Second {
		t.Errorf("stale from %v to %v, and discovery answers from %v on", from, to, back)
	}
}
