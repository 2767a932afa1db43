package follower

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/gatherer"
	"github.com/carawaytiller/carawaytiller/platform"
)

// applyRolloutKey emits the event that follows from a key of a rollout. It returns false for any other key.
func (f *Follower) applyRolloutKey(item platform.Item) bool {
	if service, ok := platform.RolloutService(item.Key); ok {
		f.applyRollout(service, item)
		return true
	}
	if service, ok := platform.StatusService(item.Key); ok {
		f.applyRolloutStatus(service, item)
		return true
	}
	if service, ok := platform.StartService(item.Key); ok {
		f.applyRolloutStart(service, item)
		return true
	}
	return false
}

func (f *Follower) applyRollout(service string, item platform.Item) {
	if item.Deleted {
		f.log.Info("Rollout order removed", "Service", service, "Revision", item.Revision)
		f.emit(gatherer.RolloutEnded{Service: service})
		return
	}
	r, err := platform.ParseRollout(service, item.Value)
	if err != nil {
		f.log.Error(err, "Rollout order cannot be read", "Service", service, "Revision", item.Revision)
		return
	}
	r.Revision = item.Revision
	f.emit(gatherer.RolloutOrdered{Rollout: r, Old: f.table.Revision() == 0})
}

func (f *Follower) applyRolloutStatus(service string, item platform.Item) {
	if item.Deleted {
		return
	}
	status, err := platform.ParseRolloutStatus(service, item.Value)
	if err != nil {
		f.log.Error(err, "Rollout state cannot be read", "Service", service, "Revision", item.Revision)
		return
	}
	status.Revision = item.Revision
	f.emit(gatherer.RolloutPublished{Status: status})
}

func (f *Follower) applyRolloutStart(service string, item platform.Item) {
	if item.Deleted {
		return
	}
	start, err := platform.ParseRolloutStart(item.Value)
	if err != nil {
		f.log.Error(err, "Rollout start cannot be read", "Service", service, "Revision", item.Revision)
		return
	}
	age := tiller.Millis(time.Now().UnixMilli() - start.StartedAt)
	f.emit(gatherer.RolloutDated{Service: service, Revision: start.Order, Age: age})
}

// Publisher writes the states of rollouts to the store.
type Publisher struct {
	store *platform.Store
	log   logr.Logger
}

// NewPublisher returns a Publisher.
func NewPublisher(store *platform.Store, log logr.Logger) *Publisher {
	return &Publisher{store: store, log: log}
}

// Publish writes the state of a rollout, on condition that the store still holds the state that the decision
// was based on. It emits the state that the store holds then, if that is known. It does not retry: the
// gatherer publishes again while the store lacks its decision.
func (p *Publisher) Publish(e gatherer.PublishRollout, emit func(gatherer.Event)) {
	ctx := context.Background()
	start := platform.RolloutStart{Order: e.Order, StartedAt: time.Now().UnixMilli() - int64(e.Age)}
	conditions, writes, err := platform.RolloutWrites(e.Status, start)
	var revision int64
	if err == nil {
		revision, err = p.store.Transact(ctx, conditions, writes, nil)
	}
	fields := []any{"Service", e.Status.Service, "Target", e.Status.Target, "State", e.Status.State.String(), "After", e.Status.Revision}
	if err == nil {
		p.log.Info("Rollout state published", append(fields, "Revision", revision)...)
		status := e.Status
		status.Revision = revision
		emit(gatherer.RolloutPublished{Status: status})
		return
	}
	p.log.Info("Rollout state was not published", append(fields, "Cause", err.Error())...)
	if !errors.Is(err, platform.ErrConflict) {
		return
	}
	status, err := p.store.RolloutStatus(ctx, e.Status.Service)
	if err != nil {
		p.log.Info("Rollout state was not read", "Service", e.Status.Service, "Cause", err.Error())
		return
	}
	emit(gatherer.RolloutPublished{Status: status})
}
