package conductor

import (
	"context"
	"time"

	"github.com/carawaytiller/carawaytiller/cmd/tillerload/planner"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/reporter"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/sender"
)

// stages divides the load into the warm-up and the times before, during and after the fault.
type stages struct {
	total *reporter.Figures
	list  []stage
	// scrape reads the counters of the daemons.
	scrape func() reporter.Counters
	// marks are the counters at the begin of each stage that was reached, and at the end of the last one.
	marks []reporter.Counters
	// length is the time for which queries were sent.
	length time.Duration
}

// stage is a stretch of time from its begin to that of the next one.
type stage struct {
	name    string
	begin   time.Duration
	figures *reporter.Figures
}

// The names of the stages.
const (
	stageWarmUp = "warm-up"
	stageLoad   = "load"
	stageBefore = "before"
	stageDuring = "during"
	stageAfter  = "after"
	stageTotal  = "total"
)

func newStages(cfg Config, minimum func(planner.Request) int) *stages {
	newFigures := func() *reporter.Figures { return reporter.NewFigures(cfg.Deadline, minimum) }
	s := &stages{total: newFigures()}
	add := func(name string, begin time.Duration) {
		s.list = append(s.list, stage{name: name, begin: begin, figures: newFigures()})
	}
	add(stageWarmUp, 0)
	from, to := cfg.faultTime()
	if to == 0 {
		add(stageLoad, cfg.WarmUp)
		return s
	}
	add(stageBefore, cfg.WarmUp)
	add(stageDuring, from)
	if to < cfg.length() {
		add(stageAfter, to)
	}
	return s
}

// indexAt returns the stage at a time since the begin of the load.
func (s *stages) indexAt(at time.Duration) int {
	i := 0
	for i+1 < len(s.list) && s.list[i+1].begin <= at {
		i++
	}
	return i
}

func (s *stages) nameAt(at time.Duration) string { return s.list[s.indexAt(at)].name }

// add adds an outcome to the stage in which the query was to start.
func (s *stages) add(o sender.Outcome) {
	i := s.indexAt(o.Request.At)
	s.list[i].figures.Add(o)
	if i > 0 {
		s.total.Add(o)
	}
}

// mark reads the counters at the begin of a stage.
func (s *stages) mark() { s.marks = append(s.marks, s.scrape()) }

// finish reads the counters at the end of the load. Stages that were not reached are dropped.
func (s *stages) finish() {
	s.list = s.list[:min(len(s.marks), len(s.list))]
	s.mark()
}

// parts returns the figures of the measured time and of each stage in it.
func (s *stages) parts() (total reporter.Part, parts []reporter.Part) {
	if len(s.list) < 2 {
		return s.total.Part(stageTotal, 0, reporter.Counters{}), nil
	}
	last := len(s.list)
	for i := 1; i < last; i++ {
		end := s.length
		if i+1 < last {
			end = s.list[i+1].begin
		}
		counters := s.marks[i+1].Minus(s.marks[i])
		parts = append(parts, s.list[i].figures.Part(s.list[i].name, end-s.list[i].begin, counters))
	}
	total = s.total.Part(stageTotal, s.length-s.list[1].begin, s.marks[last].Minus(s.marks[1]))
	return total, parts
}

// runStages goes through the stages at their times and brings the fault about in its stage.
func (c *Conductor) runStages(ctx context.Context, start time.Time) error {
	for i := 0; i < len(c.stages.list); i++ {
		if !waitUntil(ctx, start.Add(c.stages.list[i].begin)) {
			return nil
		}
		c.stages.mark()
		if c.stages.list[i].name != stageDuring {
			continue
		}
		if err := c.injector.Run(ctx); err != nil {
			return err
		}
	}
	return nil
}

// waitUntil reports whether the time came before the end of ctx.
func waitUntil(ctx context.Context, t time.Time) bool {
	select {
	case <-time.After(time.Until(t)):
		return true
	case <-ctx.Done():
		return false
	}
}
