package commander

import (
	"github.com/go-faster/errors"

	"github.com/carawaytiller/carawaytiller/estimator"
)

const capacityDescription = `Measures what the parts of a daemon cost on this machine, and works out what that comes to at a size. Processor times vary between runs and machines; bytes, messages and calls do not.`

// capacityOptions are the size for which costs are worked out.
type capacityOptions struct {
	Daemons   int     `long:"daemons" value-name:"N" default:"7400" description:"Number of daemons"`
	Upstreams int     `long:"upstreams" value-name:"N" default:"32000" description:"Number of upstreams"`
	Services  int     `long:"services" value-name:"N" default:"86" description:"Number of services"`
	Units     int     `long:"units" value-name:"N" default:"7400" description:"Number of units of all services together"`
	Queries   float64 `long:"queries" value-name:"RATE" default:"1800000" description:"Queries a second, all daemons together"`
	FanOut    int     `long:"fan-out" value-name:"N" default:"370" description:"Upstreams asked for each query"`
	Changes   float64 `long:"changes" value-name:"N" default:"5800" description:"Changes of the document a day"`
	Restarts  float64 `long:"restarts" value-name:"N" default:"2850" description:"Daemons restarted, replaced or lost a day"`
}

// size returns the size that the options name.
func (o capacityOptions) size() estimator.Size {
	return estimator.Size{
		Daemons:          o.Daemons,
		Upstreams:        o.Upstreams,
		Services:         o.Services,
		Units:            o.Units,
		QueriesPerSecond: o.Queries,
		FanOut:           o.FanOut,
		ChangesPerDay:    o.Changes,
		RestartsPerDay:   o.Restarts,
	}
}

// check names the first value that is impossible.
func (o capacityOptions) check() error {
	switch {
	case o.Daemons < 1:
		return errors.Errorf("--daemons %d is less than 1", o.Daemons)
	case o.Services < 1:
		return errors.Errorf("--services %d is less than 1", o.Services)
	case o.Upstreams < 2*o.Services:
		return errors.Errorf("--upstreams %d is less than two for each service", o.Upstreams)
	case o.Units < 1:
		return errors.Errorf("--units %d is less than 1", o.Units)
	case o.FanOut < 1:
		return errors.Errorf("--fan-out %d is less than 1", o.FanOut)
	case o.Queries < 0 || o.Changes < 0 || o.Restarts < 0:
		return errors.New("--queries, --changes and --restarts must not be negative")
	}
	return nil
}

// capacity measures and reports.
func (c *Commander) capacity(o capacityOptions, asJSON bool) error {
	if err := o.check(); err != nil {
		return &inputError{err}
	}
	report := estimator.Estimate(o.size())
	return c.write(asJSON, report, report.Write)
}
