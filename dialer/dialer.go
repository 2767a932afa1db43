package dialer

import (
	"context"
	"net"
	"net/http"
	"sync"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Dialer manages the connections to upstreams and sends attempts over them.
type Dialer struct {
	cfg   Config
	http2 *http.Transport
	http1 *http.Transport

	ctx    context.Context
	cancel context.CancelFunc
	tasks  sync.WaitGroup

	mu sync.Mutex
	// pools is nil once the dialer is closed.
	pools map[string]*pool
}

// New returns a Dialer without connections. Call Close to release its resources.
func New(cfg Config) *Dialer {
	ctx, cancel := context.WithCancel(context.Background())
	return &Dialer{
		cfg:    cfg.withDefaults(),
		http2:  newTransport(true),
		http1:  newTransport(false),
		ctx:    ctx,
		cancel: cancel,
		pools:  make(map[string]*pool),
	}
}

// newTransport returns a Transport that is used only to create ClientConns. Its DialContext returns the
// trackedConn in the context.
func newTransport(isHTTP2 bool) *http.Transport {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(isHTTP2)
	protocols.SetHTTP1(!isHTTP2)
	return &http.Transport{
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return ctx.Value(trackedConnKey{}).(*trackedConn), nil
		},
		Protocols:              protocols,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Apply sets the upstreams and their connection limits. A connection to an upstream that is not among
// targets, or whose address has changed, is closed when its requests have ended.
func (d *Dialer) Apply(targets []Target) {
	listed := make(map[string]bool, len(targets))
	for _, t := range targets {
		listed[t.Name] = true
		if p := d.pool(t.Name, t.Address); p != nil {
			p.apply(t)
		}
	}
	for _, p := range d.removeUnlisted(listed) {
		p.retire()
	}
}

// removeUnlisted removes and returns the pools of the upstreams that are not in listed.
func (d *Dialer) removeUnlisted(listed map[string]bool) []*pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	var removed []*pool
	for name, p := range d.pools {
		if !listed[name] {
			removed = append(removed, p)
			delete(d.pools, name)
		}
	}
	return removed
}

// pool returns the pool of an upstream, creating it if needed, or nil when the dialer is closed.
func (d *Dialer) pool(name, address string) *pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pools == nil {
		return nil
	}
	p, ok := d.pools[name]
	if !ok {
		p = newPool(d, name, address)
		d.pools[name] = p
	}
	return p
}

// Close closes every connection and waits for the dialer's goroutines. Running attempts fail.
func (d *Dialer) Close() {
	d.mu.Lock()
	pools := d.pools
	d.pools = nil
	d.mu.Unlock()
	d.cancel()
	for _, p := range pools {
		p.close()
	}
	d.tasks.Wait()
}

// spawn runs f on a goroutine that Close waits for. It returns false, without running f, when the dialer
// is closed.
func (d *Dialer) spawn(f func()) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pools == nil {
		return false
	}
	d.tasks.Go(f)
	return true
}

// Connections returns the number of open connections to an upstream.
func (d *Dialer) Connections(upstream string) int {
	d.mu.Lock()
	p := d.pools[upstream]
	d.mu.Unlock()
	if p == nil {
		return 0
	}
	return p.count()
}

func (d *Dialer) count(name string, reason tiller.Reason) {
	d.cfg.Count(name, reason, 1)
}
