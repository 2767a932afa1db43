package demonstrator_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/demonstrator"
	"github.com/carawaytiller/carawaytiller/faker"
)

// startedRequests returns the number of requests started at the upstreams whose names begin with prefix.
func startedRequests(f *demonstrator.Fleet, prefix string) int {
	n := 0
	for name, u := range f.Fakes.Upstreams {
		if strings.HasPrefix(name, prefix) {
			n += u.Counts().Run
		}
	}
	return n
}

// requireNoNewWork requires that the upstreams whose names begin with prefix get no new work later than noNewWorkBound
// after begin, and that every request that started there completed and none was cancelled.
func requireNoNewWork(t *testing.T, f *demonstrator.Fleet, prefix string, begin time.Time) {
	t.Helper()
	time.Sleep(time.Until(begin.Add(noNewWorkBound)))
	before := startedRequests(f, prefix)
	time.Sleep(observationTime)
	require.Equal(t, before, startedRequests(f, prefix), "new work after the change")
	for name, u := range f.Fakes.Upstreams {
		if counts := u.Counts(); strings.HasPrefix(name, prefix) {
			require.Equal(t, counts.Run, counts.Completed, "%s: %+v", name, counts)
			require.Zero(t, counts.Cancelled, name)
		}
	}
}

// requireNewWork waits until an upstream whose name begins with prefix gets a new request.
func requireNewWork(t *testing.T, f *demonstrator.Fleet, prefix string) {
	t.Helper()
	before := startedRequests(f, prefix)
	require.Eventually(t, func() bool { return startedRequests(f, prefix) > before }, waitTimeout, 5*time.Millisecond)
}

// slowDown sets the service time of the upstreams to 300 ms, so that requests are running there when the document changes.
func slowDown(f *demonstrator.Fleet, prefix string) {
	for name, u := range f.Fakes.Upstreams {
		if strings.HasPrefix(name, prefix) {
			u.SetFaults(faker.UpstreamFaults{ServiceMillis: 300})
		}
	}
}

// testTakenOut takes a part of the fleet out of service under load and puts it back. set changes the document for that;
// prefix matches the names of the affected upstreams.
func testTakenOut(t *testing.T, prefix string, set func(doc *tiller.Document, out bool)) {
	f := start(t)
	slowDown(f, prefix)
	end := startLoad(t, f)
	requireNewWork(t, f, prefix)
	begin := time.Now()
	mustPut(t, f, 3, "out", 1, changedText(t, f, func(doc *tiller.Document) { set(doc, true) }))
	requireNoNewWork(t, f, prefix, begin)
	mustPut(t, f, 4, "in", 2, changedText(t, f, func(doc *tiller.Document) { set(doc, false) }))
	requireNewWork(t, f, prefix)
	answers, failures := end()
	require.Empty(t, failures, "every answer covers every shard")
	require.Greater(t, answers, int64(100))
}

// TestDomainTakenOut guards against four failures when a failure domain is taken out of service: it still gets new
// work after 3 s, its running requests are cancelled, answers without it are partial, or it gets no work after it is
// put back.
func TestDomainTakenOut(t *testing.T) {
	testTakenOut(t, "a", func(doc *tiller.Document, out bool) { doc.Domains[0].Out = out })
}

// TestUpstreamLeaving guards against the failures listed at TestDomainTakenOut for a single upstream that is marked as leaving.
func TestUpstreamLeaving(t *testing.T) {
	testTakenOut(t, "b1", func(doc *tiller.Document, out bool) {
		for i := range doc.Upstreams {
			if doc.Upstreams[i].Name == "b1" {
				doc.Upstreams[i].Leaving = out
			}
		}
	})
}
