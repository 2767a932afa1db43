package estimator

// Size is a size of the system for which costs are calculated.
type Size struct {
	Daemons          int
	Upstreams        int
	Services         int
	QueriesPerSecond float64
	FanOut           int
	// ChangesPerDay counts changes of the document; RestartsPerDay counts daemons that fail or are replaced.
	ChangesPerDay  float64
	RestartsPerDay float64
	// Units is the number of units of all services together.
	Units int
}

// Target returns the size for which the system is designed.
func Target() Size {
	return Size{
		Daemons:          7400,
		Upstreams:        32000,
		Services:         86,
		QueriesPerSecond: 1.8e6,
		FanOut:           370,
		ChangesPerDay:    5800,
		RestartsPerDay:   2850,
		Units:            7400,
	}
}

// Budget is the upper limit of the cost of control per daemon.
type Budget struct {
	// CoreShare is the share of one core, from 0 to 1.
	CoreShare      float64
	Bytes          float64
	BytesPerSecond float64
}

// TargetBudget returns the stated budget for control.
func TargetBudget() Budget {
	return Budget{CoreShare: 0.037, Bytes: 256e6, BytesPerSecond: 4000}
}

const secondsPerDay = 86400.0
