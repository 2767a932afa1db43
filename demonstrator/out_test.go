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

// runs returns the number of requests that the upstreams with a prefix in their name have begun to run.
func runs(f *demonstrator.Fleet, prefix string) int {
	n := 0
	for name, u := range f.Fakes.Upstreams {
		if strings.HasPrefix(name, prefix) {
			n += u.Counts().Run
		}
	}
	return n
}

// requireOut requires that upstreams get no new work from outBound after begin, and that every request
// that ran there has finished.
func requireOut(t *testing.T, f *demonstrator.Fleet, prefix string, begin time.Time) {
	t.Helper()
	time.Sleep(time.Until(begin.Add(outBound)))
	before := runs(f, prefix)
	time.Sleep(watchTime)
	require.Equal(t, before, runs(f, prefix), "new work after the change")
	for name, u := range f.Fakes.Upstreams {
		if counts := u.Counts(); strings.HasPrefix(name, prefix) {
			require.Equal(t, counts.Run, counts.Completed, "%s: %+v", name, counts)
			require.Zero(t, counts.Cancelled, name)
		}
	}
}

// requireBack requires that upstreams get work again.
func requireBack(t *testing.T, f *demonstrator.Fleet, prefix string) {
	t.Helper()
	before := runs(f, prefix)
	require.Eventually(t, func() bool { return runs(f, prefix) > before }, patience, 5*time.Millisecond)
}

// slow makes upstreams slow, so that requests run there when a change comes.
func slow(f *demonstrator.Fleet, prefix string) {
	for name, u := range f.Fakes.Upstreams {
		if strings.HasPrefix(name, prefix) {
			u.SetFaults(faker.UpstreamFaults{ServiceMillis: 300})
		}
	}
}

// testOut takes something out under load and in again.
func testOut(t *testing.T, prefix string, set func(doc *tiller.Document, out bool)) {
	f := start(t)
	slow(f, prefix)
	end := load(t, f)
	requireBack(t, f, prefix)
	begin := time.Now()
	mustPut(t, f, 3, "out", 1, textOf(t, f, func(doc *tiller.Document) { set(doc, true) }))
	requireOut(t, f, prefix, begin)
	mustPut(t, f, 4, "in", 2, textOf(t, f, func(doc *tiller.Document) { set(doc, false) }))
	requireBack(t, f, prefix)
	answers, failures := end()
	require.Empty(t, failures, "every answer covers every shard")
	require.Greater(t, answers, int64(100))
}

// TestDomainOut guards against a failure domain that gets new work 3 s after it was taken out, whose running requests
// are cut off, without which answers are partial, or that gets no work after it was taken in again.
func TestDomainOut(t *testing.T) {
	testOut(t, "a", func(doc *tiller.Document, out bool) { doc.Domains[0].Out = out })
}

// TestUpstreamLeaving guards against the same for a single upstream that is to leave.
func TestUpstreamLeaving(t *testing.T) {
	testOut(t, "b1", func(doc *tiller.Document, out bool) {
		for i := range doc.Upstreams {
			if doc.Upstreams[i].Name == "b1" {
				doc.Upstreams[i].Leaving = out
			}
		}
	})
}
