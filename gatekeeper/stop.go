package gatekeeper

import (
	"context"
	"net/http"
	"time"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/gatherer"
)

const (
	// outOfRotationMillis is the time after which the platform sends no new connections: it removes a
	// daemon after two failed readiness checks, which it makes once a second.
	outOfRotationMillis = 2600 * tiller.Millis(1)
	// acceptShare is the fraction of the time to stop in which new connections are accepted. Requests
	// that arrive then still have the rest of that time.
	acceptShare = 0.5
	// exitMarginMillis is the time between the end of stop and the moment when the platform kills the process.
	exitMarginMillis = 300
	// answerMarginMillis is the time between the end of the last query and the end of stop, in which its answer is
	// written.
	answerMarginMillis = 200 * tiller.Millis(1)
	// stopPollMillis is the interval between checks for work that remains.
	stopPollMillis = 20
)

// stop shuts the daemon down without aborting requests. It reports the daemon as not ready at once and
// keeps serving, closes each connection after its next answer, closes idle connections once no new
// ones arrive, and waits for the requests in progress.
func (g *Gatekeeper) stop(front *http.Server) {
	started, within := g.clock.Now(), g.current.Load().StopWithin
	g.stopping.Store(true)
	g.receiver.DisableKeepAlives()
	g.log.Info("Daemon stopping", "Connections", g.connections.Open())
	end := started + max(within-exitMarginMillis, stopPollMillis)
	g.executor.Step(gatherer.Stopping{By: max(end-answerMarginMillis, started+1)})
	accept := started + max(outOfRotationMillis, tiller.Millis(float64(within)*acceptShare))
	for g.clock.Now() < min(accept, end) {
		time.Sleep(stopPollMillis * time.Millisecond)
		if g.clock.Now() >= started+outOfRotationMillis && g.connections.Open() == 0 && g.unanswered() == 0 {
			break
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), max(end-g.clock.Now(), 1).Duration())
	defer cancel()
	// Shutdown closes the listener and idle connections, and waits for requests in progress.
	err := front.Shutdown(ctx)
	for g.clock.Now() < end && g.unanswered() > 0 {
		time.Sleep(stopPollMillis * time.Millisecond)
	}
	g.log.Info("Daemon stopped", "Took", g.clock.Now()-started, "Unfinished", g.unanswered(), "Complete", err == nil)
}

// unanswered returns the number of queries that are not answered.
func (g *Gatekeeper) unanswered() int {
	n := 0
	g.executor.Read(func(s *gatherer.State) { n = s.ActiveQueries() })
	return n
}
