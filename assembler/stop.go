package assembler

import (
	"context"
	"errors"
	"time"
)

// Stop stops as planned. While /readyz fails, new work is still taken for DrainMillis; then the daemon
// finishes what it accepted, gives its leases back and closes its connections. When ctx ends first,
// the rest is abandoned and the error says so.
func (d *Daemon) Stop(ctx context.Context) error {
	d.isStopping.Store(true)
	d.cfg.Logger.Info("stop begins", "DrainMillis", int64(d.cfg.DrainMillis))
	select {
	case <-time.After(d.cfg.DrainMillis.Duration()):
	case <-ctx.Done():
	}
	err := d.runner.Stop(ctx)
	// The results are with the handlers now; Shutdown waits until they are written.
	err = errors.Join(err, d.caller.server.Shutdown(ctx), d.operator.server.Shutdown(ctx))
	d.Close()
	d.cfg.Logger.Info("stopped", "Clean", err == nil)
	return err
}

// Close stops at once and waits for the daemon's goroutines.
func (d *Daemon) Close() {
	d.isStopping.Store(true)
	d.closeEndpoint(&d.caller)
	d.closeEndpoint(&d.operator)
	d.runner.Close()
	d.dialer.Close()
	d.tasks.Wait()
}

// closeEndpoint closes listener and connections; either may be closed already.
func (d *Daemon) closeEndpoint(e *endpoint) {
	if e.server != nil {
		_ = e.server.Close()
	}
	_ = e.listener.Close()
}
