package inspector

import "sync"

// Invariant names what must hold.
type Invariant string

// The invariants.
const (
	// OneSnapshot: every item of an answer comes from the snapshot of the answer, the current one of the service.
	OneSnapshot Invariant = "OneSnapshot"
	// TrueCoverage: the coverage states the shards of the snapshot, those answered and each missing one.
	TrueCoverage Invariant = "TrueCoverage"
	// RightItems: the items are those of the reference search over the answered shards.
	RightItems Invariant = "RightItems"
	// UniqueKeys: no key appears twice in an answer.
	UniqueKeys Invariant = "UniqueKeys"
	// OwnAnswer: the reply belongs to the request.
	OwnAnswer Invariant = "OwnAnswer"
	// KnownRefusal: a refusal has a verdict and a reason of the closed lists and a coverage without contradictions.
	KnownRefusal Invariant = "KnownRefusal"
	// TrueNotRun: no upstream ran a request that was refused NotRun.
	TrueNotRun Invariant = "TrueNotRun"
	// RunOnce: a single-use request ran at most once.
	RunOnce Invariant = "RunOnce"
	// ColdSlots: an upstream in cold start never had more requests than it bears.
	ColdSlots Invariant = "ColdSlots"
	// Slots: an upstream never had more requests than its slots and its own queue hold.
	Slots Invariant = "Slots"
	// DomainOut: no request starts in a failure domain that has been out for 3 s.
	DomainOut Invariant = "DomainOut"
	// PoisonLosses: one poison request takes down at most two upstreams, and no other request is refused because of it.
	PoisonLosses Invariant = "PoisonLosses"
	// CleanStop: a planned stop of a daemon interrupts no request, and none is refused because of it.
	CleanStop Invariant = "CleanStop"
)

// Violation is a breach of an invariant.
type Violation struct {
	Invariant Invariant
	// Subject is the identifier of the request, or the name of the upstream or failure domain.
	Subject string
	Detail  string
}

// firstViolations is the number of violations that are kept in full.
const firstViolations = 10

// Log counts violations and keeps the first ones. The zero value is empty.
// Its methods may be called from any goroutine.
type Log struct {
	// Print is told of each of the first violations; it may be nil.
	Print func(Violation)

	mu     sync.Mutex
	counts map[Invariant]int
	first  []Violation
}

// Add records a violation when err is not nil.
func (l *Log) Add(i Invariant, subject string, err error) {
	if err == nil {
		return
	}
	v := Violation{Invariant: i, Subject: subject, Detail: err.Error()}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = map[Invariant]int{}
	}
	l.counts[i]++
	if len(l.first) >= firstViolations {
		return
	}
	l.first = append(l.first, v)
	if l.Print != nil {
		l.Print(v)
	}
}

// Total returns the number of violations.
func (l *Log) Total() int {
	total := 0
	for _, n := range l.Counts() {
		total += n
	}
	return total
}

// Counts returns the number of violations by invariant.
func (l *Log) Counts() map[Invariant]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[Invariant]int, len(l.counts))
	for i, n := range l.counts {
		counts[i] = n
	}
	return counts
}

// First returns the first violations.
func (l *Log) First() []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Violation{}, l.first...)
}
