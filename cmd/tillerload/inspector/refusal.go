package inspector

import (
	"slices"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/caller"
	"github.com/carawaytiller/carawaytiller/cmd/tillerload/planner"
)

// Refusal checks the refusal of a request.
func (in *Inspector) Refusal(r planner.Request, refusal *caller.Refusal) {
	service, _ := in.doc.Service(r.Service)
	in.log.Add(OwnAnswer, r.ID, checkRefused(r, refusal))
	in.log.Add(KnownRefusal, r.ID, checkRefusal(shardsAsked(service, r.Route), refusal))
	if r.Kind != planner.Poison {
		in.log.Add(PoisonLosses, r.ID, checkHarmless(refusal))
	}
}

// checkRefused returns an error when the refusal names another request.
func checkRefused(r planner.Request, refusal *caller.Refusal) error {
	if id, ok := refusal.ID.Get(); ok && id != r.ID {
		return errors.Errorf("the refusal is for request %s", id)
	}
	return nil
}

// checkRefusal returns an error unless verdict, reason and coverage of a refusal are possible.
func checkRefusal(asked []string, refusal *caller.Refusal) error {
	if err := refusal.Verdict.Validate(); err != nil {
		return errors.Errorf("unknown verdict %q", refusal.Verdict)
	}
	if !isReason(refusal.Reason) {
		return errors.Errorf("unknown reason %q", refusal.Reason)
	}
	if c, ok := refusal.Coverage.Get(); ok {
		return checkCounts(asked, c)
	}
	return nil
}

// checkHarmless returns an error when a request that harms no upstream is refused as harmful.
func checkHarmless(refusal *caller.Refusal) error {
	if refusal.Reason == string(tiller.ReasonHarmful) {
		return errors.New("a harmless request is refused as harmful")
	}
	return nil
}

func isReason(name string) bool {
	return slices.Contains(tiller.Reasons(), tiller.Reason(name))
}
