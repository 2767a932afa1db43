package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"github.com/go-faster/errors"

	"github.com/carawaytiller/carawaytiller/api/operator"
)

// statusCommand shows the state of daemons.
type statusCommand struct {
	JSON   bool          `long:"json" description:"print the whole state as JSON, one daemon after the other"`
	Daemon daemonOptions `group:"Daemon Options"`
}

func (s *statusCommand) run(ctx context.Context, c *Commander) error {
	daemons, err := s.Daemon.daemons()
	if err != nil {
		return err
	}
	var failed []error
	for _, d := range daemons {
		if err := s.show(ctx, c, d); err != nil {
			failed = append(failed, errors.Wrap(err, d.address))
		}
	}
	return errors.Join(failed...)
}

// show prints the state of one daemon.
func (s *statusCommand) show(ctx context.Context, c *Commander, d daemon) error {
	status, err := d.Status(ctx)
	if err != nil {
		return errors.Wrap(err, "status")
	}
	if s.JSON {
		return c.printJSON(status)
	}
	c.print("%s: seat %d, incarnation %d, %s revision %d confirmed %d ms ago, owns %d of %d units, %s%s\n",
		d.address, status.Seat, status.Incarnation, status.Environment, status.Revision, status.KnowledgeAgeMillis,
		owned(status.Units), len(status.Units), load(status.Upstreams), stopping(status.Stopping))
	return nil
}

// printJSON prints v as indented JSON.
func (c *Commander) printJSON(v json.Marshaler) error {
	text, err := v.MarshalJSON()
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	var b bytes.Buffer
	if err := json.Indent(&b, text, "", "  "); err != nil {
		return errors.Wrap(err, "indent")
	}
	c.print("%s\n", b.Bytes())
	return nil
}

// owned counts the units that the daemon owns.
func owned(units []operator.Unit) int {
	n := 0
	for _, u := range units {
		if u.Owned {
			n++
		}
	}
	return n
}

// load sums up the state of upstreams.
func load(upstreams []operator.UpstreamStatus) string {
	inFlight, limit, cold := 0, 0, 0
	for _, u := range upstreams {
		inFlight += u.InFlight
		limit += u.Limit
		if u.Cold {
			cold++
		}
	}
	return fmt.Sprintf("%d of %d requests in flight, %d of %d upstreams cold", inFlight, limit, cold, len(upstreams))
}

// stopping returns the remark for a daemon that is stopping.
func stopping(is bool) string {
	if is {
		return ", stopping"
	}
	return ""
}
