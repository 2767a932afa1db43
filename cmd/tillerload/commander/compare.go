package commander

import (
	"context"
	"io"
	"time"

	"github.com/carawaytiller/carawaytiller/cmd/tillerload/comparer"
)

const compareDescription = `Runs an embedded fleet of 8 daemons twice for each fan-out and reports the time from caller to answer as a ratio to a direct upstream call and to direct calls to all upstreams, with the allocations per query. The figures are wall-clock times; compare only their ratios within one run.`

// compareOptions say what is compared.
type compareOptions struct {
	FanOut  []int         `long:"fan-out" value-name:"N" default:"1" default:"16" default:"128" description:"Number of shards, each on an upstream of its own, from 1 to 512; may be given several times"`
	Queries int           `long:"queries" value-name:"N" default:"200" description:"Number of measured queries per fan-out and round"`
	Service time.Duration `long:"service" value-name:"TIME" default:"2ms" description:"Time that each upstream takes"`
}

// compare runs a comparison and reports it.
func (c *Commander) compare(ctx context.Context, o compareOptions, asJSON bool) error {
	cfg := comparer.Config{FanOuts: o.FanOut, Queries: o.Queries, Service: o.Service}
	if err := cfg.Check(); err != nil {
		return &inputError{err}
	}
	var err error
	if cfg.Logger, err = c.logger(); err != nil {
		return err
	}
	rows, err := comparer.Compare(ctx, cfg)
	if err != nil {
		return err
	}
	return c.write(asJSON, rows, func(w io.Writer) error { return comparer.WriteText(w, rows) })
}
