package demonstrator_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/operator"
	"github.com/carawaytiller/carawaytiller/faker"
)

// setLimit returns a document change that sets the item limit of the service.
func setLimit(n int) func(*tiller.Document) {
	return func(doc *tiller.Document) { doc.Services[0].Limit = n }
}

// TestRevisionReachesEveryDaemon guards against a daemon that still uses an earlier revision 2 s after any
// daemon accepted a change, and against a status that does not show the revision.
func TestRevisionReachesEveryDaemon(t *testing.T) {
	f := start(t)
	for vm := range f.Members {
		begin := time.Now()
		revision := mustPut(t, f, vm, fmt.Sprint("op-", vm), int64(vm+1), changedText(t, f, setLimit(20+vm)))
		require.EqualValues(t, vm+2, revision)
		requireEverywhere(t, f, revision, begin)
	}
	for vm := range f.Members {
		status, err := operatorClient(t, f, vm).Status(t.Context())
		require.NoError(t, err)
		require.EqualValues(t, seats+1, status.Revision)
		require.GreaterOrEqual(t, status.KnowledgeAgeMillis, int64(0))
		require.Less(t, status.KnowledgeAgeMillis, int64(waitTimeout/time.Millisecond))
	}
}

// TestLostStoreReply guards against a change that is applied twice, reported as unknown, or not
// applied, because the reply of the store to its write was lost.
func TestLostStoreReply(t *testing.T) {
	f := start(t)
	f.Fakes.Platform.Store.SetFaults(faker.StoreFaults{LoseReplies: 1})
	begin := time.Now()
	require.EqualValues(t, 2, mustPut(t, f, 4, "lost", 1, changedText(t, f, setLimit(20))))
	require.Equal(t, 1, f.Fakes.Platform.Store.Counts().RepliesLost)
	requireEverywhere(t, f, 2, begin)
	// The operator's client retries the operation at another daemon.
	require.EqualValues(t, 2, mustPut(t, f, 5, "lost", 1, changedText(t, f, setLimit(20))))
	require.Equal(t, []string{"start", "lost"}, history(t, f, 6))
}

// TestConcurrentChanges guards against two concurrent changes that are both accepted for the same expected
// revision, and against a refusal that does not show the conflicting change.
func TestConcurrentChanges(t *testing.T) {
	f := start(t)
	for round := range 5 {
		expected := int64(round + 1)
		texts := []string{changedText(t, f, setLimit(20+round)), changedText(t, f, setLimit(40+round))}
		results := make([]operator.PutDocumentRes, len(texts))
		var tasks sync.WaitGroup
		for i, text := range texts {
			tasks.Go(func() { results[i] = put(t, f, i*3, fmt.Sprint(round, "-", i), expected, text) })
		}
		tasks.Wait()
		winner := 0
		if _, ok := results[1].(*operator.Accepted); ok {
			winner = 1
		}
		require.IsType(t, &operator.Accepted{}, results[winner])
		refused, ok := results[1-winner].(*operator.ErrorStatusCode)
		require.True(t, ok, "both were accepted for revision %d", expected)
		require.Equal(t, operator.ErrorVerdictNotRun, refused.Response.Verdict)
		require.Equal(t, operator.ErrorReasonConflict, refused.Response.Reason)
		require.Equal(t, expected+1, refused.Response.Revision.Value)
		require.Equal(t, texts[winner], refused.Response.Text.Value)
		require.Contains(t, refused.Response.Detail.Value, fmt.Sprint(round, "-", winner))
	}
	require.Len(t, history(t, f, 0), 6)
}

