package calls

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"brasswell/internal/rig"
	"brasswell/internal/standin"
)

// ProgramVariable makes the test binary the program itself.
const ProgramVariable = "BRASSWELL_CALLS_PROGRAM"

// TestOnlyTheFirstProxyRefusesForWantOfRoom: a proxy further down passes on more calls at one time than the first lets in, as it does in a
// service that is called through others: what the first has let in is not thrown away. On a machine so busy that a connection does not
// come up within a proxy's patience for it, a call is refused for that; so the calls have several goes.
func TestOnlyTheFirstProxyRefusesForWantOfRoom(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	const depth, goes = 2, 10
	chain, err := startChain(t.Context(), rig.Program{Path: self, Env: []string{ProgramVariable + "=1"}}, depth, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := chain.close(); err != nil {
			t.Error(err)
		}
	}()
	backend := chain.fleet.Backends[0]
	backend.Set(standin.Faults{Silent: true}) // so that all are in flight together
	client := newClient()
	defer client.CloseIdleConnections()
	for range goes {
		if err = arriveTogether(t.Context(), client, chain.network.Address(depth-1, proxyPort).String(), backend); err == nil {
			return
		}
	}
	t.Errorf("%d times not all calls were passed on; at last: %v", goes, err)
}

// arriveTogether sends more calls than a proxy lets in at first, some at a time, so that connections come up quickly. It fails unless all
// reach the backend, which does not answer, before one of them ends.
func arriveTogether(ctx context.Context, client *http.Client, address string, backend *standin.Backend) error {
	const calls, atOnce = 80, 10 // a proxy lets 64 in at first
	ctx, giveUpAll := context.WithCancel(ctx)
	var out sync.WaitGroup
	defer out.Wait()
	defer giveUpAll()
	before := backend.State().Arrived
	ended := make(chan call, calls)
	for sent := range int64(calls) {
		out.Go(func() { ended <- ask(ctx, client, address, fmt.Sprintf("%s%d-%d", visitor, before, sent), time.Now()) })
		if (sent+1)%atOnce != 0 {
			continue
		}
		for backend.State().Arrived < before+sent+1 {
			select {
			case c := <-ended:
				return fmt.Errorf("of %d calls %d arrived, and one ended after %v: %w", sent+1, backend.State().Arrived-before, c.answered.Sub(c.sent), c.err)
			case <-time.After(time.Millisecond):
			}
		}
	}
	select {
	case c := <-ended:
		return fmt.Errorf("all arrived, and one ended after %v: %w", c.answered.Sub(c.sent), c.err)
	default:
		return nil
	}
}
