package decoder

import (
	"reflect"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Default values of the optional fields of the document. Revision, Out, Version, Leaving, Single, Moves, State and
// the Region of a service default to their zero values. Routes defaults to one repeatable route, "search".
const (
	// DefaultConnectMillis is the time that it takes to open a connection to an upstream, in milliseconds.
	DefaultConnectMillis tiller.Millis = 1
	// DefaultColdSlots is the number of concurrent requests that an upstream can handle during a cold start.
	DefaultColdSlots = 1
	// DefaultWaitFor makes a query wait for every shard until its deadline, which is correct for every kind of service.
	DefaultWaitFor = tiller.WaitForCoverage
	// DefaultNeededCoverage is the minimum fraction of shards, from 0 to 1. A query with less is refused.
	DefaultNeededCoverage = 0.9
	// DefaultStragglerMillis is the time to wait for missing shards after the needed coverage is reached, in milliseconds.
	DefaultStragglerMillis tiller.Millis = 20
	// DefaultDeadlineMillis is the longest time that a caller may request for a query, in milliseconds.
	DefaultDeadlineMillis = 2 * tiller.Second
	// DefaultLimit is the number of items in an answer to a query that sets no limit.
	DefaultLimit = 10
	// DefaultQueueLimit is the maximum number of queries that wait in one daemon.
	DefaultQueueLimit = 1000
	// DefaultHedgePercent is the budget of hedged requests, per 100 first requests.
	DefaultHedgePercent = 5
	// DefaultRetryPercent is the budget of retries, per 100 first requests.
	DefaultRetryPercent = 10
	// DefaultCanaryPercent is the percentage of queries sent to a new version before it has been judged.
	DefaultCanaryPercent = 5
)

// Default values of the optional fields of the settings.
const (
	// DefaultLogLevel is the minimum severity that is logged.
	DefaultLogLevel = "info"
	// DefaultStopMillis is the maximum duration of a planned stop, in milliseconds.
	DefaultStopMillis = 30 * tiller.Second
)

// requiredFields maps a struct type to the fields that its JSON object must have.
var requiredFields = map[reflect.Type][]string{
	reflect.TypeFor[Settings]():        {"Name", "Domain", "Environment", "CallerAddress", "OperatorAddress"},
	reflect.TypeFor[tiller.Document](): {"Environment", "Seats", "Domains", "Upstreams", "Services"},
	reflect.TypeFor[tiller.Domain]():   {"Name", "Region"},
	reflect.TypeFor[tiller.Upstream](): {"Name", "Address", "Domain", "Slots", "Connections"},
	reflect.TypeFor[tiller.Service]():  {"Name", "Current", "Snapshots"},
	reflect.TypeFor[tiller.Move]():     {"Name", "Service", "From", "To", "StartAt", "FinishBy"},
	// Repeatable has no default, because neither value is safe to assume.
	reflect.TypeFor[tiller.Route]():    {"Name", "Repeatable"},
	reflect.TypeFor[tiller.Snapshot](): {"Name", "Shards"},
	reflect.TypeFor[tiller.Shard]():    {"Name", "Upstreams"},
}

// setDefaults sets the optional fields of the struct v to their default values.
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

// setServiceDefaults sets the optional fields of s to their default values.
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
