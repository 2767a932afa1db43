package estimator

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/distributor"
	"github.com/carawaytiller/carawaytiller/reducer"
	"github.com/carawaytiller/carawaytiller/tracker"
)

// Document returns a document of size s: its services have s.FanOut shards, each with two replicas.
func Document(revision int64, s Size) *tiller.Document {
	d := &tiller.Document{Environment: "trial", Revision: revision, Seats: s.Daemons}
	for i := range 27 {
		d.Domains = append(d.Domains, tiller.Domain{Name: fmt.Sprintf("domain-%02d", i), Region: fmt.Sprintf("region-%d", i%7)})
	}
	for i := range s.Upstreams {
		d.Upstreams = append(d.Upstreams, upstream(i))
	}
	perService := max(1, s.Upstreams/s.Services)
	for i := range s.Services {
		d.Services = append(d.Services, service(i, perService, s))
	}
	// Each revision changes one upstream.
	d.Upstreams[int(revision)%len(d.Upstreams)].Leaving = true
	return d
}

func upstream(i int) tiller.Upstream {
	return tiller.Upstream{
		Name:          fmt.Sprintf("upstream-%05d", i),
		Address:       fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
		Domain:        fmt.Sprintf("domain-%02d", i%27),
		Version:       "v1",
		Slots:         700,
		Connections:   200,
		ConnectMillis: 1,
		ColdSlots:     70,
	}
}

func service(i, perService int, s Size) tiller.Service {
	n := tiller.Snapshot{Name: "s1"}
	for shard := range s.FanOut {
		a := i*perService + shard%perService
		b := i*perService + (shard+1)%perService
		n.Shards = append(n.Shards, tiller.Shard{
			Name:      fmt.Sprintf("shard-%03d", shard),
			Upstreams: []string{fmt.Sprintf("upstream-%05d", a), fmt.Sprintf("upstream-%05d", b)},
		})
	}
	return tiller.Service{
		Name:            fmt.Sprintf("service-%03d", i),
		Current:         "s1",
		Routes:          []tiller.Route{{Name: "search", Repeatable: true}},
		Snapshots:       []tiller.Snapshot{n},
		WaitFor:         tiller.WaitForCoverage,
		NeededCoverage:  1,
		DeadlineMillis:  400,
		StragglerMillis: 20,
		Limit:           10,
		QueueLimit:      256,
		HedgePercent:    5,
		RetryPercent:    10,
	}
}

// distributionCost measures the distribution of changes: applying a patch, rebuilding the document and sending.
func distributionCost(s Size) Cost {
	base := distributor.NewVersion(Document(1, s))
	changed := distributor.NewVersion(Document(2, s))
	patch := base.PatchTo(changed)
	apply := secondsPerCall(3, func() {
		next, err := base.Apply(patch)
		if err == nil {
			next.Document()
		}
	})
	push := encodedSize(distributor.Message{Push: &distributor.Push{Patches: []distributor.Patch{patch}}})
	fact := encodedSize(distributor.Message{Push: &distributor.Push{Facts: []distributor.Fact{{Key: "seat/7399", Version: 1, Value: make([]byte, 90)}}}})
	digest := encodedSize(distributor.Message{Digest: &distributor.Digest{Revision: 1 << 20, Hash: 1 << 60, FactsHash: 1 << 60}})
	changes, restarts := s.ChangesPerDay/secondsPerDay, s.RestartsPerDay/secondsPerDay
	peers := float64(min(distributor.PushPeers, s.Daemons-1))
	memory := retainedBytes(func() distributor.Version { return distributor.NewVersion(Document(3, s)) })
	return Cost{
		Mechanism:         "distributor: patches, facts, comparison",
		Slope:             fmt.Sprintf("%.1f ms and %.0f B x %.0f peers a change, %.0f B x %.0f peers a seat change, %.0f B a second", apply*1e3, push, peers, fact, peers, digest),
		CoreShare:         apply * changes,
		Bytes:             memory,
		BytesPerSecond:    push*peers*changes + fact*peers*restarts + digest,
		MessagesPerSecond: peers*(changes+restarts) + 1,
		Control:           true,
	}
}

// reducerDocumentCost measures how long the reducer takes to apply a changed document.
func reducerDocumentCost(s Size) Cost {
	state := reducer.New(reducer.Config{
		Holding:  func(tiller.Millis, tracker.UnitID) tracker.Holding { return tracker.Holding{Owner: -1} },
		SetUnits: func(tiller.Millis, uint64, []tracker.Unit) {},
	})
	reducer.Step(state, reducer.SeatChanged{Seat: 1, Incarnation: 1})
	reducer.Step(state, reducer.DocumentApplied{Document: Document(1, s)})
	docs := make([]*tiller.Document, 4)
	for i := range docs {
		docs[i] = Document(int64(i+2), s)
	}
	next, revision := 0, int64(2)
	seconds := secondsPerCall(4, func() {
		docs[next].Revision = revision
		reducer.Step(state, reducer.DocumentApplied{Document: docs[next]})
		next = (next + 1) % len(docs)
		revision++
	})
	return Cost{
		Mechanism: "reducer: document in force",
		Slope:     fmt.Sprintf("%.1f ms a change", seconds*1e3),
		CoreShare: seconds * s.ChangesPerDay / secondsPerDay,
		Control:   true,
	}
}

// encodedSize returns the size of an encoded message in bytes, without transport headers; 0 when it cannot be encoded.
func encodedSize(message any) float64 {
	b, err := cbor.Marshal(message)
	if err != nil {
		return 0
	}
	return float64(len(b))
}
