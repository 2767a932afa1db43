package commander

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/carawaytiller/carawaytiller/decoder"
)

// The environments.
const (
	trial      = "trial"
	production = "production"
)

// promoteCommand copies the document of trial to production.
type promoteCommand struct {
	TrialRevision      *int64        `long:"trial-revision" value-name:"N" required:"yes" description:"revision that was tested; another revision in trial is refused"`
	ProductionRevision *int64        `long:"production-revision" value-name:"N" description:"revision that is to be replaced, 0 for none; another one is refused (default: any)"`
	Change             changeOptions `group:"Change Options"`
	Daemon             daemonOptions `group:"Daemon Options"`
}

func (p *promoteCommand) run(ctx context.Context, c *Commander) error {
	daemons, err := p.Daemon.daemons()
	if err != nil {
		return err
	}
	tested, err := getDocument(ctx, daemons, trial)
	if err != nil {
		return err
	}
	if err := requireRevision(trial, tested, p.TrialRevision); err != nil {
		return err
	}
	text, err := promoted(tested)
	if err != nil {
		return err
	}
	current, err := getDocument(ctx, daemons, production)
	if err != nil {
		return err
	}
	if err := requireRevision(production, current, p.ProductionRevision); err != nil && p.Change.Operation == "" {
		return err
	}
	return c.submit(ctx, daemons, change{env: production, options: p.Change, base: current, next: text})
}

// requireRevision returns an error when the document of env is not at the revision want; nil means any.
func requireRevision(env string, s stored, want *int64) error {
	if want == nil || s.revision == *want {
		return nil
	}
	return errors.Errorf("%s is at revision %d and not at %d", env, s.revision, *want)
}

// promoted returns the text of the trial document for production.
func promoted(tested stored) (string, error) {
	if tested.revision == 0 {
		return "", errors.New("there is no trial document")
	}
	text, err := decoder.ReplaceEnvironment([]byte(tested.text), production)
	if err != nil {
		return "", errors.Wrap(err, "trial document")
	}
	if _, faults := decoder.DecodeDocument(trial, text); len(faults) > 0 {
		return "", errors.Errorf("the trial document has faults:\n%s", faults)
	}
	return string(text), nil
}
