package faker

import (
	"bytes"
	"context"
	"slices"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/upstream"
)

// run is a request that occupies a slot, with the faults in force when it got the slot.
type run struct {
	instance *instance
	req      *upstream.SearchRequest
	faults   UpstreamFaults
	cold     bool
	service  tiller.Millis
	fails    bool
}

// Search handles a request: it waits for a slot, sleeps for the service time and searches the requested shards.
func (u *Upstream) Search(ctx context.Context, req *upstream.SearchRequest) (upstream.SearchRes, error) {
	if refusal := u.check(req); refusal != nil {
		return refusal, nil
	}
	l := u.runningInstance()
	if l == nil {
		return nil, errCrashed
	}
	ctx, cancel := l.bound(ctx, tiller.Millis(req.DeadlineMillis))
	defer cancel()
	r, err := u.begin(ctx, l, req)
	if err != nil {
		return u.refuse(err, false)
	}
	shards, err := u.work(ctx, r)
	if err != nil {
		u.finish(r)
		return u.refuse(err, true)
	}
	return u.complete(r, shards), nil
}

// check returns the refusal of a request that the upstream does not accept, or nil.
func (u *Upstream) check(req *upstream.SearchRequest) *upstream.SearchErrorStatusCode {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.faults.Draining {
		u.counts.Drained++
		return searchError(upstream.SearchErrorReasonDraining, false, "the upstream is draining")
	}
	if u.faults.Shed {
		u.counts.Shed++
		return shedError()
	}
	held := u.catalog[[2]string{req.Service, req.Snapshot}]
	if held == nil {
		return searchError(upstream.SearchErrorReasonNoSnapshot, false, "snapshot "+req.Snapshot+" is not served")
	}
	for _, shard := range req.Shards {
		if !held[shard] {
			return searchError(upstream.SearchErrorReasonNoShard, false, "shard "+shard+" is not served")
		}
	}
	return nil
}

// begin waits for a slot and starts a run. It fails with errShed when slots and queue are full,
// or with the cause of ctx when that ends first.
func (u *Upstream) begin(ctx context.Context, l *instance, req *upstream.SearchRequest) (*run, error) {
	if ctx.Err() != nil {
		return nil, context.Cause(ctx)
	}
	u.mu.Lock()
	granted, ok := l.slots.take()
	u.recordOutstanding(l, ok)
	u.mu.Unlock()
	if !ok {
		return nil, errShed
	}
	if granted != nil {
		select {
		case <-granted:
		case <-ctx.Done():
			u.mu.Lock()
			defer u.mu.Unlock()
			l.slots.cancel(granted)
			return nil, context.Cause(ctx)
		}
	}
	return u.start(l, req)
}

// start counts a request that got a slot and draws its service time. It crashes the upstream when
// the request exceeds ColdSlots during a cold start or when its body contains the Poison fault's text.
func (u *Upstream) start(l *instance, req *upstream.SearchRequest) (*run, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if l.ctx.Err() != nil {
		return nil, context.Cause(l.ctx)
	}
	u.recordLoad()
	r := &run{instance: l, req: req, faults: u.faults, cold: l.cold.isCold(u.clock.Now())}
	if r.cold {
		admitted := l.cold.begin()
		u.counts.GreatestColdInFlight = max(u.counts.GreatestColdInFlight, l.cold.running)
		if !admitted {
			u.crash()
			return nil, errCrashed
		}
	}
	u.counts.Run++
	if !u.runs.add(req.Route, req.ID) {
		u.counts.Unrecorded++
	}
	if poison := r.faults.Poison; poison != "" && bytes.Contains(req.Body, []byte(poison)) {
		u.crash()
		return nil, errCrashed
	}
	u.draw(r)
	return r, nil
}

// draw decides randomly whether a run is a straggler and whether it fails.
func (u *Upstream) draw(r *run) {
	straggler := r.faults.StragglerEvery > 0 && u.random.IntN(r.faults.StragglerEvery) == 0
	if straggler {
		u.counts.Stragglers++
	}
	r.service = r.faults.serviceTime(u.settings.ServiceMillis, r.req.Route, straggler)
	r.fails = u.random.Float64() < r.faults.failShare(r.req.Route)
}

// work sleeps for the service time and searches the shards.
func (u *Upstream) work(ctx context.Context, r *run) ([]upstream.ShardItems, error) {
	if err := sleep(ctx, r.service); err != nil {
		return nil, err
	}
	if r.fails {
		return nil, errors.New("the Fail fault ended the request")
	}
	shards := make([]upstream.ShardItems, 0, len(r.req.Shards))
	for _, shard := range r.req.Shards {
		items, err := u.settings.Search(r.req.Service, r.req.Snapshot, shard, r.req.Route, r.req.Body, r.req.Limit)
		if err != nil {
			return nil, errors.Wrapf(err, "search %s", shard)
		}
		if ctx.Err() != nil {
			return nil, context.Cause(ctx)
		}
		shards = append(shards, upstream.ShardItems{Shard: shard, Items: encodeItems(items)})
	}
	return shards, nil
}

func encodeItems(items []tiller.Item) []upstream.Item {
	encoded := make([]upstream.Item, 0, len(items))
	for _, item := range items {
		body := jx.Raw(slices.Clone(item.Body))
		if len(body) == 0 {
			body = jx.Raw("null")
		}
		encoded = append(encoded, upstream.Item{Key: item.Key, Score: item.Score, Body: body})
	}
	return encoded
}

// complete ends a run with results and returns its response.
// Under the Mismatch fault it returns the response made for the previously completed run, if there is one.
func (u *Upstream) complete(r *run, shards []upstream.ShardItems) *upstream.SearchResponse {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.Completed++
	r.instance.cold.completed++
	u.release(r)
	response := &upstream.SearchResponse{
		ID:          r.req.ID,
		Attempt:     r.req.Attempt,
		Snapshot:    r.req.Snapshot,
		Shards:      shards,
		Incarnation: r.instance.incarnation,
		Cold:        r.instance.cold.isCold(u.clock.Now()),
	}
	last := u.last
	u.last = response
	if r.faults.Mismatch && last != nil {
		return last
	}
	return response
}

// finish ends a run without results.
func (u *Upstream) finish(r *run) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.release(r)
}

// release frees the slot of a run. The caller holds the lock.
func (u *Upstream) release(r *run) {
	if r.cold {
		r.instance.cold.running--
	}
	r.instance.slots.free()
	u.recordLoad()
}
