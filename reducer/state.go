package reducer

import (
	"math/rand/v2"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/quarantiner"
	"github.com/carawaytiller/carawaytiller/queuer"
	"github.com/carawaytiller/carawaytiller/recorder"
	"github.com/carawaytiller/carawaytiller/router"
	"github.com/carawaytiller/carawaytiller/spender"
	"github.com/carawaytiller/carawaytiller/tracker"
)

// State holds what a daemon knows of its queries, attempts and upstreams. It is not safe for concurrent
// use: only the goroutine that calls Step may access it. Its tables are changed in place, so that the
// cost of a step does not depend on the number of entries.
type State struct {
	cfg Config
	now tiller.Millis
	// random is seeded with the random number of the current event.
	random rand.PCG
	// leaseVersion is incremented whenever cached Holdings may be out of date.
	leaseVersion uint64

	seat        int
	incarnation int64
	stopping    bool
	stopped     bool

	document  *tiller.Document
	catalog   catalog
	epoch     uint64
	voters    map[tracker.UnitID]voterSet
	services  map[string]*service
	upstreams map[string]*upstream
	units     map[tracker.UnitID]*unit
	// unitsWithWork are the units for which this daemon has accepted a query as the owner, now or earlier.
	unitsWithWork []*unit

	queries map[queryKey]*query
	// queued holds the queries in the queues of the units, by handle.
	queued   map[uint64]*query
	attempts map[tiller.AttemptID]attempt
	forwards map[ForwardID]*query
	// orphans are attempts that no longer belong to a query and may still run at an upstream.
	orphans map[tiller.AttemptID]*orphan
	// orphanCounts counts the orphans of each request. While a request has one, a refusal of the same
	// request sent again cannot say NotRun.
	orphanCounts map[queryKey]int
	digestGroups map[uint64]*digestGroup
	// rolloutFaults maps the name of a rollout to a description of the fault of its new version. Entries
	// are kept while the process runs, because a fault is never withdrawn.
	rolloutFaults map[string]string
	// unattributedLosses maps a digest to the upstreams on which an attempt with the digest ended with
	// a lost connection that has not been attributed to a digest yet.
	unattributedLosses map[uint64][]*upstream

	tokens     *spender.Table
	quarantine *quarantiner.Table
	decisions  *recorder.Ring
	timers     *queuer.Heap[*timer]
	grouper    router.Grouper

	// dirtyUnits are processed at the end of the step.
	dirtyUnits []*unit
	effects    []Effect
	counts     []Count
	// wakeAt is the time of the last Wake; 0 when none is outstanding.
	wakeAt tiller.Millis

	lastAttempt tiller.AttemptID
	lastForward ForwardID
	lastHandle  uint64
	lastTimer   uint64
}

// New returns the State of a daemon that has neither a seat nor a document.
func New(cfg Config) *State {
	return &State{
		cfg:                cfg,
		seat:               unknownSeat,
		voters:             make(map[tracker.UnitID]voterSet),
		services:           make(map[string]*service),
		upstreams:          make(map[string]*upstream),
		units:              make(map[tracker.UnitID]*unit),
		queries:            make(map[queryKey]*query),
		queued:             make(map[uint64]*query),
		attempts:           make(map[tiller.AttemptID]attempt),
		forwards:           make(map[ForwardID]*query),
		orphans:            make(map[tiller.AttemptID]*orphan),
		orphanCounts:       make(map[queryKey]int),
		digestGroups:       make(map[uint64]*digestGroup),
		rolloutFaults:      make(map[string]string),
		unattributedLosses: make(map[uint64][]*upstream),
		tokens:             spender.New(orDefault(cfg.TokenLimit, defaultTokenLimit)),
		quarantine:         quarantiner.New(orDefault(cfg.CleanLimit, defaultCleanLimit)),
		decisions:          recorder.New(orDefault(cfg.DecisionLimit, defaultDecisionLimit)),
		timers:             newTimers(),
	}
}

// unknownSeat is the seat number used when the seat of a daemon is not known.
const unknownSeat = -1

// nextRandom returns the next random number of the current step.
func (s *State) nextRandom() uint64 { return s.random.Uint64() }