// TestStoreOutage guards against four failures in a store outage: queries fail, a change that never reached the store
// is reported as accepted or unknown, a daemon goes back to an earlier revision, or the fleet does not continue to
// serve queries and accept changes after the outage.
func TestStoreOutage(t *testing.T) {
	f := start(t)
	begin := time.Now()
	require.EqualValues(t, 2, mustPut(t, f, 0, "before", 1, changedText(t, f, setLimit(20))))
	requireEverywhere(t, f, 2, begin)
	endWatch, endLoad := watchRevisions(t, f), startLoad(t, f)

	f.Fakes.Platform.Store.SetFaults(faker.StoreFaults{Outage: true})
	for _, vm := range []int{1, 6} {
		refused := refusedPut(t, f, vm, "during", 2, changedText(t, f, setLimit(30)))
		require.Equal(t, operator.ErrorVerdictNotRun, refused.Verdict)
		require.Equal(t, operator.ErrorReasonStoreDown, refused.Reason)
	}
	f.Fakes.Platform.Store.SetFaults(faker.StoreFaults{})
	require.Equal(t, []string{"start", "before"}, history(t, f, 3))
	begin = time.Now()
	require.EqualValues(t, 3, mustPut(t, f, 2, "after", 2, changedText(t, f, setLimit(40))))
	requireEverywhere(t, f, 3, begin)

	answers, failures := endLoad()
	require.Empty(t, failures)
	require.Greater(t, answers, int64(100))
	endWatch()
	for vm, m := range f.Members {
		require.True(t, f.Daemon(vm).IsReady(), "daemon %d", vm)
		require.GreaterOrEqual(t, m.Seat(), 0)
	}
}

// TestRestartAppliesNewestRevision guards against a daemon that accepts work with an outdated revision after
// a restart, which follows a planned stop or a crash.
func TestRestartAppliesNewestRevision(t *testing.T) {
	f := start(t)
	revision := int64(1)
	for _, crash := range []bool{false, true} {
		if crash {
			f.KillDaemon(5)
		} else {
			require.NoError(t, f.StopDaemon(t.Context(), 5))
		}
		for range 3 {
			next := changedText(t, f, setLimit(20+int(revision)))
			revision = mustPut(t, f, 2, fmt.Sprint("op-", revision), revision, next)
		}
		require.NoError(t, f.StartDaemon(5))
		require.Equal(t, revision, f.Daemon(5).Revision())
		status, err := operatorClient(t, f, 5).Status(t.Context())
		require.NoError(t, err)
		require.Equal(t, f.Members[5].Seat(), status.Seat)
		require.NoError(t, ask(t.Context(), f, 5, fmt.Sprint("restarted-", crash)))
	}
}

// TestStaleReads guards against a daemon that goes back to an earlier revision, and against a change that is
// reported as accepted, while the store returns outdated records.
func TestStaleReads(t *testing.T) {
	f := start(t)
	for n := range int64(3) {
		mustPut(t, f, 0, fmt.Sprint("op-", n), n+1, changedText(t, f, setLimit(20+int(n))))
	}
	requireEverywhere(t, f, 4, time.Now())
	require.NoError(t, f.StopDaemon(t.Context(), 7))
	stopped := make(chan error, 1)
	f.Fakes.Platform.Store.SetFaults(faker.StoreFaults{StaleReads: true})
	refused := refusedPut(t, f, 1, "stale", 4, changedText(t, f, setLimit(30)))
	require.Equal(t, operator.ErrorVerdictNotRun, refused.Verdict)
	go func() { stopped <- f.StartDaemon(7) }()
	for begin := time.Now(); time.Since(begin) < observationTime; time.Sleep(5 * time.Millisecond) {
		for vm := range 7 {
			require.EqualValues(t, 4, f.Daemon(vm).Revision(), "daemon %d", vm)
		}
	}
	f.Fakes.Platform.Store.SetFaults(faker.StoreFaults{})
	require.NoError(t, <-stopped)
	require.EqualValues(t, 4, f.Daemon(7).Revision())
	begin := time.Now()
	require.EqualValues(t, 5, mustPut(t, f, 7, "fresh", 4, changedText(t, f, setLimit(40))))
	requireEverywhere(t, f, 5, begin)
}
