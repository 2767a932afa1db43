package commander

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/editor"
)

// moveStartCommand adds a rollout.
type moveStartCommand struct {
	editOptions
	Service       string `long:"service" value-name:"NAME" required:"yes" description:"service whose traffic is shifted"`
	From          string `long:"from" value-name:"VERSION" required:"yes" description:"version that is replaced"`
	To            string `long:"to" value-name:"VERSION" required:"yes" description:"new version"`
	StartAt       string `long:"start-at" value-name:"TIME" default:"+0s" description:"start, as in RFC 3339 or from now, such as +10m"`
	FinishBy      string `long:"finish-by" value-name:"TIME" required:"yes" description:"time by which all traffic is to be shifted, as in RFC 3339 or from now, such as +2h"`
	CanaryPercent int    `long:"canary-percent" value-name:"N" default:"5" description:"greatest share of queries for the new version before it has been judged, in 100; at most 5"`
	Args          struct {
		Name string `positional-arg-name:"NAME" description:"name of the rollout, new in the environment"`
	} `positional-args:"yes" required:"yes"`
}

func (m *moveStartCommand) run(ctx context.Context, c *Commander) error {
	now := c.Now()
	start, err := parseTime(now, m.StartAt)
	if err != nil {
		return err
	}
	finish, err := parseTime(now, m.FinishBy)
	if err != nil {
		return err
	}
	move := tiller.Move{
		Name: m.Args.Name, Service: m.Service, From: m.From, To: m.To,
		StartAt: start, FinishBy: finish, CanaryPercent: m.CanaryPercent,
	}
	return c.edit(ctx, m.editOptions, func(doc *tiller.Document, text []byte) ([]byte, error) {
		if _, ok := moveCalled(doc, move.Name); ok {
			return nil, errors.Errorf("the document has a rollout %s already", move.Name)
		}
		for _, other := range doc.Moves {
			if other.Service == move.Service && other.State == "" {
				return nil, errors.Errorf("the rollout %s of %s has not ended", other.Name, other.Service)
			}
		}
		return editor.Append(text, "Moves", newMove(move))
	})
}

// moveFields are the fields of a rollout without a final state, as they stand in the text of a document.
type moveFields struct {
	Name, Service, From, To string
	StartAt, FinishBy       tiller.Millis
	CanaryPercent           int
}

func newMove(m tiller.Move) moveFields {
	return moveFields{m.Name, m.Service, m.From, m.To, m.StartAt, m.FinishBy, m.CanaryPercent}
}

// moveStatusCommand shows rollouts.
type moveStatusCommand struct {
	Env    string        `long:"env" choice:"trial" choice:"production" required:"yes" description:"environment"`
	Daemon daemonOptions `group:"Daemon Options"`
	Args   struct {
		Name string `positional-arg-name:"NAME" description:"name of a rollout (default: all)"`
	} `positional-args:"yes"`
}

func (m *moveStatusCommand) run(ctx context.Context, c *Commander) error {
	daemons, err := m.Daemon.daemons()
	if err != nil {
		return err
	}
	current, err := getDocument(ctx, daemons, m.Env)
	if err != nil {
		return err
	}
	doc := current.document()
	if doc == nil {
		return errors.Errorf("there is no document for %s that this program understands", m.Env)
	}
	now := tiller.Millis(c.Now().UnixMilli())
	found := false
	for _, move := range doc.Moves {
		if m.Args.Name == "" || m.Args.Name == move.Name {
			found = true
			c.showMove(now, move)
		}
	}
	if m.Args.Name != "" && !found {
		return errors.Errorf("the document at revision %d has no rollout %s", current.revision, m.Args.Name)
	}
	return nil
}

// showMove prints one rollout.
func (c *Commander) showMove(now tiller.Millis, m tiller.Move) {
	c.print("%s: %s from %s to %s, %s, from %s to %s, at most %d in 100 before it is judged\n",
		m.Name, m.Service, m.From, m.To, stateOf(now, m), formatTime(m.StartAt), formatTime(m.FinishBy), m.CanaryPercent)
}

// stateOf returns the state of a rollout as far as the document tells.
func stateOf(now tiller.Millis, m tiller.Move) string {
	switch {
	case m.State != "":
		return string(m.State)
	case now < m.StartAt:
		return "waiting"
	case now > m.FinishBy:
		return "overdue"
	}
	return "running"
}

// moveCancelCommand takes a rollout back.
type moveCancelCommand struct {
	editOptions
	Args struct {
		Name string `positional-arg-name:"NAME" description:"name of the rollout"`
	} `positional-args:"yes" required:"yes"`
}

func (m *moveCancelCommand) run(ctx context.Context, c *Commander) error {
	return c.edit(ctx, m.editOptions, func(doc *tiller.Document, text []byte) ([]byte, error) {
		move, ok := moveCalled(doc, m.Args.Name)
		switch {
		case !ok:
			return nil, badInput(errors.Errorf("the document has no rollout %s", m.Args.Name))
		case move.State == tiller.MoveTakenBack:
			return text, nil
		case move.State != "":
			return nil, errors.Errorf("the rollout %s has ended as %s", move.Name, move.State)
		}
		return editor.SetField(text, "Moves", move.Name, "State", tiller.MoveTakenBack)
	})
}

// moveCalled returns the rollout called name.
func moveCalled(doc *tiller.Document, name string) (tiller.Move, bool) {
	i := slices.IndexFunc(doc.Moves, func(m tiller.Move) bool { return m.Name == name })
	if i < 0 {
		return tiller.Move{}, false
	}
	return doc.Moves[i], true
}

// parseTime returns the time that a text names, as in RFC 3339 or from now.
func parseTime(now time.Time, text string) (tiller.Millis, error) {
	if rest, ok := strings.CutPrefix(text, "+"); ok {
		d, err := time.ParseDuration(rest)
		return tiller.Millis(now.Add(d).UnixMilli()), wrapInput(err, "time")
	}
	t, err := time.Parse(time.RFC3339, text)
	return tiller.Millis(t.UnixMilli()), wrapInput(err, "time")
}

// formatTime returns a point in time as in RFC 3339, in UTC.
func formatTime(at tiller.Millis) string {
	return time.UnixMilli(int64(at)).UTC().Format(time.RFC3339)
}
