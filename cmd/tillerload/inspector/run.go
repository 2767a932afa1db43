package inspector

import (
	"slices"
	"sync"

	"github.com/go-faster/errors"

	"github.com/carawaytiller/carawaytiller/api/caller"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/planner"
)

// Ledger remembers what the daemons said about whether requests ran, for a comparison with what the
// fake upstreams ran. The zero value is empty. Its methods may be called from any goroutine.
type Ledger struct {
	mu sync.Mutex
	// notRun are the requests refused NotRun, with the reason.
	notRun map[string]string
	// singleUse are the requests that must run at most once.
	singleUse []string
}

// Sent notes that a request was sent.
func (l *Ledger) Sent(r planner.Request) {
	if r.Repeatable() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.singleUse = append(l.singleUse, r.ID)
}

// Refused notes a refusal.
func (l *Ledger) Refused(r planner.Request, refusal *caller.Refusal) {
	if refusal.Verdict != caller.RefusalVerdictNotRun {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.notRun == nil {
		l.notRun = map[string]string{}
	}
	l.notRun[r.ID] = refusal.Reason
}

// Compare checks the runs of all upstreams, by request identifier, and adds violations to log.
func (l *Ledger) Compare(runs map[string]int, log *Log) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, reason := range l.notRun {
		log.Add(TrueNotRun, id, checkNotRun(reason, runs[id]))
	}
	slices.Sort(l.singleUse)
	for _, id := range slices.Compact(l.singleUse) {
		log.Add(RunOnce, id, checkOnce(runs[id]))
	}
}

// checkNotRun returns an error when a request refused NotRun ran.
func checkNotRun(reason string, runs int) error {
	if runs > 0 {
		return errors.Errorf("refused NotRun with the reason %s, but upstreams ran it %d times", reason, runs)
	}
	return nil
}

// checkOnce returns an error when a single-use request ran more than once.
func checkOnce(runs int) error {
	if runs > 1 {
		return errors.Errorf("the single-use request ran %d times", runs)
	}
	return nil
}
