package gatekeeper

import (
	"context"
	"net/http"
	"time"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

const (
	// outOfRotationMillis is the time after which the platform sends no new connections: it takes a
	// daemon out after two failed checks, one a second.
	outOfRotationMillis = 2600 * tiller.Millis(1)
	// acceptPart is the part of the time to stop for which new connections are accepted. Requests
	// taken then still have the rest of it.
	acceptPart = 0.5
	// exitMarginMillis is kept before the process would be killed.
	exitMarginMillis = 300
	// stopPollMillis is the time between two looks at what is still being served.
	stopPollMillis = 20
)

// stop ends the daemon without cutting a request: it reports itself as not ready at once and keeps
// serving, lets each connection end with its next answer, closes idle ones once no new connections
// come, and waits for the requests being served.
func (g *Gatekeeper) stop(front *http.Server) {
	started, within := g.clock.Now(), g.reloaded.Load().StopWithin
	g.stopping.Store(true)
	g.receiver.CloseConnections()
	g.log.Info("Daemon stopping", "Connections", g.connections.Open())
	end := started + max(within-exitMarginMillis, stopPollMillis)
	accept := started + max(outOfRotationMillis, tiller.Millis(float64(within)*acceptPart))
	for g.clock.Now() < min(accept, end) {
		time.Sleep(stopPollMillis * time.Millisecond)
		if g.clock.Now() >= started+outOfRotationMillis && g.connections.Open() == 0 && g.waiting() == 0 {
			break
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(end-g.clock.Now(), 1).Duration())
	defer cancel()
	// Closes the listener and idle connections, and waits for requests being served.
	err := front.Shutdown(ctx)
	for g.clock.Now() < end && g.waiting() > 0 {
		time.Sleep(stopPollMillis * time.Millisecond)
	}
	g.log.Info("Daemon stopped", "Took", g.clock.Now()-started, "Unfinished", g.waiting(), "Complete", err == nil)
}

// waiting returns the number of queries that are not answered.
func (g *Gatekeeper) waiting() int {
	n := 0
	g.executor.Read(func(s *gatherer.State) { n = s.ActiveQueries() })
	return n
}
