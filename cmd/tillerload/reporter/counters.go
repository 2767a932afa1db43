package reporter

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"

	"github.com/go-faster/errors"
)

// Counters are sums over the daemons.
type Counters struct {
	// First, Retries and Hedges are requests to upstreams by their cause; Canaries are among them.
	First    int64
	Retries  int64
	Hedges   int64
	Canaries int64
	// Redirects counts queries that a daemon sent on to another daemon after the first one.
	Redirects int64
}

// Minus returns the counts since earlier.
func (c Counters) Minus(earlier Counters) Counters {
	return Counters{
		First:     c.First - earlier.First,
		Retries:   c.Retries - earlier.Retries,
		Hedges:    c.Hedges - earlier.Hedges,
		Canaries:  c.Canaries - earlier.Canaries,
		Redirects: c.Redirects - earlier.Redirects,
	}
}

func (c Counters) plus(other Counters) Counters {
	return Counters{
		First:     c.First + other.First,
		Retries:   c.Retries + other.Retries,
		Hedges:    c.Hedges + other.Hedges,
		Canaries:  c.Canaries + other.Canaries,
		Redirects: c.Redirects + other.Redirects,
	}
}

// Load is the extra load that the daemons brought upon the upstreams.
type Load struct {
	UpstreamRequests int64
	Hedges           int64
	Retries          int64
	Canaries         int64
	// Redirects counts queries that a daemon sent on to another daemon after the first one.
	Redirects int64
	// Minimum is the least number of requests that covers the shards of every answered query.
	Minimum int
	// OverMinimum is UpstreamRequests by Minimum. Requests for queries that were refused count, too.
	OverMinimum float64
	// OverFirst is UpstreamRequests by those that are neither hedged nor retried.
	OverFirst float64
}

func newLoad(c Counters, minimum int) Load {
	sum := c.First + c.Retries + c.Hedges
	return Load{
		UpstreamRequests: sum,
		Hedges:           c.Hedges,
		Retries:          c.Retries,
		Canaries:         c.Canaries,
		Redirects:        c.Redirects,
		Minimum:          minimum,
		OverMinimum:      ratio(int(sum), minimum),
		OverFirst:        ratio(int(sum), int(c.First)),
	}
}

// Scraper reads the counters of daemons. A daemon that no longer answers keeps its last ones.
type Scraper struct {
	client *http.Client

	mu   sync.Mutex
	last map[string]Counters
}

// NewScraper returns a Scraper that asks over client.
func NewScraper(client *http.Client) *Scraper {
	return &Scraper{client: client, last: map[string]Counters{}}
}

// Scrape asks the daemons at addresses and returns the sum over these and all that were asked before.
func (s *Scraper) Scrape(ctx context.Context, addresses []string) Counters {
	var tasks sync.WaitGroup
	for _, address := range addresses {
		tasks.Go(func() {
			c, err := s.fetch(ctx, address)
			if err != nil {
				return
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.last[address] = c
		})
	}
	tasks.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum Counters
	for _, c := range s.last {
		sum = sum.plus(c)
	}
	return sum
}

func (s *Scraper) fetch(ctx context.Context, address string) (Counters, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics.json", nil)
	if err != nil {
		return Counters{}, errors.Wrap(err, "metrics")
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return Counters{}, errors.Wrap(err, "metrics")
	}
	defer func() { _ = resp.Body.Close() }()
	var page map[string]struct {
		Count int64 `json:"count"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&page); err != nil {
		return Counters{}, errors.Wrap(err, "metrics")
	}
	var c Counters
	for name, metric := range page {
		c.add(name, metric.Count)
	}
	return c, nil
}

// add adds the counter called name, which may have a reason after a dot.
func (c *Counters) add(name string, n int64) {
	switch base, _, _ := strings.Cut(name, "."); base {
	case "attempt":
		c.First += n
	case "retry":
		c.Retries += n
	case "hedge":
		c.Hedges += n
	case "canary":
		c.Canaries += n
	case "redirect":
		c.Redirects += n
	}
}
