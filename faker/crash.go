package faker

import "time"

// relistenPeriod is the time between attempts to listen again after a crash:
// another process may hold the port as the local end of a connection.
const relistenPeriod = 5 * time.Millisecond

// Crash ends every request and closes every connection without an answer. The upstream refuses connections
// for RestartMillis and then starts cold with a greater incarnation. It does nothing while the upstream is down.
func (u *Upstream) Crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crash()
}

// GoCold starts a cold start without a crash. The incarnation stays,
// and requests that already run do not count against ColdSlots.
func (u *Upstream) GoCold() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.instance.cold.restart(u.clock.Now())
}

// crash is Crash for a caller that holds the lock.
func (u *Upstream) crash() {
	if u.down || u.closed {
		return
	}
	u.down = true
	u.counts.Crashes++
	u.instance.end(errCrashed)
	if u.server != nil {
		u.server.halt()
	}
	u.restarts.Add(1)
	go u.restart()
}

// restart ends the old incarnation and begins the next one after RestartMillis.
func (u *Upstream) restart() {
	defer u.restarts.Done()
	u.stopServer()
	timer := time.NewTimer(u.settings.RestartMillis.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		u.startNextInstance()
	case <-u.done:
	}
}

// startNextInstance begins the next incarnation and listens on the old address, if there was one.
func (u *Upstream) startNextInstance() {
	u.mu.Lock()
	u.instance = newInstance(u.settings, u.instance.incarnation+1, u.clock.Now())
	u.recordLoad()
	u.mu.Unlock()
	for !u.listenAgain() {
		select {
		case <-time.After(relistenPeriod):
		case <-u.done:
			return
		}
	}
}

// listenAgain ends the down time and reports whether the address could be listened on.
func (u *Upstream) listenAgain() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.address != "" && !u.closed {
		l, err := listen(u.address, u.conns)
		if err != nil {
			return false
		}
		u.server = serve(l, u.conns, u)
	}
	u.down = false
	return true
}
