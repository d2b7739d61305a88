package proxy

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

// lastAnswerTimeout limits how long Serve waits at the very end for answers that are still being written, unless more time is left
// for those that are being streamed.
const lastAnswerTimeout = 50 * time.Millisecond

// acceptQuietPeriod is the time without a new connection after which no more are expected, even on a machine that runs
// late.
const acceptQuietPeriod = 50 * time.Millisecond

// Serve answers callers until ctx is done, and then shuts down as in a planned restart: it returns once every accepted
// request is answered, and leaves nothing running.
func (p *Proxy) Serve(ctx context.Context) error {
	defer p.Close()
	if p.console != nil {
		var console sync.WaitGroup
		defer console.Wait()
		defer p.console.Close()
		console.Go(func() {
			if err := p.console.Serve(); err != nil {
				p.log.Error("console: server failed", "error", err)
			}
		})
	}
	served := make(chan error, 1)
	go func() { served <- p.http.Serve(p.listener) }()
	if p.upgrade != nil {
		p.upgrade.start()
		defer p.upgrade.close()
	}
	p.accepting.Store(true)
	select {
	case err := <-served:
		return err
	case <-ctx.Done():
	}
	start := time.Now()
	if p.channels != nil {
		p.channels.BeginShutdown()
	}
	if p.upgrade != nil && p.upgrade.handOff() {
		p.listener.Stop()
		p.restart.HandOver()
		if p.fleet != nil {
			p.fleet.HandOver()
		}
	}
	if !p.restart.Run(p.connsClosed) {
		p.log.Warn("shutting down with callers' connections still open")
	}
	for p.channels != nil && p.channels.Len() > 0 && time.Since(start) < p.channels.ShutdownTimeout() {
		time.Sleep(acceptQuietPeriod)
	}
	// A request that is read after this point would not be answered, because the server is about to close.
	// All requests have been answered. Answers that are still being passed on may be long.
	last := max(time.Since(start)+lastAnswerTimeout, p.restart.StreamTime())
	for p.callers.Shutdown() > 0 && time.Since(start) < last {
		time.Sleep(lastAnswerTimeout / 10)
	}
	if err := p.http.Close(); err != nil {
		return err
	}
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close stops the proxy at once, without waiting for open requests. After Serve has returned it has no effect.
func (p *Proxy) Close() {
	if p.recovery != nil {
		p.recovery.Close() // writes the state a last time
	}
	p.stop()
	p.callers.Shutdown()
	p.http.Close()
	p.listener.Close()
	p.callers.WaitLingering()
	if p.console != nil {
		p.console.Close()
	}
	p.host.Close()
	if p.channels != nil {
		p.channels.Close()
	}
	p.backends.Close()
	p.running.Wait()
	p.discovery.CloseIdle()
	if p.upgrade != nil {
		p.upgrade.close()
	}
}
