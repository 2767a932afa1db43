package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

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
	revisions := map[revisionOf]int{}
	for _, d := range daemons {
		status, err := s.show(ctx, c, d)
		if err != nil {
			failed = append(failed, errors.Wrap(err, d.address))
			continue
		}
		revisions[revisionOf{status.Environment, status.Revision}]++
	}
	if !s.JSON {
		c.compareRevisions(revisions)
	}
	return errors.Join(failed...)
}

// revisionOf is the document that a daemon goes by.
type revisionOf struct {
	environment string
	revision    int64
}

// compareRevisions prints whether several daemons go by the same revision.
func (c *Commander) compareRevisions(revisions map[revisionOf]int) {
	sum := 0
	for _, n := range revisions {
		sum += n
	}
	if sum < 2 {
		return
	}
	var parts []string
	for r, n := range revisions {
		parts = append(parts, fmt.Sprintf("%s revision %d at %d daemons", r.environment, r.revision, n))
	}
	slices.Sort(parts)
	if len(parts) == 1 {
		c.print("same revision in force: %s\n", parts[0])
		return
	}
	c.print("different revisions in force: %s\n", strings.Join(parts, ", "))
}

// show prints the state of one daemon and returns it.
func (s *statusCommand) show(ctx context.Context, c *Commander, d daemon) (*operator.Status, error) {
	status, err := d.Status(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "status")
	}
	if s.JSON {
		return status, c.printJSON(status)
	}
	c.print("%s: seat %d, incarnation %d, %s revision %d %s, owns %d of %d units, %s%s\n",
		d.address, status.Seat, status.Incarnation, status.Environment, status.Revision, confirmed(status.KnowledgeAgeMillis),
		owned(status.Units), len(status.Units), load(status.Upstreams), stopping(status.Stopping))
	return status, nil
}

// confirmed says how old the knowledge is that a revision is the newest.
func confirmed(age int64) string {
	if age < 0 {
		return "never confirmed"
	}
	return fmt.Sprintf("confirmed %d ms ago", age)
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
