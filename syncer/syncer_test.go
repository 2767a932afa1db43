package syncer

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/distributor"
	"github.com/carawaytiller/carawaytiller/keeper"
)

// fleet is a set of Syncers in one process whose messages are delivered synchronously.
type fleet struct {
	syncers []*Syncer
	// applied holds the applied revisions of each seat, in order.
	applied   [][]int64
	reads     int
	record    keeper.Record
	storeDown bool
	now       tiller.Millis
}

func newFleet(n int) *fleet {
	f := &fleet{applied: make([][]int64, n)}
	for seat := range n {
		f.syncers = append(f.syncers, New(f.config(seat)))
	}
	return f
}

func (f *fleet) config(seat int) Config {
	return Config{
		Seat:   seat,
		Clock:  tiller.Clock{Now: func() tiller.Millis { return f.now }},
		Random: func() uint64 { return uint64(seat) * 7919 },
		Send:   func(to int, m distributor.Message) { f.syncers[to].Receive(seat, m) },
		Apply:  func(d *tiller.Document) { f.applied[seat] = append(f.applied[seat], d.Revision) },
		Read:   f.read,
		Watch:  func(ctx context.Context, _ func(keeper.Record)) { <-ctx.Done() },
		Decode: func(text string) (*tiller.Document, error) {
			if text == "bad" {
				return nil, errors.New("bad document")
			}
			return &tiller.Document{Environment: "trial", Seats: len(f.syncers)}, nil
		},
		Sleep: func(ctx context.Context, _ tiller.Millis) error { return ctx.Err() },
		Log:   logr.Discard(),
	}
}

func (f *fleet) read(context.Context) (keeper.Record, error) {
	f.reads++
	if f.storeDown {
		return keeper.Record{}, tiller.NewFailure(tiller.NotRun, tiller.ReasonConnectFailed, keeper.ErrUnavailable)
	}
	return f.record, nil
}

func (f *fleet) tickAll() {
	for _, s := range f.syncers {
		s.tick(context.Background())
	}
}

// TestHighestValidRevisionReachesAll guards against daemons that keep an old revision, a malformed document that
// is applied, and a lower revision that is applied after a higher one.
func TestHighestValidRevisionReachesAll(t *testing.T) {
	f := newFleet(8)
	for _, s := range f.syncers {
		s.HandleRecord(keeper.Record{Revision: 1})
	}
	f.syncers[0].HandleRecord(keeper.Record{Revision: 3})
	f.syncers[1].HandleRecord(keeper.Record{Revision: 2})
	f.syncers[2].HandleRecord(keeper.Record{Revision: 4, Text: "bad"})
	for seat := range f.syncers {
		require.Equal(t, []int64{1, 3}, f.applied[seat], "seat %d", seat)
	}
}

// TestOutageSpreadsStoreReads guards against a fleet whose daemons all read the store at once when the document
// has not been confirmed for a long time, and against an age that does not grow during an outage.
func TestOutageSpreadsStoreReads(t *testing.T) {
	f := newFleet(8)
	f.record = keeper.Record{Revision: 1}
	f.tickAll()
	f.storeDown, f.reads = true, 0
	for f.now = 0; f.now < tiller.Hour; f.now += tiller.Second {
		f.tickAll()
	}
	perSecond := float64(f.reads) / float64(tiller.Hour/tiller.Second)
	t.Logf("8 daemons made %.2f reads per second in a store outage of one hour", perSecond)
	require.Less(t, perSecond, 8.0/15)
	_, age := f.syncers[3].State()
	require.GreaterOrEqual(t, age, tiller.Hour-2*tiller.Second)
	require.Equal(t, int64(1), f.syncers[3].table.Revision())
	f.storeDown = false
	for range 80 {
		f.now += tiller.Second
		f.tickAll()
	}
	_, age = f.syncers[3].State()
	require.Less(t, age, StaleMillis+StaleSpreadMillis)
}

// TestSeatAddressHighestIncarnationWins guards against messages sent to a process that another one has replaced.
func TestSeatAddressHighestIncarnationWins(t *testing.T) {
	f := newFleet(3)
	for _, s := range f.syncers {
		s.HandleRecord(keeper.Record{Revision: 1})
	}
	f.syncers[1].AnnounceSeat(1, 5, SeatAddress{Address: "127.0.0.1:2"})
	f.syncers[2].AnnounceSeat(1, 4, SeatAddress{Address: "127.0.0.1:1"})
	a, incarnation, ok := f.syncers[0].AddressOf(1)
	require.True(t, ok)
	require.Equal(t, int64(5), incarnation)
	require.Equal(t, "127.0.0.1:2", a.Address)
}

// TestNewFactIsReportedOnce guards against an announced fault of a new version (of a rollout) that reaches a daemon
// but is not passed to OnFact, or is passed twice.
func TestNewFactIsReportedOnce(t *testing.T) {
	f := newFleet(3)
	for _, s := range f.syncers {
		s.HandleRecord(keeper.Record{Revision: 1})
	}
	var learned []string
	f.syncers[2].cfg.OnFact = func(fact distributor.Fact) { learned = append(learned, fact.Key) }
	f.syncers[0].Announce(distributor.Fact{Key: "fault/m", Version: 1})
	f.syncers[0].Announce(distributor.Fact{Key: "fault/m", Version: 1})
	require.Equal(t, []string{"fault/m"}, learned)
}

// TestRunStopsItsGoroutines guards against goroutines that keep running after Run has returned.
func TestRunStopsItsGoroutines(t *testing.T) {
	defer goleak.VerifyNone(t)
	f := newFleet(1)
	cfg := f.config(0)
	cfg.Sleep = func(ctx context.Context, _ tiller.Millis) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Millisecond):
			return nil
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	New(cfg).Run(ctx)
}
