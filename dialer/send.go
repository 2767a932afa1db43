package dialer

import (
	"context"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/upstream"
	"github.com/carawaytiller/carawaytiller/reducer"
)

// Send sends an attempt to its upstream at most once and waits for the response. When ctx ends or the
// deadline of the request passes, the attempt is cancelled. Every error is a *carawaytiller.Failure.
func (d *Dialer) Send(ctx context.Context, a reducer.SendAttempt) (tiller.SearchResponse, error) {
	p := d.pool(a.Upstream, a.Address)
	if p == nil {
		return tiller.SearchResponse{}, tiller.NewFailure(tiller.NotRun, tiller.ReasonConnectFailed, errClosed)
	}
	left := a.Request.Deadline - p.now()
	ctx, cancel := context.WithTimeout(ctx, left.Duration())
	defer cancel()
	c, err := p.acquire(ctx, a.Fresh)
	if err != nil {
		return tiller.SearchResponse{}, acquireFailure(ctx, err)
	}
	defer p.finishRequest(c, true)
	return p.search(ctx, c, a)
}

// search runs an attempt on a connection that has a request reserved.
func (p *pool) search(ctx context.Context, c *conn, a reducer.SendAttempt) (tiller.SearchResponse, error) {
	start := p.now()
	ctx, e := newExchange(ctx, c, a.ValidUntil)
	defer e.release()
	res, err := c.client.Search(ctx, encodeRequest(a.Request, start))
	if err != nil {
		return tiller.SearchResponse{}, p.searchFailure(ctx, e, err)
	}
	p.latency.record(p.now() - start)
	switch res := res.(type) {
	case *upstream.SearchResponse:
		p.recordIncarnation(res.Incarnation)
		return decodeResponse(res), nil
	case *upstream.SearchErrorStatusCode:
		return tiller.SearchResponse{}, refusedFailure(res.Response)
	}
	return tiller.SearchResponse{}, tiller.NewFailure(tiller.MayHaveRun, tiller.ReasonUpstreamError, nil)
}

// encodeRequest converts a request to its wire form, in which the deadline is the remaining time in
// milliseconds.
func encodeRequest(r tiller.SearchRequest, now tiller.Millis) *upstream.SearchRequest {
	return &upstream.SearchRequest{
		ID:             string(r.ID),
		Attempt:        int64(r.Attempt),
		Service:        r.Service,
		Snapshot:       r.Snapshot,
		Shards:         r.Shards,
		Route:          r.Route,
		Body:           r.Body,
		Limit:          r.Limit,
		DeadlineMillis: int64(r.Deadline - now),
	}
}

func decodeResponse(r *upstream.SearchResponse) tiller.SearchResponse {
	response := tiller.SearchResponse{
		ID:          tiller.RequestID(r.ID),
		Attempt:     tiller.AttemptID(r.Attempt),
		Snapshot:    r.Snapshot,
		Shards:      make([]tiller.ShardItems, len(r.Shards)),
		Incarnation: r.Incarnation,
		Cold:        r.Cold,
	}
	for i, s := range r.Shards {
		response.Shards[i] = decodeShard(s)
	}
	return response
}

func decodeShard(s upstream.ShardItems) tiller.ShardItems {
	items := make([]tiller.Item, len(s.Items))
	for i, item := range s.Items {
		items[i] = tiller.Item{Key: item.Key, Score: item.Score, Body: item.Body}
	}
	return tiller.ShardItems{Shard: s.Shard, Items: items}
}
