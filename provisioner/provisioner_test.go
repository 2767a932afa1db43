package provisioner

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/operator"
	"github.com/carawaytiller/carawaytiller/faker"
	"github.com/carawaytiller/carawaytiller/keeper"
	"github.com/carawaytiller/carawaytiller/server"
)

// mustPut makes a change, which must be accepted, and returns its revision.
func (d *daemon) mustPut(t *testing.T, c *operator.Change) int64 {
	t.Helper()
	accepted, err := d.PutDocument(t.Context(), "trial", c)
	require.NoError(t, err)
	return accepted.Revision
}

// refusedPut makes a change, which must be refused, and returns the body of the refusal.
func (d *daemon) refusedPut(t *testing.T, c *operator.Change) operator.Error {
	t.Helper()
	_, err := d.PutDocument(t.Context(), "trial", c)
	var refused *server.OperatorError
	require.True(t, errors.As(err, &refused), "got %v", err)
	return refused.Body
}

// TestFirstDocument guards against a daemon that does not accept the first document, that is ready before it has
// a document and a seat, or that claims a seat of another failure domain although one of its own is free.
func TestFirstDocument(t *testing.T) {
	runSim(t, func(t *testing.T, s *sim) {
		d := s.start(1)
		time.Sleep(time.Minute)
		require.Equal(t, "no document", d.Unready())
		require.EqualValues(t, 1, d.mustPut(t, change("first", 0, documentText(6, ""))))
		time.Sleep(2 * time.Second)
		require.Empty(t, d.Unready())
		require.Equal(t, []int64{1}, d.revisions())
		require.Equal(t, 1, d.heldSeat().Seat)
		second := s.start(4)
		time.Sleep(2 * time.Second)
		require.Equal(t, 4, second.heldSeat().Seat)
		address, ok := second.AddressOf(1)
		require.True(t, ok)
		require.Equal(t, "10.0.0.1:1", address)
	})
}

// TestSeatDuringLongOutage guards against a seat that is lost in a store outage of over an hour, a seat that is
// held after its store lease has ended, when another process may claim it, and a daemon that does not claim a seat
// again after the outage.
func TestSeatDuringLongOutage(t *testing.T) {
	runSim(t, func(t *testing.T, s *sim) {
		d := s.start(0)
		d.mustPut(t, change("first", 0, documentText(3, "")))
		time.Sleep(40 * time.Minute)
		first := d.heldSeat()
		require.Positive(t, first.Until)
		s.setOutage(true)
		time.Sleep(80 * time.Minute)
		require.Equal(t, first, d.heldSeat(), "the store lease lasts for 2 hours")
		require.Empty(t, d.Unready())
		// The last renewal was at most 30 minutes before the outage.
		s.setOutage(false)
		time.Sleep(2 * time.Minute)
		require.Equal(t, first.Incarnation, d.heldSeat().Incarnation)
		require.Greater(t, d.heldSeat().Until, first.Until)

		s.setOutage(true)
		time.Sleep((keeper.SeatLeaseMillis - 2*tiller.Minute).Duration())
		require.Zero(t, d.heldSeat(), "seat held 2 minutes before the end of the store lease")
		require.Equal(t, "no seat", d.Unready())
		s.setOutage(false)
		time.Sleep(time.Minute)
		require.Greater(t, d.heldSeat().Incarnation, first.Incarnation)
		require.Empty(t, d.Unready())
	})
}

// TestSeatTaken guards against two processes that act under one seat. When the VM of a process has left the
// platform's list and another process has claimed the seat, the first process must learn of it:
// immediately from its peers, or at the next renewal from the store when it is isolated from its peers.
func TestSeatTaken(t *testing.T) {
	for _, isolated := range []bool{false, true} {
		runSim(t, func(t *testing.T, s *sim) {
			first := s.start(0)
			first.mustPut(t, change("first", 0, documentText(3, "")))
			s.start(1)
			s.start(2)
			time.Sleep(3 * time.Second)
			require.Equal(t, 0, first.heldSeat().Seat)
			first.isolated.Store(isolated)
			s.platform.VMs.Remove("vm-0")
			second := s.start(3)
			limit := time.Minute
			if isolated {
				limit = keeper.SeatRenewMillis.Duration()
			}
			time.Sleep(limit)
			require.Positive(t, second.heldSeat().Until)
			require.Zero(t, first.heldSeat())
			require.Equal(t, "no seat", first.Unready())
		})
	}
}

