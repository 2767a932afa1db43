package joiner

import (
	"errors"
	"net"
	"net/http"
	"sync/atomic"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/keeper"
)

const (
	// storeConnectMillis bounds a connection to the store.
	storeConnectMillis = tiller.Second
	// storeAnswerMillis bounds the wait for an answer, beyond the longest waiting watch.
	storeAnswerMillis = keeper.WatchMillis + 5*tiller.Second
)

// ConnectStore returns the platform at one or several addresses. Calls go to one address
// until a call cannot reach it; the next call goes to the next address.
func ConnectStore(addresses []string) (keeper.Platform, error) {
	if len(addresses) == 0 {
		return keeper.Platform{}, errors.New("no address of the platform")
	}
	dialer := &net.Dialer{Timeout: storeConnectMillis.Duration()}
	r := &rotation{
		addresses: addresses,
		transport: &http.Transport{
			DialContext:           dialer.DialContext,
			ResponseHeaderTimeout: storeAnswerMillis.Duration(),
		},
	}
	return keeper.Connect(addresses[0], &http.Client{Transport: r})
}

// rotation sends requests to one of several addresses.
type rotation struct {
	addresses []string
	transport *http.Transport
	// current counts the addresses that were given up.
	current atomic.Uint64
}

// RoundTrip sends r to the present address and does not repeat it elsewhere: a write may have taken effect.
func (t *rotation) RoundTrip(r *http.Request) (*http.Response, error) {
	current := t.current.Load()
	r = r.Clone(r.Context())
	r.URL.Host = t.addresses[current%uint64(len(t.addresses))]
	resp, err := t.transport.RoundTrip(r)
	if err != nil && r.Context().Err() == nil {
		t.current.CompareAndSwap(current, current+1)
	}
	return resp, err
}

// CloseIdleConnections closes the connections without requests, for http.Client.
func (t *rotation) CloseIdleConnections() {
	t.transport.CloseIdleConnections()
}
