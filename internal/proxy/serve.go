package proxy

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

// lastAnswers is how long answers that are being written at the very end may take; all are due before it.
const lastAnswerTimeout = 50 * time.Millisecond

// acceptQuiet without a new connection shows that no more are coming, on a machine that runs late too.
const acceptQuietPeriod = 50 * time.Millisecond

// Serve answers callers until ctx is done, and then ends like a planned restart does: it returns once
// everything taken is answered, and leaves nothing running.
func (p *Proxy) Serve(ctx context.Context) error {
	defer p.Close()
	if p.console != nil {
		var console sync.WaitGroup
		defer console.Wait()
		defer p.console.Close()
		console.Go(func() {
			if err := p.console.Serve(); err != nil {
				p.log.Error("operators have no console any more", "error", err)
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
		p.log.Warn("leaving with callers' connections still open")
	}
	for p.channels != nil && p.channels.Len() > 0 && time.Since(start) < p.channels.ShutdownTimeout() {
		time.Sleep(acceptQuietPeriod)
	}
	// A request that is read between here and the end of the server would have nobody to answer it.
	for shutdownStart := time.Now(); p.callers.Shutdown() > 0 && time.Since(shutdownStart) < lastAnswerTimeout; {
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

// Close ends all at once, answered or not. After Serve has returned it does nothing.
func (p *Proxy) Close() {
	if p.recovery != nil {
		p.recovery.Close() // it writes what is known a last time
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
