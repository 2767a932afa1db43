package assembler

import (
	"context"
	"errors"
	"time"
)

// Stop performs a planned stop. From its start /readyz fails. The daemon still takes new work for DrainMillis,
// then finishes the accepted requests, releases its leases and closes its connections. When ctx ends first,
// the remaining work is abandoned and the error says so.
func (d *Daemon) Stop(ctx context.Context) error {
	d.isStopping.Store(true)
	d.cfg.Logger.Info("stop begins", "DrainMillis", int64(d.cfg.DrainMillis))
	select {
	case <-time.After(d.cfg.DrainMillis.Duration()):
	case <-ctx.Done():
	}
	err := d.runner.Stop(ctx)
	// The HTTP handlers have their results now; Shutdown waits until these are written.
	err = errors.Join(err, d.caller.server.Shutdown(ctx), d.operator.server.Shutdown(ctx))
	d.Close()
	d.cfg.Logger.Info("stopped", "Clean", err == nil)
	return err
}

// Close stops the daemon immediately and waits for its goroutines.
func (d *Daemon) Close() {
	d.isStopping.Store(true)
	d.closeEndpoint(&d.caller)
	d.closeEndpoint(&d.operator)
	d.runner.Close()
	d.dialer.Close()
	d.tasks.Wait()
}

// closeEndpoint closes the listener and the connections of e; either may already be closed.
func (d *Daemon) closeEndpoint(e *endpoint) {
	if e.server != nil {
		_ = e.server.Close()
	}
	_ = e.listener.Close()
}
