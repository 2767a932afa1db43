package cataloger

import (
	"sort"
	"strings"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Service is a group of upstreams that answer the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the maximum number of connections that one upstream accepts from all callers
	// together.
	MaxConnections int
	// ColdDuration is how long an upstream counts as cold after its start.
	ColdDuration tiller.Millis
	// WarmupPerSecond is the number of requests per second that a cold upstream can serve.
	WarmupPerSecond float64
}

// Limits restrict what a client may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout tiller.Millis
	IdleTimeout   tiller.Millis
}

// Configuration is one version of the routes and services. It is immutable.
type Configuration struct {
	Version  int64
	Limits   Limits
	services map[string]Service
	hosts    map[string][]Route
	// used holds the services that a route names.
	used map[string]bool
	// shards maps each service that is a shard to the number of shards of its route.
	shards map[string]int
}

// New returns a configuration with the given version, limits, routes and services.
func New(version int64, limits Limits, routes []Route, services []Service) *Configuration {
	c := &Configuration{
		Version:  version,
		Limits:   limits,
		services: make(map[string]Service, len(services)),
		hosts:    make(map[string][]Route),
		used:     make(map[string]bool),
		shards:   make(map[string]int),
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
		for _, shard := range r.Shards {
			c.shards[shard] = len(r.Shards)
			c.used[shard] = true
		}
		for _, w := range r.Services {
			c.used[w.Service] = true
		}
	}
	for _, routes := range c.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return c
}

// Match returns the route of the host with the longest prefix that begins the path. The case of the
// host and its port are ignored.
func (c *Configuration) Match(host, path string) (Route, bool) {
	host = strings.ToLower(host)
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns the service with the given name. For an unknown name it returns a service without
// limits.
func (c *Configuration) Service(name string) Service {
	if s, ok := c.services[name]; ok {
		return s
	}
	return Service{Name: name}
}

// Uses reports whether any route names the service.
func (c *Configuration) Uses(service string) bool { return c.used[service] }

// ShardCount returns the number of shards of the route that the service is a shard of, or 0 if it is
// not a shard.
func (c *Configuration) ShardCount(service string) int { return c.shards[service] }

// Sharded returns the routes whose requests are sent to shards, in no order.
func (c *Configuration) Sharded() []Route {
	var sharded []Route
	for _, routes := range c.hosts {
		for _, r := range routes {
			if r.IsSharded() {
				sharded = append(sharded, r)
			}
		}
	}
	return sharded
}

// Routes returns the number of routes.
func (c *Configuration) Routes() int {
	n := 0
	for _, routes := range c.hosts {
		n += len(routes)
	}
	return n
}
