package decoder

import (
	"reflect"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Defaults of optional fields of the document. Optional fields without a constant default to their zero value:
// Revision, Out, Version, Leaving, Region of a service, Single, Moves and State. Routes defaults to one repeatable route "search".
const (
	// DefaultConnectMillis is the cost of a new connection of an upstream, in milliseconds.
	DefaultConnectMillis tiller.Millis = 1
	// DefaultColdSlots is the number of requests that an upstream bears in cold start.
	DefaultColdSlots = 1
	// DefaultWaitFor makes a service wait for all of its shards, which is right for every kind of service.
	DefaultWaitFor = tiller.WaitForCoverage
	// DefaultNeededCoverage is the share of shards, from 0 to 1, below which a query is refused.
	DefaultNeededCoverage = 0.9
	// DefaultStragglerMillis is the wait for stragglers of a service, in milliseconds.
	DefaultStragglerMillis tiller.Millis = 20
	// DefaultDeadlineMillis is the greatest time that a caller may ask for, in milliseconds.
	DefaultDeadlineMillis = 2 * tiller.Second
	// DefaultLimit is the number of items in an answer.
	DefaultLimit = 10
	// DefaultQueueLimit is the number of queries waiting in one daemon.
	DefaultQueueLimit = 1000
	// DefaultHedgePercent is the budget of hedged requests, in 100 first requests.
	DefaultHedgePercent = 5
	// DefaultRetryPercent is the budget of retries, in 100 first requests.
	DefaultRetryPercent = 10
	// DefaultCanaryPercent is the share of queries for a new version before it has been judged, in 100 queries.
	DefaultCanaryPercent = 5
)

// Defaults of optional fields of the settings.
const (
	// DefaultLogLevel is the least severe level that is logged.
	DefaultLogLevel = "info"
	// DefaultStopMillis is the bound on a planned stop, in milliseconds.
	DefaultStopMillis = 30 * tiller.Second
)

// requiredFields lists the fields that an object must have.
var requiredFields = map[reflect.Type][]string{
	reflect.TypeFor[Settings]():        {"Name", "Domain", "Environment", "CallerAddress", "OperatorAddress"},
	reflect.TypeFor[tiller.Document](): {"Environment", "Seats", "Domains", "Upstreams", "Services"},
	reflect.TypeFor[tiller.Domain]():   {"Name", "Region"},
	reflect.TypeFor[tiller.Upstream](): {"Name", "Address", "Domain", "Slots", "Connections"},
	reflect.TypeFor[tiller.Service]():  {"Name", "Current", "Snapshots"},
	reflect.TypeFor[tiller.Move]():     {"Name", "Service", "From", "To", "StartAt", "FinishBy"},
	// Repeatable has no default: neither value is safe to guess.
	reflect.TypeFor[tiller.Route]():    {"Name", "Repeatable"},
	reflect.TypeFor[tiller.Snapshot](): {"Name", "Shards"},
	reflect.TypeFor[tiller.Shard]():    {"Name", "Upstreams"},
}

// setDefaults sets the optional fields of the struct v.
func setDefaults(v reflect.Value) {
	switch s := v.Addr().Interface().(type) {
	case *Settings:
		s.LogLevel = DefaultLogLevel
		s.StopMillis = DefaultStopMillis
	case *tiller.Upstream:
		s.ConnectMillis = DefaultConnectMillis
		s.ColdSlots = DefaultColdSlots
	case *tiller.Service:
		setServiceDefaults(s)
	case *tiller.Move:
		s.CanaryPercent = DefaultCanaryPercent
	}
}

// setServiceDefaults sets the optional fields of s.
func setServiceDefaults(s *tiller.Service) {
	s.Routes = []tiller.Route{{Name: "search", Repeatable: true}}
	s.WaitFor = DefaultWaitFor
	s.NeededCoverage = DefaultNeededCoverage
	s.StragglerMillis = DefaultStragglerMillis
	s.DeadlineMillis = DefaultDeadlineMillis
	s.Limit = DefaultLimit
	s.QueueLimit = DefaultQueueLimit
	s.HedgePercent = DefaultHedgePercent
	s.RetryPercent = DefaultRetryPercent
}
