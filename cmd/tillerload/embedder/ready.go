package embedder

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaytiller/carawaytiller/cmd/tillerload/planner"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/sender"
)

const (
	// readyTime bounds the wait until the fleet answers. A daemon grants no lease for 1.2 s after its start.
	readyTime = 30 * time.Second
	// askAgain is the pause before a service is asked again.
	askAgain = 100 * time.Millisecond
)

// Await asks every service until it answers.
func (f *Fleet) Await(ctx context.Context, client *sender.Client) error {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	services := f.Document().Services
	errs := make([]error, len(services))
	var tasks sync.WaitGroup
	for i, s := range services {
		r := planner.Request{
			ID: "ready-" + s.Name, Caller: "ready", Kind: planner.Search, Service: s.Name, Route: s.Routes[0].Name,
			Body: []byte(`{"Terms":["ready"]}`), Daemon: i,
		}
		tasks.Go(func() { errs[i] = awaitService(ctx, client, r) })
	}
	tasks.Wait()
	return errors.Join(errs...)
}

func awaitService(ctx context.Context, client *sender.Client, r planner.Request) error {
	for {
		answered := false
		client.Ask(ctx, r, time.Now(), func(o sender.Outcome) { answered = o.Answer != nil })
		if answered {
			return nil
		}
		select {
		case <-time.After(askAgain):
		case <-ctx.Done():
			return errors.Errorf("no answer from %s for %s", r.Service, readyTime)
		}
	}
}
