package sender

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	"github.com/carawaytiller/carawaytiller/api/caller"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/planner"
)

const (
	// replyGrace is the time after its deadline for which a reply is waited for.
	replyGrace = 2 * time.Second
	// idleConnections is the number of connections kept for each daemon.
	idleConnections = 512
)

// Client asks daemons over HTTP.
type Client struct {
	rotation *Rotation
	deadline time.Duration
	http     *http.Client

	mu      sync.Mutex
	callers map[string]*caller.Client
}

// NewClient returns a Client that gives each query the time deadline. It connects directly, whatever proxy
// the environment names.
func NewClient(rotation *Rotation, deadline time.Duration) *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: idleConnections}
	return &Client{
		rotation: rotation,
		deadline: deadline,
		http:     &http.Client{Transport: transport, Timeout: deadline + replyGrace},
		callers:  map[string]*caller.Client{},
	}
}

// HTTP returns the HTTP client, which has a time limit for each request.
func (c *Client) HTTP() *http.Client { return c.http }

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Ask asks the daemon that the request's random number decides on. A request with Resend is asked again after
// its outcome, at another daemon. report gets each outcome.
func (c *Client) Ask(ctx context.Context, r planner.Request, intended time.Time, report func(Outcome)) {
	lag := time.Since(intended)
	token, err := c.token(ctx, r)
	o := newOutcome(r, nil, err)
	if err == nil {
		o = c.query(ctx, r, r.Daemon, token)
	}
	o.Lag, o.Latency = lag, time.Since(intended)
	report(o)
	if r.Resend && err == nil {
		again := c.query(ctx, r, r.Daemon+1, token)
		again.IsResend = true
		report(again)
	}
}

// token gets the single-use token of a request that needs one.
func (c *Client) token(ctx context.Context, r planner.Request) (string, error) {
	if r.Repeatable() {
		return "", nil
	}
	daemon, err := c.caller(r.Issuer)
	if err != nil {
		return "", err
	}
	token, err := daemon.IssueToken(ctx)
	if err != nil {
		return "", err
	}
	return token.Token, nil
}

func (c *Client) query(ctx context.Context, r planner.Request, random int, token string) Outcome {
	daemon, err := c.caller(random)
	if err != nil {
		return newOutcome(r, nil, err)
	}
	q := &caller.Query{
		ID:             r.ID,
		Caller:         r.Caller,
		Service:        r.Service,
		Route:          r.Route,
		Body:           jx.Raw(r.Body),
		DeadlineMillis: c.deadline.Milliseconds(),
		Repeatable:     caller.NewOptBool(r.Repeatable()),
	}
	if token != "" {
		q.Token = caller.NewOptString(token)
	}
	answer, err := daemon.Query(ctx, q)
	return newOutcome(r, answer, err)
}

// caller returns the client of the daemon that a random number decides on.
func (c *Client) caller(random int) (*caller.Client, error) {
	address, err := c.rotation.pick(random)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.callers[address]; ok {
		return known, nil
	}
	client, err := caller.NewClient("http://"+address, caller.WithClient(c.http))
	if err != nil {
		return nil, errors.Wrap(err, "client")
	}
	c.callers[address] = client
	return client, nil
}
