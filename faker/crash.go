package faker

import "time"

// relistenPeriod is the interval between attempts to listen again after a crash. An attempt can fail
// because another process uses the port as the local port of an outgoing connection.
const relistenPeriod = 5 * time.Millisecond

// Crash aborts every request and closes every connection without a response. The upstream refuses connections
// for RestartMillis and then begins a cold start with the next incarnation number.
// Crash does nothing while the upstream is down or after Close.
func (u *Upstream) Crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crash()
}

// GoCold begins a cold start without a crash. The incarnation does not change,
// and requests that ran while the upstream was warm do not count towards ColdSlots.
func (u *Upstream) GoCold() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.instance.cold.restart(u.clock.Now())
}

// crash implements Crash. The caller holds the lock.
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

// restart stops the server of the crashed instance and starts the next one after RestartMillis.
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

// startNextInstance creates the next instance and listens again on the previous address, if there was one.
// It retries until listening succeeds or the upstream is closed.
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

// listenAgain listens on the previous address, if there was one, and marks the upstream as up.
// It returns false, and the upstream stays down, when listening fails.
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
