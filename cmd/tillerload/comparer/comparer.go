package comparer

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/embedder"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/planner"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/sender"
)

const (
	// rounds is the number of fleets for each fan-out. The difference between them shows how much the figures vary.
	rounds = 2
	// deadlineMillis is the time for each query and each direct call.
	deadlineMillis = 2 * tiller.Second
	// maxFanOut keeps the number of listeners and connections small.
	maxFanOut = 512
)

// Config says what is compared.
type Config struct {
	// FanOuts are the numbers of shards, each on an upstream of its own.
	FanOuts []int
	// Queries is the number of measured queries per fleet; a tenth more come before them to warm the fleet up.
	Queries int
	// Service is the time that each upstream takes.
	Service time.Duration
	Logger  logr.Logger
}

// Check returns an error that names what is impossible in c.
func (c Config) Check() error {
	switch {
	case c.Queries < 1:
		return errors.Errorf("--queries %d: less than 1", c.Queries)
	case c.Service < time.Millisecond:
		return errors.Errorf("--service %s: less than 1ms", c.Service)
	}
	for _, n := range c.FanOuts {
		if n < 1 || n > maxFanOut {
			return errors.Errorf("--fan-out %d: not from 1 to %d", n, maxFanOut)
		}
	}
	return nil
}

// Compare measures each fan-out in each round.
func Compare(ctx context.Context, cfg Config) ([]Row, error) {
	var rows []Row
	for round := range rounds {
		for _, n := range cfg.FanOuts {
			row, err := measure(ctx, cfg, n)
			if err != nil {
				return nil, errors.Wrapf(err, "fan-out %d", n)
			}
			row.Round = round + 1
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// measure starts a fleet and measures one fan-out.
func measure(ctx context.Context, cfg Config, fanOut int) (Row, error) {
	fleet, err := embedder.Start(embedder.Config{
		Logger: cfg.Logger, Document: document(fanOut), Search: search, Service: cfg.Service,
	})
	if err != nil {
		return Row{}, err
	}
	defer fleet.Close()
	client := sender.NewClient(fleet.Rotation, deadlineMillis.Duration())
	defer client.Close()
	if err := fleet.Await(ctx, client); err != nil {
		return Row{}, err
	}
	direct, err := newDirect(fleet.Document())
	if err != nil {
		return Row{}, err
	}
	defer direct.close()
	m := meters{}
	for i := range cfg.Queries + cfg.Queries/10 {
		if i == cfg.Queries/10 {
			m = meters{}
		}
		if err := m.add(ctx, client, direct, i); err != nil {
			return Row{}, err
		}
	}
	return m.row(fanOut), nil
}

// meters measure the three ways to ask.
type meters struct {
	call, fanOut, query meter
}

// add asks once in each way, so that all of them meet the same state of the machine.
func (m *meters) add(ctx context.Context, client *sender.Client, direct *direct, i int) error {
	if err := m.call.run(func() error { return direct.call(ctx, i%len(direct.targets)) }); err != nil {
		return errors.Wrap(err, "direct call")
	}
	if err := m.fanOut.run(func() error { return direct.callAll(ctx) }); err != nil {
		return errors.Wrap(err, "direct calls")
	}
	return m.query.run(func() error { return ask(ctx, client, i, len(direct.targets)) })
}

// ask sends query i through a daemon and checks that the answer is whole.
func ask(ctx context.Context, client *sender.Client, i, fanOut int) error {
	r := planner.Request{
		ID: fmt.Sprintf("compare-%d", i), Kind: planner.Wide, Caller: "compare", Service: service, Route: route,
		Body: []byte(body), Daemon: i,
	}
	var outcome sender.Outcome
	client.Ask(ctx, r, time.Now(), func(o sender.Outcome) { outcome = o })
	switch {
	case outcome.Lost != nil:
		return errors.Wrap(outcome.Lost, "query")
	case outcome.Refusal != nil:
		return errors.Errorf("query: refused %s %s", outcome.Refusal.Verdict, outcome.Refusal.Reason)
	case outcome.Answer.Coverage.Answered != fanOut:
		return errors.Errorf("query: %d of %d shards answered", outcome.Answer.Coverage.Answered, fanOut)
	}
	return nil
}