// TestPlannedStopFreesSeat guards against a seat that stays held after a planned stop of its process.
func TestPlannedStopFreesSeat(t *testing.T) {
	runSim(t, func(t *testing.T, s *sim) {
		first := s.start(0)
		first.mustPut(t, change("first", 0, documentText(1, "")))
		time.Sleep(time.Second)
		second := s.start(1)
		time.Sleep(time.Minute)
		require.Zero(t, second.heldSeat())
		first.stopAndWait()
		require.Zero(t, first.heldSeat())
		require.NoError(t, first.Release(t.Context()))
		time.Sleep(maxRetryMillis.Duration() + time.Second)
		require.Positive(t, second.heldSeat().Until)
	})
}

// TestChangeOutcomes guards against a change that is applied twice or reported as NotRun although it took effect,
// and against a conflict that does not state the stored revision and text.
func TestChangeOutcomes(t *testing.T) {
	runSim(t, func(t *testing.T, s *sim) {
		d := s.start(0)
		d.mustPut(t, change("first", 0, documentText(3, "1")))
		time.Sleep(2 * time.Second)

		s.platform.Store.SetFaults(faker.StoreFaults{LoseReplies: 1})
		require.EqualValues(t, 2, d.mustPut(t, change("second", 1, documentText(3, "2"))), "accepted although the reply was lost")
		require.Equal(t, []int64{1, 2}, d.revisions())

		// The reply is lost, and the store is down before the record can be read to find out the outcome.
		s.platform.Store.SetFaults(faker.StoreFaults{LoseReplies: 1})
		s.mu.Lock()
		s.afterPut = func() { s.setOutage(true) }
		s.mu.Unlock()
		unknown := d.refusedPut(t, change("third", 2, documentText(3, "3")))
		require.Equal(t, operator.ErrorVerdictMayHaveRun, unknown.Verdict)
		require.Equal(t, operator.ErrorReasonStoreDown, unknown.Reason)
		down := d.refusedPut(t, change("fourth", 2, documentText(3, "4")))
		require.Equal(t, operator.ErrorVerdictNotRun, down.Verdict)
		s.mu.Lock()
		s.afterPut = nil
		s.mu.Unlock()
		s.setOutage(false)
		require.EqualValues(t, 3, d.mustPut(t, change("third", 2, documentText(3, "3"))))

		conflict := d.refusedPut(t, change("fourth", 2, documentText(3, "4")))
		require.Equal(t, operator.ErrorVerdictNotRun, conflict.Verdict)
		require.Equal(t, operator.ErrorReasonConflict, conflict.Reason)
		require.EqualValues(t, 3, conflict.Revision.Value)
		require.Equal(t, documentText(3, "3"), conflict.Text.Value)

		// A repeated operation returns the revision of the first call, even with a different text.
		require.EqualValues(t, 2, d.mustPut(t, change("second", 1, documentText(9, "other"))))
		stored, err := d.GetDocument(t.Context(), "trial")
		require.NoError(t, err)
		require.Equal(t, documentText(3, "3"), stored.Text)
		require.Equal(t, []int64{1, 2, 3}, d.revisions())
		history, err := d.History(t.Context(), "trial")
		require.NoError(t, err)
		require.Len(t, history.Changes, 3)
		require.Equal(t, "third", history.Changes[2].Operation)
		_, err = d.GetDocument(t.Context(), "production")
		require.ErrorContains(t, err, "NotFound")
	})
}

// TestRefusedDocuments guards against a document with faults, or for another environment, that reaches the store.
func TestRefusedDocuments(t *testing.T) {
	runSim(t, func(t *testing.T, s *sim) {
		d := s.start(0)
		for _, test := range []struct{ text, fault string }{
			{`{`, "1:2: Document: "},
			{`{"Environment": "trial", "Seats": 0, "Domains": [], "Upstreams": [], "Services": []}`, "1:35: Seats: 0 is less than 1"},
			{`{"Environment": "production", "Seats": 1, "Domains": [{"Name": "a", "Region": "r"}], "Upstreams": [], "Services": []}`, "for production and not for trial"},
		} {
			body := d.refusedPut(t, change("x", 0, test.text))
			require.Equal(t, operator.ErrorReasonBadDocument, body.Reason)
			require.Contains(t, body.Faults[0], test.fault)
		}
		_, _, found := s.platform.Store.Get("/carawaytiller/trial/document")
		require.False(t, found)
	})
}

