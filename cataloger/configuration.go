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
	// MaxConnections is the number of connections that one upstream accepts from all callers.
	MaxConnections int
	// ColdDuration is the time for which an upstream is cold after its start.
	ColdDuration tiller.Millis
	// WarmupPerSecond is the number of requests per second that a cold upstream bears.
	WarmupPerSecond float64
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout tiller.Millis
	IdleTimeout   tiller.Millis
}

// Configuration is one version of the routes and services. It does not change after New.
type Configuration struct {
	Version  int64
	Limits   Limits
	services map[string]Service
	hosts    map[string][]Route
	// shards holds, for each service that is a shard, the number of shards of its route.
	shards map[string]int
}

// New returns the configuration of a version with the given routes and services.
func New(version int64, limits Limits, routes []Route, services []Service) *Configuration {
	c := &Configuration{
		Version:  version,
		Limits:   limits,
		services: make(map[string]Service, len(services)),
		hosts:    make(map[string][]Route),
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
		}
	}
	for _, routes := range c.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return c
}

// Match returns the route of a host with the longest prefix that begins the path.
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

// Service returns the service with the given name; a service that is not listed has no limits.
func (c *Configuration) Service(name string) Service {
	if s, ok := c.services[name]; ok {
		return s
	}
	return Service{Name: name}
}

// ShardCount returns the number of shards of the route that a service is a shard of; 0 when it is none.
func (c *Configuration) ShardCount(service string) int { return c.shards[service] }

// Routes returns the number of routes.
func (c *Configuration) Routes() int {
	n := 0
	for _, routes := range c.hosts {
		n += len(routes)
	}
	return n
}
