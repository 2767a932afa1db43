package runner

import (
	"time"

	"github.com/carawaytiller/carawaytiller/reducer"
)

// execute performs or starts one effect without blocking.
func (r *Runner) execute(effect reducer.Effect) {
	switch e := effect.(type) {
	case reducer.SendAttempt:
		r.startAttempt(e)
	case reducer.CancelAttempt:
		r.cancelAttempt(e)
	case reducer.Reply:
		r.reply(e)
	case reducer.IssueToken:
		r.issueToken(e)
	case reducer.Forward:
		r.startForward(e)
	case reducer.CancelForward:
		r.cancelForward(e)
	case reducer.SendLease:
		r.cfg.SendLease(e)
	case reducer.Wake:
		r.setTimer(e)
	case reducer.Count:
		r.cfg.Count(e.Name, e.Label, e.N)
	case reducer.Announce:
		r.cfg.Announce(e)
	case reducer.FinishMove:
		r.cfg.FinishMove(e)
	case reducer.Stopped:
		r.setStopped()
	}
}

// setTimer sets the event loop's only timer. A time in the past fires after 1 ms,
// so that a reducer that repeatedly asks for past times does not occupy a core.
func (r *Runner) setTimer(e reducer.Wake) {
	d := (e.Time - r.cfg.Clock.Now()).Duration()
	r.timer.Reset(max(d, time.Millisecond))
}

func (r *Runner) setStopped() {
	if r.isStopped {
		return
	}
	r.isStopped = true
	close(r.stopped)
}
