package conductor

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/embedder"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/injector"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/inspector"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/planner"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/reporter"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/sender"
	"github.com/carawaytiller/carawaytiller/sampler"
)

// Conductor runs one load.
type Conductor struct {
	cfg       Config
	doc       *tiller.Document
	planner   *planner.Planner
	reference *inspector.Reference
	inspector *inspector.Inspector
	log       *inspector.Log
	ledger    *inspector.Ledger
	progress  *reporter.Progress
	stages    *stages

	// fleet is nil when the daemons run elsewhere.
	fleet    *embedder.Fleet
	injector *injector.Injector
	rotation *sender.Rotation
	client   *sender.Client
}

// New returns a Conductor. The error names what is impossible in cfg; nothing has been started then.
func New(cfg Config) (*Conductor, error) {
	doc := sampler.Document(cfg.Deployment, func(string) string { return "" })
	if doc == nil {
		return nil, errors.Errorf("unknown deployment %q", cfg.Deployment)
	}
	if cfg.Fault.Name != injector.None && !cfg.isEmbedded() {
		return nil, errors.Errorf("--fault %s: only the embedded fleet can have a fault", cfg.Fault.Name)
	}
	if err := cfg.Fault.Check(doc, cfg.Duration); err != nil {
		return nil, err
	}
	records := sampler.Records(cfg.Deployment)
	plan := planner.Config{
		Seed: cfg.Seed, Rate: cfg.Rate, Mix: cfg.Mix, Callers: cfg.Callers, Bodies: cfg.Bodies,
		ResendPercent: cfg.ResendPercent, Document: doc, Records: records,
	}
	if cfg.Fault.Name == injector.Poison {
		plan.PoisonFrom, plan.PoisonTo = cfg.faultTime()
	}
	p, err := planner.New(plan)
	if err != nil {
		return nil, errors.Wrap(err, "--mix")
	}
	c := &Conductor{cfg: cfg, doc: doc, planner: p, reference: inspector.NewReference(records), ledger: &inspector.Ledger{}}
	c.log = &inspector.Log{Print: func(v inspector.Violation) {
		_, _ = fmt.Fprintf(cfg.Progress, "violation %s %s: %s\n", v.Invariant, v.Subject, v.Detail)
	}}
	c.inspector = inspector.New(doc, c.reference, c.log)
	c.progress = reporter.NewProgress(cfg.Progress)
	c.stages = newStages(cfg, reporter.Minimum(doc))
	return c, nil
}

// Run runs the load and returns its summary. When ctx ends early, the summary covers what was sent until then.
func (c *Conductor) Run(ctx context.Context) (reporter.Summary, error) {
	if err := c.begin(ctx); err != nil {
		return reporter.Summary{}, err
	}
	defer c.end()
	scraper := reporter.NewScraper(c.client.HTTP())
	c.stages.scrape = func() reporter.Counters {
		return scraper.Scrape(context.WithoutCancel(ctx), c.rotation.Addresses())
	}
	err := c.load(ctx)
	c.stages.finish()
	notChecked := c.compare()
	return c.summary(notChecked), err
}

// begin starts the fleet and waits until it answers.
func (c *Conductor) begin(ctx context.Context) error {
	c.rotation = sender.NewRotation(c.cfg.Addresses...)
	if c.cfg.isEmbedded() {
		fleet, err := embedder.Start(embedder.Config{Logger: c.cfg.Logger, Document: c.doc, Search: c.reference.Run})
		if err != nil {
			return err
		}
		c.fleet, c.rotation = fleet, fleet.Rotation
	}
	c.client = sender.NewClient(c.rotation, c.cfg.Deadline)
	if c.fleet == nil {
		return nil
	}
	if err := c.fleet.Await(ctx, c.client); err != nil {
		c.end()
		return err
	}
	c.injector = injector.New(c.cfg.Fault, c.fleet, c.log)
	return nil
}

func (c *Conductor) end() {
	c.client.Close()
	if c.fleet != nil {
		c.fleet.Close()
	}
}

// load sends the queries and brings the fault about. It returns when every query has its outcome.
func (c *Conductor) load(ctx context.Context) error {
	start := time.Now()
	// An error of the fault ends the load; the fault is taken back when the load ends.
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var tasks sync.WaitGroup
	tasks.Go(func() { c.reportProgress(ctx, start) })
	tasks.Go(func() {
		if err := c.runStages(ctx, start); err != nil {
			cancel(err)
		}
	})
	s := sender.Sender{Next: c.planner.Next, Ask: c.ask}
	s.Run(ctx, start, c.cfg.length())
	err := context.Cause(ctx)
	c.stages.length = c.cfg.length()
	if err != nil {
		c.stages.length = min(time.Since(start), c.cfg.length())
	}
	cancel(nil)
	tasks.Wait()
	if err != nil && !errors.Is(err, context.Canceled) {
		return errors.Wrapf(err, "fault %s", c.cfg.Fault.Name)
	}
	return nil
}

// ask sends a query and handles its outcomes.
func (c *Conductor) ask(ctx context.Context, r planner.Request, intended time.Time) {
	c.ledger.Sent(r)
	c.client.Ask(ctx, r, intended, func(o sender.Outcome) {
		if !o.IsResend && r.Kind != planner.Poison {
			c.progress.Add(o)
			c.stages.add(o)
		}
		c.check(o)
	})
}

// check checks one outcome.
func (c *Conductor) check(o sender.Outcome) {
	reason := ""
	switch {
	case o.Answer != nil:
		c.inspector.Answer(o.Request, o.Answer)
	case o.Refusal != nil:
		reason = o.Refusal.Reason
		c.inspector.Refusal(o.Request, o.Refusal)
		c.ledger.Refused(o.Request, o.Refusal)
	}
	if c.cfg.Fault.Name == injector.DaemonStop {
		inspector.Stopped(o.Request.ID, o.Lost, reason, c.log)
	}
}

func (c *Conductor) reportProgress(ctx context.Context, start time.Time) {
	ticker := time.NewTicker(progressGap)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			since := time.Since(start)
			c.progress.WriteLine(since, c.stages.nameAt(since), c.log.Total())
		case <-ctx.Done():
			return
		}
	}
}
