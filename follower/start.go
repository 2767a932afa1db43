package follower

import (
	"context"
	"net/http"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/forwarder"
)

// This file reads the store's entries at the start of a daemon. When a whole fleet starts or restarts at once,
// reads of the store by each daemon are most of the fleet's billed calls. A daemon therefore reads the entries
// from a seed, a daemon whose address its settings name, and calls the store only if no seed answers in time.

const (
	// seedTimeoutMillis is the time within which a seed must answer. It allows for a seed that starts at the same
	// time and has to read the store first.
	seedTimeoutMillis = 300 * tiller.Millis(1)
	// seedsTimeoutMillis bounds the delay of a start at which no seed is running.
	seedsTimeoutMillis = 600 * tiller.Millis(1)
	// seedRetryMillis is the pause before seeds that refused a connection are tried again. Daemons that start
	// together may start before the seeds.
	seedRetryMillis = 60 * tiller.Millis(1)
)

// readSeed reads all entries from a seed. It reports whether one answered in time with entries that are recent
// enough.
func (f *Follower) readSeed(ctx context.Context) bool {
	seeds := f.otherSeeds()
	if len(seeds) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, seedsTimeoutMillis.Duration())
	defer cancel()
	for ctx.Err() == nil {
		reached := f.reachSeeds(ctx, seeds)
		for range seeds {
			if address := <-reached; address != "" && f.followSeed(ctx, address) {
				return true
			}
		}
		sleep(ctx, seedRetryMillis)
	}
	return false
}

// followSeed applies all entries of a seed, and reports whether it has any that are recent enough.
func (f *Follower) followSeed(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, seedTimeoutMillis.Duration())
	defer cancel()
	seed := source{origin: fromPeer, member: cataloger.Member{Address: address}, maxAge: f.timing.MaxAge(0)}
	update, err := f.fetchUpdate(ctx, seed)
	if err != nil {
		f.log.Info("Seed did not answer", "Address", address, "Cause", err.Error())
		return false
	}
	if update.Revision == 0 || update.Age >= seed.maxAge {
		f.log.Info("Seed has no recent entries", "Address", address, "Revision", update.Revision, "Age", update.Age, "Limit", seed.maxAge)
		return false
	}
	f.applyUpdate(update)
	f.emitRead()
	f.log.Info("Read a seed", "Address", address, "Era", update.Era, "Revision", update.Revision, "Keys", len(update.Items), "Age", update.Age)
	return true
}

// otherSeeds returns the seeds to ask. A seed itself reads the store, because others wait for it.
func (f *Follower) otherSeeds() []string {
	for _, address := range f.seeds {
		if address == f.self.Address {
			return nil
		}
	}
	return f.seeds
}

// reachSeeds opens a connection to each seed. The channel returns the addresses of the seeds in the order in which
// they accepted, so that the nearest is asked first, and "" for each other one.
func (f *Follower) reachSeeds(ctx context.Context, seeds []string) <-chan string {
	reached := make(chan string, len(seeds))
	for _, address := range seeds {
		go func() {
			if !f.client.Reach(ctx, changesRequest(address)) {
				address = ""
			}
			reached <- address
		}()
	}
	return reached
}

// changesRequest returns a request for changes without its query.
func changesRequest(address string) forwarder.Request {
	return forwarder.Request{
		Address: address, Key: ChangesPath, Method: http.MethodGet, Host: address, Header: http.Header{}, URI: ChangesPath,
		Protected: true,
	}
}
