package proxy

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"

	"brasswell/internal/body"
	"brasswell/internal/callers"
	"brasswell/internal/front"
	"brasswell/internal/idle"
)

// clientSide takes callers' connections in and serves the requests that come on them.
type clientSide struct {
	listener  *callers.Listener
	callers   *callers.Set
	parking   *callers.Parking // nil without park_after
	front     *front.Front
	http      *http.Server
	bodies    *body.Budget
	accepting atomic.Bool // callers' connections are taken
}

// newServer returns the HTTP server before a front.
func newServer(f *front.Front, set *callers.Set, o *front.Options, log *slog.Logger) *http.Server {
	return &http.Server{
		Handler:           f,
		ReadHeaderTimeout: o.HeadTimeout,
		IdleTimeout:       o.IdleTimeout,
		MaxHeaderBytes:    int(o.MaxHead),
		ConnState:         set.Track,
		ConnContext:       callers.WithConn,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
}

// startParking makes a place for idle connections, which park serves.
func (c *clientSide) startParking(o *front.Options) (err error) {
	pace := idle.Policy{ParkAfter: o.ParkAfter, Timeout: o.IdleTimeout}
	c.parking, err = c.callers.Park(pace, c.listener.Addr())
	return err
}

// park serves connections that were parked and parks others until ctx is done.
func (c *clientSide) park(ctx context.Context, log *slog.Logger) {
	var served sync.WaitGroup
	defer served.Wait()
	served.Go(func() { c.http.Serve(c.parking) }) // ends with the Parking, or the server
	if err := c.parking.Run(ctx); err != nil {
		log.Error("callers: park_after does not hold any more", "error", err)
	}
}

// left says whether no caller's connection is there or coming. Before that it closes those on which nothing is open, if
// it is told to.
func (c *clientSide) left(closeIdle bool) bool {
	if !closeIdle {
		return c.listener.Drained() && c.callers.Len() == 0
	}
	busy := c.callers.CloseIdle(acceptQuiet)
	return busy == 0 && c.listener.SinceLastAccept() >= acceptQuiet
}
