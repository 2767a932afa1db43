package planner

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/sampler"
)

const (
	// PoisonTerm is what an upstream finds in the body of a poison request.
	PoisonTerm = "poison-pill"
	// poisonGap is the time between poison requests.
	poisonGap = 200 * time.Millisecond
	// smallUpstreams is the greatest number of upstreams of a small service.
	smallUpstreams = 2
	// maxDraw bounds the random numbers that decide on daemons.
	maxDraw = 1 << 30
)

// Config says what a load consists of.
type Config struct {
	Seed uint64
	// Rate is the mean number of queries per second.
	Rate float64
	// Mix are the weights of the kinds, Callers those of the callers.
	Mix, Callers Weights
	// Bodies is the number of different bodies per service.
	Bodies int
	// ResendPercent is the share of single-use requests that are sent twice.
	ResendPercent int
	// Document and Records are those that the daemons serve.
	Document *tiller.Document
	Records  []sampler.Record
	// PoisonFrom and PoisonTo bound the time with poison requests; there are none when they are equal.
	PoisonFrom, PoisonTo time.Duration
}

// Planner plans the queries of a load one after another.
type Planner struct {
	cfg      Config
	random   *rand.Rand
	services map[Kind][]string
	bodies   [][]byte
	// next is the next query that is no poison request.
	next     Request
	planned  int
	poisoned int
}

// New returns a Planner. It fails when the mix has an unknown kind or one that the document has no service for.
func New(cfg Config) (*Planner, error) {
	random := rand.New(rand.NewPCG(cfg.Seed, 0))
	p := &Planner{cfg: cfg, random: random, services: servicesByKind(cfg.Document)}
	for _, name := range cfg.Mix.names {
		switch {
		case Kind(name) != Search && Kind(name) != Wide && Kind(name) != Print:
			return nil, errors.Errorf("unknown kind of query %q; there are %s, %s and %s", name, Search, Wide, Print)
		case len(p.services[Kind(name)]) == 0:
			return nil, errors.Errorf("the deployment has no service for queries of the kind %q", name)
		}
	}
	p.bodies = makeBodies(random, vocabulary(cfg.Records), cfg.Bodies)
	p.next = p.plan(0)
	return p, nil
}

// servicesByKind returns the services that can be asked for each kind.
func servicesByKind(doc *tiller.Document) map[Kind][]string {
	services := map[Kind][]string{}
	for _, s := range doc.Services {
		kind := Wide
		if countUpstreams(s) <= smallUpstreams {
			kind = Search
		}
		services[kind] = append(services[kind], s.Name)
		if _, ok := s.Route(string(Print)); ok {
			services[Print] = append(services[Print], s.Name)
		}
	}
	return services
}

// countUpstreams returns the number of upstreams that hold a shard of the current snapshot.
func countUpstreams(s tiller.Service) int {
	names := map[string]bool{}
	snapshot, _ := s.Snapshot(s.Current)
	for _, shard := range snapshot.Shards {
		for _, name := range shard.Upstreams {
			names[name] = true
		}
	}
	return len(names)
}

// Next returns the next query. Its start is not before that of the one before.
func (p *Planner) Next() Request {
	poisonAt := p.cfg.PoisonFrom + time.Duration(p.poisoned)*poisonGap
	if poisonAt < p.cfg.PoisonTo && poisonAt <= p.next.At {
		return p.poison(poisonAt)
	}
	r := p.next
	p.next = p.plan(r.At)
	return r
}

// plan returns the query after one that starts at a time. The gaps of a Poisson process are exponential.
func (p *Planner) plan(after time.Duration) Request {
	gap := time.Duration(p.random.ExpFloat64() / p.cfg.Rate * float64(time.Second))
	kind := Kind(p.cfg.Mix.pick(p.random))
	services := p.services[kind]
	r := Request{
		At:      after + gap,
		ID:      fmt.Sprintf("load-%d-%06d", p.cfg.Seed, p.planned),
		Kind:    kind,
		Caller:  p.cfg.Callers.pick(p.random),
		Service: services[p.random.IntN(len(services))],
		Route:   "search",
		Body:    p.bodies[p.random.IntN(len(p.bodies))],
		Daemon:  p.random.IntN(maxDraw),
		Issuer:  p.random.IntN(maxDraw),
	}
	if kind == Print {
		r.Route = "print"
		r.Resend = p.random.IntN(100) < p.cfg.ResendPercent
	}
	p.planned++
	return r
}

// poison returns the poison request that starts at a time. All of them are copies of one request.
func (p *Planner) poison(at time.Duration) Request {
	r := Request{
		At:      at,
		ID:      fmt.Sprintf("poison-%d-%d", p.cfg.Seed, p.poisoned),
		Kind:    Poison,
		Caller:  "poisoner",
		Service: p.services[Wide][0],
		Route:   "search",
		Body:    encodeBody(sampler.Request{Terms: []string{PoisonTerm}}),
		Daemon:  p.poisoned,
	}
	p.poisoned++
	return r
}