// retryMargin allows for the waits between the retries of a change.
const retryMargin = tiller.Second

// TestPlatformAddresses guards against a daemon that fails when one of the platform's addresses
// refuses connections or does not answer.
func TestPlatformAddresses(t *testing.T) {
	for _, f := range []fault{refused, unresponsive} {
		runSim(t, func(t *testing.T, s *sim) {
			s.setFault("one", f)
			d := s.start(0)
			d.mustPut(t, change("first", 0, documentText(3, "")))
			time.Sleep(5 * time.Second)
			require.Empty(t, d.Unready())
			s.setFault("one", noFault)
			s.setFault("two", f)
			begin := s.clock.Now()
			require.EqualValues(t, 2, d.mustPut(t, change("second", 1, documentText(3, ""))))
			require.LessOrEqual(t, s.clock.Now()-begin, callTimeoutMillis+retryMargin)
			require.Equal(t, []int64{1, 2}, d.revisions())
		})
	}
}

// TestRestartTakesNewestRevision guards against a daemon that starts with an old revision because
// the store returns stale records, and against one that returns to a lower revision.
func TestRestartTakesNewestRevision(t *testing.T) {
	runSim(t, func(t *testing.T, s *sim) {
		first := s.start(0)
		first.mustPut(t, change("1", 0, documentText(6, "1")))
		time.Sleep(time.Second)
		// The daemon starts twice, so that a stale record of its seat has the same address.
		first.stopAndWait()
		first = s.start(0)
		second := s.start(1)
		time.Sleep(3 * time.Second)
		first.mustPut(t, change("2", 1, documentText(6, "2")))
		time.Sleep(time.Second)
		first.mustPut(t, change("3", 2, documentText(6, "3")))
		time.Sleep(time.Second)
		require.Equal(t, []int64{1, 2, 3}, second.revisions())
		s.platform.Store.SetFaults(faker.StoreFaults{StaleReads: true})
		// Seat 5 does not watch the store.
		third := s.start(5)
		for third.Unready() != "" {
			time.Sleep(10 * time.Millisecond)
			synctest.Wait()
			require.NotContains(t, third.revisions(), int64(1))
			require.NotContains(t, third.revisions(), int64(2))
		}
		require.Equal(t, []int64{3}, third.revisions())
		time.Sleep(time.Hour)
		require.Equal(t, []int64{3}, third.revisions())
		require.Equal(t, []int64{1, 2, 3}, first.revisions())
		revision, age := third.State()
		require.EqualValues(t, 3, revision)
		require.Less(t, age, 15*tiller.Second)
	})
}

// TestDaemonsStartedTogetherFindEachOther guards against daemons that start at the same time and never find each
// other. At first, none finds the address of another, because the store returns stale records.
func TestDaemonsStartedTogetherFindEachOther(t *testing.T) {
	runSim(t, func(t *testing.T, s *sim) {
		record, err := json.Marshal(keeper.Record{Revision: 1, Text: documentText(3, "")})
		require.NoError(t, err)
		for range 2 {
			s.platform.Store.Set("/carawaytiller/trial/document", string(record))
		}
		s.platform.Store.SetFaults(faker.StoreFaults{StaleReads: true})
		daemons := []*daemon{s.start(0), s.start(1), s.start(2)}
		time.Sleep(3 * time.Second)
		for _, d := range daemons {
			require.Empty(t, d.Unready())
			_, ok := d.AddressOf((d.heldSeat().Seat + 1) % 3)
			require.False(t, ok)
		}
		s.platform.Store.SetFaults(faker.StoreFaults{})
		time.Sleep(2 * firstPeerSearchMillis.Duration())
		for _, d := range daemons {
			for seat := range 3 {
				_, ok := d.AddressOf(seat)
				require.True(t, ok, "seat %d", seat)
			}
		}
	})
}

// TestStopWhileWaiting guards against a stop that waits for calls to an unresponsive store.
func TestStopWhileWaiting(t *testing.T) {
	runSim(t, func(t *testing.T, s *sim) {
		s.setFault("one", unresponsive)
		s.setFault("two", unresponsive)
		d := s.start(0)
		time.Sleep(time.Second)
		begin := s.clock.Now()
		d.stopAndWait()
		require.Equal(t, begin, s.clock.Now())
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.NoError(t, d.Release(ctx), "no seat was claimed")
	})
}
