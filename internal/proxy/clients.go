package proxy

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"

	"brasswell/internal/callers"
	"brasswell/internal/front"
	"brasswell/internal/idle"
	"brasswell/internal/memory"
)

// clientSide accepts callers' connections and serves their requests.
type clientSide struct {
	listener  *callers.Listener
	callers   *callers.Set
	parking   *callers.Parking // nil without park_after
	front     *front.Front
	http      *http.Server
	memory    *memory.Account
	accepting atomic.Bool // callers' connections are accepted
}

// newServer returns the HTTP server that passes requests to f.
func newServer(f *front.Front, set *callers.Set, o *front.Options, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           f,
		ReadHeaderTimeout: o.HeadTimeout,
		IdleTimeout:       o.IdleTimeout,
		MaxHeaderBytes:    int(o.MaxHead),
		ConnState:         set.Track,
		ConnContext:       callers.WithConn,
		// The front answers OPTIONS * like any other request, so that it sees every message of a connection.
		DisableGeneralOptionsHandler: true,
		ErrorLog:                     slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

// startParking creates the Parking for idle connections. serveParked runs it.
func (c *clientSide) startParking(o *front.Options) (err error) {
	pace := idle.Policy{ParkAfter: o.ParkAfter, Timeout: o.IdleTimeout}
	c.parking, err = c.callers.Park(pace, c.listener.Addr())
	return err
}

// serveParked parks idle connections and serves the parked ones that become active, until ctx is done.
func (c *clientSide) serveParked(ctx context.Context, log *slog.Logger) {
	var served sync.WaitGroup
	defer served.Wait()
	served.Go(func() { c.http.Serve(c.parking) }) // ends when the Parking or the server is closed
	if err := c.parking.Run(ctx); err != nil {
		log.Error("callers: park_after does not hold any more", "error", err)
	}
}

// connsClosed reports whether no caller's connection is open or about to be accepted. If closeIdle is set, it first closes
// the connections that have no request open.
func (c *clientSide) connsClosed(closeIdle bool) bool {
	if !closeIdle {
		return c.listener.Drained() && c.callers.Len() == 0
	}
	busy := c.callers.CloseIdle(acceptQuietPeriod)
	return busy == 0 && c.listener.SinceLastAccept() >= acceptQuietPeriod
}
