package inspector

import (
	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"

	"github.com/carawaytiller/carawaytiller/faker"
)

// maxPoisonLosses is the number of upstreams that one poison request may take down.
const maxPoisonLosses = 2

// Capacity checks what an upstream had to bear, from the counts of its fake.
func Capacity(settings faker.UpstreamSettings, counts faker.UpstreamCounts, log *Log) {
	log.Add(ColdSlots, settings.Name, checkCold(settings.ColdSlots, counts.GreatestColdInFlight))
	log.Add(Slots, settings.Name, checkSlots(settings.Slots, settings.QueueLimit, counts.GreatestOutstanding))
}

// checkCold returns an error when an upstream in cold start got more requests at once than it bears.
// An upstream without ColdSlots has no cold start.
func checkCold(coldSlots, greatest int) error {
	if coldSlots > 0 && greatest > coldSlots {
		return errors.Errorf("%d requests at once in cold start, which bears %d", greatest, coldSlots)
	}
	return nil
}

// checkSlots returns an error when more requests were outstanding than slots and queue hold.
func checkSlots(slots, queue, greatest int) error {
	if greatest > slots+queue {
		return errors.Errorf("%d requests at once for %d slots and a queue of %d", greatest, slots, queue)
	}
	return nil
}

// Out checks that the upstreams of a failure domain that is out started nothing between two counts by name.
func Out(domain string, before, after map[string]int, log *Log) {
	for name := range before {
		log.Add(DomainOut, name, checkOut(domain, before[name], after[name]))
	}
}

func checkOut(domain string, before, after int) error {
	if after > before {
		return errors.Errorf("%d requests started while %s had been out for 3 s", after-before, domain)
	}
	return nil
}

// Poisoned checks the number of upstreams that copies of one poison request took down.
func Poisoned(crashes int, log *Log) {
	log.Add(PoisonLosses, "poison", checkPoison(crashes))
}

func checkPoison(crashes int) error {
	if crashes > maxPoisonLosses {
		return errors.Errorf("%d upstreams crashed and %d may", crashes, maxPoisonLosses)
	}
	return nil
}

// Stopped checks that a planned stop of a daemon did not interrupt a request. lost says that its
// connection ended without a reply.
func Stopped(id string, lost error, reason string, log *Log) {
	log.Add(CleanStop, id, checkStop(lost, reason))
}

func checkStop(lost error, reason string) error {
	if lost != nil {
		return errors.Wrap(lost, "no reply during a planned stop")
	}
	if reason == string(tiller.ReasonStopping) {
		return errors.New("refused because of a planned stop")
	}
	return nil
}
