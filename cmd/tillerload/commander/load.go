package commander

import (
	"context"
	"io"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaytiller/carawaytiller/cmd/tillerload/conductor"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/injector"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/planner"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/reporter"
	"github.com/carawaytiller/carawaytiller/sampler"
)

// deployments maps the names on the command line to those of the sampler.
var deployments = map[string]string{"guild": sampler.Guild, "lochan": sampler.Lochan}

// defaultMixes are the mixes of the deployments.
var defaultMixes = map[string]string{"guild": "search=80,wide=19,print=1", "lochan": "search=80,wide=20"}

// Bounds of the options.
const (
	maxRate   = 100_000
	maxBodies = 100_000
	maxLength = 24 * time.Hour
)

// loadOptions say what the load is.
type loadOptions struct {
	Address    []string      `long:"address" value-name:"IP:PORT" description:"Callers' address of a daemon that serves the sample document of --deployment; may be given several times (default: an embedded fleet)"`
	Embedded   string        `long:"embedded" choice:"guild" choice:"lochan" description:"Deployment of a fleet of 8 daemons in this process (default: guild)"`
	Deployment string        `long:"deployment" choice:"guild" choice:"lochan" description:"Deployment that the daemons of --address serve (default: guild)"`
	Rate       float64       `long:"rate" value-name:"N" default:"200" description:"Mean rate in queries/s, above 0 up to 100000"`
	Duration   time.Duration `long:"duration" value-name:"TIME" default:"10s" description:"Length of the measured load, with a unit such as ms, s or m"`
	WarmUp     time.Duration `long:"warm-up" value-name:"TIME" default:"2s" description:"Load before the measured one, which is checked but not measured"`
	Seed       uint64        `long:"seed" value-name:"N" default:"1" description:"Seed of the arrivals and queries"`
	Mix        string        `long:"mix" value-name:"KIND=WEIGHT,..." description:"Kinds of queries with weights: search (services on 2 upstreams), wide (services on more), print (single-use, guild only) (default: search=80,wide=19,print=1 for guild, search=80,wide=20 for lochan)"`
	Callers    string        `long:"callers" value-name:"NAME=WEIGHT,..." default:"desk=8,kitchen=3,office=1" description:"Callers with weights"`
	Bodies     int           `long:"bodies" value-name:"N" default:"16" description:"Number of different bodies per service, from 1 to 100000; a body that is new to a daemon is sent to one upstream first"`
	Resend     int           `long:"resend" value-name:"PERCENT" default:"25" description:"Share of single-use queries that are sent twice, in percent"`
	Deadline   time.Duration `long:"deadline" value-name:"TIME" default:"1s" description:"Time that each query has, from 1ms to 1m"`
	Fault      string        `long:"fault" value-name:"NAME" default:"none" description:"Fault of the embedded fleet: none, straggler, silent, shed, cold, domain-out, upstream-crash, poison, mismatch, store-outage, store-slow, daemon-stop or daemon-kill"`
	FaultAt    time.Duration `long:"fault-at" value-name:"TIME" default:"3s" description:"Begin of the fault after the warm-up"`
	FaultFor   time.Duration `long:"fault-for" value-name:"TIME" default:"4s" description:"Length of the fault; more than 3s for domain-out"`
	Domain     string        `long:"fault-domain" value-name:"NAME" description:"Failure domain of the upstreams with the fault (default: the first one); straggler and poison are for all"`
	Seat       int           `long:"fault-seat" value-name:"N" default:"0" description:"Seat of the daemon that is stopped or killed"`
}

// load runs a load and reports it.
func (c *Commander) load(ctx context.Context, o loadOptions, asJSON bool) error {
	cfg, err := o.config()
	if err != nil {
		return &inputError{err}
	}
	cfg.Progress = c.err
	if cfg.Logger, err = c.logger(); err != nil {
		return err
	}
	run, err := conductor.New(cfg)
	if err != nil {
		return &inputError{err}
	}
	summary, err := run.Run(ctx)
	if err != nil {
		return err
	}
	err = c.write(asJSON, summary, func(w io.Writer) error { return reporter.WriteText(w, summary) })
	if err == nil && summary.Violations.Total > 0 {
		err = errViolated
	}
	return err
}

// config checks the options. The error names the one that is wrong.
func (o loadOptions) config() (conductor.Config, error) {
	if err := o.check(); err != nil {
		return conductor.Config{}, err
	}
	name := o.deployment()
	if o.Mix == "" {
		o.Mix = defaultMixes[name]
	}
	mix, err := planner.ParseWeights(o.Mix)
	if err != nil {
		return conductor.Config{}, errors.Wrap(err, "--mix")
	}
	callers, err := planner.ParseWeights(o.Callers)
	if err != nil {
		return conductor.Config{}, errors.Wrap(err, "--callers")
	}
	if o.Domain == "" {
		o.Domain = sampler.Document(deployments[name], func(string) string { return "" }).Domains[0].Name
	}
	return conductor.Config{
		Deployment: deployments[name], Addresses: o.Address,
		Rate: o.Rate, WarmUp: o.WarmUp, Duration: o.Duration, Seed: o.Seed,
		Mix: mix, Callers: callers, Bodies: o.Bodies, ResendPercent: o.Resend, Deadline: o.Deadline,
		Fault: injector.Fault{Name: injector.Name(o.Fault), At: o.FaultAt, For: o.FaultFor, Domain: o.Domain, Seat: o.Seat},
	}, nil
}

// deployment returns the name of the deployment that the daemons serve.
func (o loadOptions) deployment() string {
	switch {
	case len(o.Address) > 0 && o.Deployment != "":
		return o.Deployment
	case len(o.Address) == 0 && o.Embedded != "":
		return o.Embedded
	}
	return "guild"
}

// check checks the options one by one.
func (o loadOptions) check() error {
	for _, a := range o.Address {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return errors.Wrap(err, "--address")
		}
	}
	switch {
	case len(o.Address) > 0 && o.Embedded != "":
		return errors.New("--embedded: not together with --address")
	case len(o.Address) == 0 && o.Deployment != "":
		return errors.New("--deployment: only together with --address")
	case !(o.Rate > 0 && o.Rate <= maxRate):
		return errors.Errorf("--rate %v: not above 0 and up to %d", o.Rate, maxRate)
	case o.Duration <= 0 || o.Duration > maxLength:
		return errors.Errorf("--duration %s: not above 0 and up to %s", o.Duration, maxLength)
	case o.WarmUp < 0 || o.WarmUp > maxLength:
		return errors.Errorf("--warm-up %s: not from 0 to %s", o.WarmUp, maxLength)
	case o.Bodies < 1 || o.Bodies > maxBodies:
		return errors.Errorf("--bodies %d: not from 1 to %d", o.Bodies, maxBodies)
	case o.Resend < 0 || o.Resend > 100:
		return errors.Errorf("--resend %d: not from 0 to 100", o.Resend)
	case o.Deadline < time.Millisecond || o.Deadline > time.Minute:
		return errors.Errorf("--deadline %s: not from 1ms to 1m", o.Deadline)
	}
	return nil
}
