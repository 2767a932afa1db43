package comparer

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/upstream"
)

// body is the body of every query.
const body = `{"Terms":["item"]}`

// direct calls the upstreams without a daemon.
type direct struct {
	transport *http.Transport
	targets   []target
	attempts  atomic.Int64
}

// target is an upstream and its one shard.
type target struct {
	client *upstream.Client
	shard  string
}

// newDirect returns clients that speak HTTP/2 cleartext, as the daemons do.
func newDirect(doc *tiller.Document) (*direct, error) {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	d := &direct{transport: &http.Transport{Protocols: protocols, DisableCompression: true}}
	client := &http.Client{Transport: d.transport, Timeout: deadlineMillis.Duration()}
	for i, u := range doc.Upstreams {
		c, err := upstream.NewClient("http://"+u.Address, upstream.WithClient(client))
		if err != nil {
			return nil, errors.Wrap(err, "client")
		}
		d.targets = append(d.targets, target{client: c, shard: shardName(i)})
	}
	return d, nil
}

func (d *direct) close() { d.transport.CloseIdleConnections() }

// call asks one upstream for its shard.
func (d *direct) call(ctx context.Context, i int) error {
	attempt := d.attempts.Add(1)
	res, err := d.targets[i].client.Search(ctx, &upstream.SearchRequest{
		ID: fmt.Sprintf("direct-%d", attempt), Attempt: attempt, Service: service, Snapshot: snapshot,
		Shards: []string{d.targets[i].shard}, Route: route, Body: jx.Raw(body), Limit: limit,
		DeadlineMillis: int64(deadlineMillis),
	})
	if err != nil {
		return err
	}
	if _, ok := res.(*upstream.SearchResponse); !ok {
		return errors.Errorf("refused: %T", res)
	}
	return nil
}

// callAll asks every upstream at the same time.
func (d *direct) callAll(ctx context.Context) error {
	errs := make([]error, len(d.targets))
	var tasks sync.WaitGroup
	for i := range d.targets {
		tasks.Go(func() { errs[i] = d.call(ctx, i) })
	}
	tasks.Wait()
	return errors.Join(errs...)
}
