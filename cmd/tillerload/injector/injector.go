package injector

import (
	"context"
	"time"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/embedder"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/inspector"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/planner"
	"github.com/carawaytiller/carawaytiller/faker"
)

const (
	// pulse is the time between repetitions of a fault that happens at a moment, such as a crash.
	pulse = time.Second
	// stragglerEvery and stragglerFactor make one in 100 responses take 100 times as long.
	stragglerEvery  = 100
	stragglerFactor = 100
	// slowStoreMillis is the latency of a slow store.
	slowStoreMillis = 2 * tiller.Second
)

// Injector brings a fault about in a fleet.
type Injector struct {
	fault  Fault
	fleet  *embedder.Fleet
	log    *inspector.Log
	action action
}

// action is what a fault does. Each function may be nil.
type action struct {
	// begin and end are called once, pulse at the begin and each second until the end.
	begin func() error
	pulse func()
	end   func() error
}

// New returns an Injector. What it finds wrong itself is added to log. Poison is in force at once, so that
// no poison request succeeds and is taken to be harmless; the load has such requests only for the time of the fault.
func New(fault Fault, fleet *embedder.Fleet, log *inspector.Log) *Injector {
	in := &Injector{fault: fault, fleet: fleet, log: log}
	in.action = in.actions()[fault.Name]
	if fault.Name == Poison {
		in.setFaults("", faker.UpstreamFaults{Poison: planner.PoisonTerm})
	}
	return in
}

// actions returns what each fault does.
func (in *Injector) actions() map[Name]action {
	return map[Name]action{
		Straggler: in.constant("", faker.UpstreamFaults{StragglerEvery: stragglerEvery, StragglerFactor: stragglerFactor}),
		Shed:      in.constant(in.fault.Domain, faker.UpstreamFaults{Shed: true}),
		Mismatch:  in.constant(in.fault.Domain, faker.UpstreamFaults{Mismatch: true}),
		Silent: {
			pulse: func() {
				// Only a change to Silent silences the connections that are open then.
				in.setFaults(in.fault.Domain, faker.UpstreamFaults{})
				in.setFaults(in.fault.Domain, faker.UpstreamFaults{Silent: true})
			},
			end: func() error { in.setFaults(in.fault.Domain, faker.UpstreamFaults{}); return nil },
		},
		Cold:          {pulse: func() { in.eachUpstream((*faker.Upstream).GoCold) }},
		UpstreamCrash: {pulse: func() { in.eachUpstream((*faker.Upstream).Crash) }},
		DomainOut: {
			begin: func() error { return in.setOut(true) },
			end: func() error {
				// Upstreams of a restored failure domain are all cold at the same time.
				in.eachUpstream((*faker.Upstream).GoCold)
				return in.setOut(false)
			},
		},
		StoreOutage: in.store(faker.StoreFaults{Outage: true}),
		StoreSlow:   in.store(faker.StoreFaults{LatencyMillis: slowStoreMillis}),
		DaemonStop: {
			begin: func() error { return in.fleet.StopDaemon(in.fault.Seat) },
			end:   func() error { return in.fleet.StartDaemon(in.fault.Seat) },
		},
		DaemonKill: {
			begin: func() error { return in.fleet.KillDaemon(in.fault.Seat) },
			end:   func() error { return in.fleet.StartDaemon(in.fault.Seat) },
		},
	}
}

// constant returns the action of faults that upstreams of a failure domain have all the time.
func (in *Injector) constant(domain string, f faker.UpstreamFaults) action {
	return action{
		begin: func() error { in.setFaults(domain, f); return nil },
		end:   func() error { in.setFaults(domain, faker.UpstreamFaults{}); return nil },
	}
}

func (in *Injector) store(f faker.StoreFaults) action {
	return action{
		begin: func() error { in.fleet.Platform().Store.SetFaults(f); return nil },
		end:   func() error { in.fleet.Platform().Store.SetFaults(faker.StoreFaults{}); return nil },
	}
}

func (in *Injector) setFaults(domain string, f faker.UpstreamFaults) {
	for _, u := range in.fleet.Upstreams(domain) {
		u.SetFaults(f)
	}
}

func (in *Injector) eachUpstream(do func(*faker.Upstream)) {
	for _, u := range in.fleet.Upstreams(in.fault.Domain) {
		do(u)
	}
}

func (in *Injector) setOut(out bool) error {
	return in.fleet.Apply(func(doc *tiller.Document) {
		for i := range doc.Domains {
			if doc.Domains[i].Name == in.fault.Domain {
				doc.Domains[i].Out = out
			}
		}
	})
}

// Run brings the fault about, keeps it up for its time and takes it back. It takes it back early when ctx ends.
func (in *Injector) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, in.fault.For)
	defer cancel()
	watched := in.watchDomain(ctx)
	if in.action.begin != nil {
		if err := in.action.begin(); err != nil {
			return err
		}
	}
	in.pulseUntil(ctx)
	<-watched
	if in.action.end == nil {
		return nil
	}
	return in.action.end()
}

func (in *Injector) pulseUntil(ctx context.Context) {
	if in.action.pulse == nil {
		<-ctx.Done()
		return
	}
	ticker := time.NewTicker(pulse)
	defer ticker.Stop()
	for ctx.Err() == nil {
		in.action.pulse()
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// watchDomain checks that a failure domain that is out gets no new work from 3 s after the call until ctx ends.
// The returned channel is closed when it has.
func (in *Injector) watchDomain(ctx context.Context) <-chan struct{} {
	watched := make(chan struct{})
	if in.fault.Name != DomainOut {
		close(watched)
		return watched
	}
	go func() {
		defer close(watched)
		select {
		case <-time.After(OutMillis.Duration()):
		case <-ctx.Done():
			return
		}
		before := in.runs()
		<-ctx.Done()
		inspector.Out(in.fault.Domain, before, in.runs(), in.log)
	}()
	return watched
}

// runs returns the number of requests that the upstreams of the failure domain have started.
func (in *Injector) runs() map[string]int {
	runs := map[string]int{}
	for name, u := range in.fleet.Upstreams(in.fault.Domain) {
		runs[name] = u.Counts().Run
	}
	return runs
}
