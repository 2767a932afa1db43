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

// State is everything a daemon knows of its queries, attempts and upstreams. It belongs to the goroutine
// that calls Step; its tables change in place, so that the cost of a step
// does not depend on the number of entries.
type State struct {
	cfg Config
	now tiller.Millis
	// random is seeded with the random number of the event.
	random rand.PCG
	// leaseVersion changes whenever a cached Holding may be out of date.
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
	// held are the units that have or had work here as their owner.
	unitsWithWork []*unit

	queries  map[queryKey]*query
	queued   map[uint64]*query
	attempts map[tiller.AttemptID]attempt
	forwards map[ForwardID]*query
	// orphans are attempts that belong to no query any more and may still run.
	orphans map[tiller.AttemptID]*orphan
	// orphaned counts the orphans of each request. While there is one, a refusal of the same request
	// sent again cannot say NotRun.
	orphanCounts map[queryKey]int
	digestGroups map[uint64]*digestGroup
	// faults holds what is known of faulty versions, by the name of the rollout. Entries are never removed
	// while the process runs: a fault is not taken back.
	rolloutFaults map[string]string
	// shaken are the upstreams with a lost connection that is not attributed yet, by the digests on it.
	unattributedLosses map[uint64][]*upstream

	tokens     *spender.Table
	quarantine *quarantiner.Table
	decisions  *recorder.Ring
	timers     *queuer.Heap[*timer]
	grouper    router.Grouper

	// touched are the units that are looked at again at the end of the step.
	dirtyUnits []*unit
	effects    []Effect
	counts     []Count
	// wakeAt is the time of the Wake that the runner was given last; 0 when none is outstanding.
	wakeAt tiller.Millis

	lastAttempt tiller.AttemptID
	lastForward ForwardID
	lastHandle  uint64
	lastTimer   uint64
}

// New returns the State of a daemon without a seat and without a document.
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

// unknownSeat stands for the seat of a daemon that is not known.
const unknownSeat = -1

// draw returns the next random number of this step.
func (s *State) nextRandom() uint64 { return s.random.Uint64() }
