package injector_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/upstream"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/embedder"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/injector"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/inspector"
	"github.com/carawaytiller/carawaytiller/faker"
	"github.com/carawaytiller/carawaytiller/sampler"
)

// patience bounds waits for things that happen soon after another.
const patience = 10 * time.Second

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// document returns the document of Guild with its first two services, whose upstreams are in three failure domains.
func document() *tiller.Document {
	doc := sampler.Document(sampler.Guild, func(string) string { return "" })
	doc.Services = doc.Services[:2]
	doc.Upstreams = doc.Upstreams[:4]
	return doc
}

func start(t *testing.T) *embedder.Fleet {
	t.Helper()
	fleet, err := embedder.Start(embedder.Config{
		Logger: logr.Discard(), Document: document(),
		Search: func(string, string, string, string, []byte, int) ([]tiller.Item, error) { return nil, nil },
	})
	require.NoError(t, err)
	t.Cleanup(fleet.Close)
	return fleet
}

// here returns the fake in Burnaby, elsewhere the one in Kelowna, of the first service.
func here(f *embedder.Fleet) *faker.Upstream { return f.Upstreams("Burnaby")["recipe-desk-01-1"] }

func elsewhere(f *embedder.Fleet) *faker.Upstream { return f.Upstreams("Kelowna")["recipe-desk-01-2"] }

// warm sends requests to a fake until its cold start is over.
func warm(t *testing.T, u *faker.Upstream) {
	t.Helper()
	for u.Counts().Cold {
		_, err := u.Search(t.Context(), &upstream.SearchRequest{
			ID: "warm", Service: "recipe-desk-01", Snapshot: "2026-03-08", Shards: []string{"shard-01"}, DeadlineMillis: 1000,
		})
		require.NoError(t, err)
	}
}

// Guards against a fault that does nothing, happens elsewhere, or stays.
func TestFaults(t *testing.T) {
	isOut := func(f *embedder.Fleet) bool { return f.Document().Domains[0].Out }
	tests := map[injector.Name]struct {
		during func(*embedder.Fleet) bool
		after  func(*embedder.Fleet) bool
	}{
		injector.Straggler: {
			func(f *embedder.Fleet) bool { return elsewhere(f).Faults().StragglerEvery > 0 },
			func(f *embedder.Fleet) bool { return elsewhere(f).Faults().StragglerEvery == 0 },
		},
		injector.Silent: {
			func(f *embedder.Fleet) bool { return here(f).Faults().Silent && !elsewhere(f).Faults().Silent },
			func(f *embedder.Fleet) bool { return !here(f).Faults().Silent },
		},
		injector.Shed: {
			func(f *embedder.Fleet) bool { return here(f).Faults().Shed && !elsewhere(f).Faults().Shed },
			func(f *embedder.Fleet) bool { return !here(f).Faults().Shed },
		},
		injector.Mismatch: {
			func(f *embedder.Fleet) bool { return here(f).Faults().Mismatch && !elsewhere(f).Faults().Mismatch },
			func(f *embedder.Fleet) bool { return !here(f).Faults().Mismatch },
		},
		injector.Poison: {
			func(f *embedder.Fleet) bool { return elsewhere(f).Faults().Poison != "" },
			func(f *embedder.Fleet) bool { return elsewhere(f).Faults().Poison != "" },
		},
		injector.Cold: {
			func(f *embedder.Fleet) bool { return here(f).Counts().Cold && !elsewhere(f).Counts().Cold },
			func(*embedder.Fleet) bool { return true },
		},
		injector.UpstreamCrash: {
			func(f *embedder.Fleet) bool {
				return here(f).Counts().Crashes > 0 && elsewhere(f).Counts().Crashes == 0
			},
			func(f *embedder.Fleet) bool { return here(f).Counts().Incarnation > 1 },
		},
		injector.DomainOut: {
			isOut,
			func(f *embedder.Fleet) bool { return !isOut(f) && f.Document().Revision == 3 },
		},
		injector.StoreOutage: {
			func(f *embedder.Fleet) bool { return f.Platform().Store.Faults().Outage },
			func(f *embedder.Fleet) bool { return !f.Platform().Store.Faults().Outage },
		},
		injector.StoreSlow: {
			func(f *embedder.Fleet) bool { return f.Platform().Store.Faults().LatencyMillis > 0 },
			func(f *embedder.Fleet) bool { return f.Platform().Store.Faults().LatencyMillis == 0 },
		},
		injector.DaemonStop: {
			func(f *embedder.Fleet) bool { return len(f.Rotation.Addresses()) == 7 },
			func(f *embedder.Fleet) bool { return answersAll(f.Rotation.Addresses()) },
		},
		injector.DaemonKill: {
			func(f *embedder.Fleet) bool { return len(f.Rotation.Addresses()) == 7 },
			func(f *embedder.Fleet) bool { return answersAll(f.Rotation.Addresses()) },
		},
	}
	for name, test := range tests {
		t.Run(string(name), func(t *testing.T) {
			t.Parallel()
			fleet := start(t)
			warm(t, here(fleet))
			warm(t, elsewhere(fleet))
			fault := injector.Fault{Name: name, For: time.Hour, Domain: "Burnaby", Seat: 3}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			log := &inspector.Log{}
			go func() { ended <- injector.New(fault, fleet, log).Run(ctx) }()
			require.Eventually(t, func() bool { return test.during(fleet) }, patience, time.Millisecond)
			cancel()
			require.NoError(t, <-ended)
			require.Eventually(t, func() bool { return test.after(fleet) }, patience, time.Millisecond)
			require.Zero(t, log.Total())
		})
	}
}

// answersAll says whether eight daemons listen.
func answersAll(addresses []string) bool {
	for _, a := range addresses {
		c, err := net.Dial("tcp", a)
		if err != nil {
			return false
		}
		_ = c.Close()
	}
	return len(addresses) == 8
}

// Guards against a fault at an impossible time or place.
func TestCheck(t *testing.T) {
	const length = 10 * time.Second
	right := injector.Fault{Name: injector.DomainOut, At: 2 * time.Second, For: 8 * time.Second, Domain: "Nanaimo", Seat: 7}
	require.NoError(t, right.Check(document(), length))
	require.NoError(t, injector.Fault{Name: injector.None, At: -1, Domain: "nowhere"}.Check(document(), length))
	for want, spoil := range map[string]func(*injector.Fault){
		`--fault "frozen"`:         func(f *injector.Fault) { f.Name = "frozen" },
		"--fault-at -1ns":          func(f *injector.Fault) { f.At = -1 },
		"--fault-for 0s":           func(f *injector.Fault) { f.For = 0 },
		"--fault-for 8.000000001s": func(f *injector.Fault) { f.For++ },
		"--fault-for 3s":           func(f *injector.Fault) { f.For = 3 * time.Second },
		`--fault-domain "nowhere"`: func(f *injector.Fault) { f.Domain = "nowhere" },
		"--fault-seat 8":           func(f *injector.Fault) { f.Seat = 8 },
		"--fault-seat -1":          func(f *injector.Fault) { f.Seat = -1 },
	} {
		fault := right
		spoil(&fault)
		require.ErrorContains(t, fault.Check(document(), length), want)
	}
}
