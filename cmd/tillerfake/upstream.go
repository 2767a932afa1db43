package main

import (
	"fmt"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/faker"
)

// capacityOptions are the limits of a single upstream. The sub-command all takes them from the document.
type capacityOptions struct {
	Slots         int   `long:"slots" value-name:"N" default:"2" description:"Number of requests run at once"`
	Connections   int   `long:"connections" value-name:"N" default:"25" description:"Number of connections open at once; 0 means no limit"`
	ConnectMillis int64 `long:"connect" value-name:"MILLIS" default:"6" description:"Milliseconds before the first byte of a new connection is served"`
	ColdSlots     int   `long:"cold-slots" value-name:"N" default:"1" description:"Number of requests borne at once in cold start; 0 means no cold start"`
}

// behaviourOptions are the settings of an upstream that a document does not contain.
type behaviourOptions struct {
	QueueLimit    int    `long:"queue" value-name:"N" default:"4" description:"Number of requests that wait for a slot before others are shed"`
	ColdRequests  int    `long:"cold-requests" value-name:"N" default:"50" description:"Completed requests that end the cold start; 0 means that they do not end it"`
	ColdMillis    int64  `long:"cold" value-name:"MILLIS" default:"5000" description:"Milliseconds that end the cold start; 0 means that time does not end it"`
	RestartMillis int64  `long:"restart" value-name:"MILLIS" default:"1000" description:"Milliseconds after a crash during which connections are refused"`
	ServiceMillis int64  `long:"service-time" value-name:"MILLIS" default:"10" description:"Milliseconds that a request takes when it is no straggler"`
	Seed          uint64 `long:"seed" value-name:"N" default:"1" description:"Seed of the random numbers"`
}

// settings returns the settings of an upstream with only the name and these options set.
func (o behaviourOptions) settings(name string) faker.UpstreamSettings {
	return faker.UpstreamSettings{
		Name:          name,
		QueueLimit:    o.QueueLimit,
		ColdRequests:  o.ColdRequests,
		ColdMillis:    tiller.Millis(o.ColdMillis),
		RestartMillis: tiller.Millis(o.RestartMillis),
		ServiceMillis: tiller.Millis(o.ServiceMillis),
		Seed:          o.Seed,
	}
}

// contentOptions name what a single upstream serves.
type contentOptions struct {
	Name     string   `long:"name" value-name:"NAME" default:"upstream" description:"Name of the upstream"`
	Service  string   `long:"service" value-name:"NAME" default:"bulletin" description:"Service that is served"`
	Snapshot string   `long:"snapshot" value-name:"NAME" default:"n1" description:"Snapshot that is served"`
	Shards   []string `long:"shard" value-name:"NAME" default:"s1" description:"Shard that is served; may be repeated"`
	Items    int      `long:"items" value-name:"N" default:"10" description:"Number of items made up for each shard"`
}

// upstreamCommand is the sub-command upstream.
type upstreamCommand struct {
	program   *program
	Address   listenOptions    `group:"Address options"`
	Control   controlOptions   `group:"Control options"`
	Holding   contentOptions   `group:"Content options"`
	Capacity  capacityOptions  `group:"Capacity options"`
	Behaviour behaviourOptions `group:"Behaviour options"`
}

// Execute runs the upstream until the program is interrupted.
func (c *upstreamCommand) Execute([]string) error {
	u, err := faker.NewUpstream(c.settings(), tiller.SystemClock())
	if err != nil {
		return errors.Wrapf(err, "create upstream %q", c.Holding.Name)
	}
	defer u.Close()
	address, err := u.Start(c.Address.Listen)
	if err != nil {
		return errors.Wrapf(err, "start upstream %q at %q", c.Holding.Name, c.Address.Listen)
	}
	a := addresses{Upstreams: map[string]string{c.Holding.Name: address}}
	return c.program.serve(a, c.Control.Control, u.Control())
}

func (c *upstreamCommand) settings() faker.UpstreamSettings {
	s := c.Behaviour.settings(c.Holding.Name)
	s.Slots = c.Capacity.Slots
	s.Connections = c.Capacity.Connections
	s.ConnectMillis = tiller.Millis(c.Capacity.ConnectMillis)
	s.ColdSlots = c.Capacity.ColdSlots
	s.Holdings = []faker.Holding{{Service: c.Holding.Service, Snapshot: c.Holding.Snapshot, Shards: c.Holding.Shards}}
	s.Search = generateItems(c.Holding.Items)
	return s
}

// generateItems returns a search function that returns n generated items for every shard, or limit if that is
// less, whatever the query.
func generateItems(n int) faker.SearchFunc {
	return func(_, snapshot, shard, _ string, _ []byte, limit int) ([]tiller.Item, error) {
		items := make([]tiller.Item, 0, n)
		for i := range min(n, limit) {
			items = append(items, tiller.Item{
				Key:   fmt.Sprintf("%s-%05d", shard, i),
				Score: 1 / float64(i+1),
				Body:  fmt.Appendf(nil, `{"Snapshot":%q,"Number":%d}`, snapshot, i),
			})
		}
		return items, nil
	}
}
