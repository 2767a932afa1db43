package commander

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaytiller/carawaytiller/api/operator"
	"github.com/carawaytiller/carawaytiller/decoder"
)

// Waits between the requests of a change. They double from first to greatest.
const (
	firstWaitMillis    = 100
	greatestWaitMillis = 2000
)

// changeOptions say who changes a document and how.
type changeOptions struct {
	Operator  string `long:"operator" value-name:"NAME" required:"yes" description:"name of the person who makes the change"`
	Operation string `long:"operation" value-name:"ID" description:"identifier of the change, to repeat one whose outcome is unknown (default: a random one)"`
	Attempts  int    `long:"attempts" value-name:"N" default:"8" description:"greatest number of requests while the outcome is unknown, 100 ms to 2000 ms apart"`
	DryRun    bool   `long:"dry-run" description:"show the changes and stop"`
}

// change is a change of the document of an environment.
type change struct {
	env     string
	options changeOptions
	// base is the document that the change starts from.
	base stored
	// next is the text of the new document.
	next string
}

// submit shows ch and carries it out.
func (c *Commander) submit(ctx context.Context, daemons []daemon, ch change) error {
	if ch.options.Operation == "" && ch.base.text == ch.next {
		c.print("%s has this document at revision %d\n", ch.env, ch.base.revision)
		return nil
	}
	if ch.options.Operation == "" {
		ch.options.Operation = c.NewID()
	}
	if err := ch.check(); err != nil {
		return err
	}
	c.showChange(ch)
	if ch.options.DryRun {
		return nil
	}
	o, err := c.putUntilKnown(ctx, daemons, ch)
	if err != nil {
		return err
	}
	return c.conclude(ctx, daemons, ch, o)
}

// check returns an error for a request that breaks the interface: it would get a reply without
// a verdict, which would count as unknown.
func (ch change) check() error {
	if ch.options.Attempts < 1 {
		return badInput(errors.Errorf("%d attempts are less than 1", ch.options.Attempts))
	}
	if err := ch.request().Validate(); err != nil {
		return badInput(errors.Wrap(err, "change"))
	}
	return nil
}

// request returns the request for ch.
func (ch change) request() *operator.Change {
	return &operator.Change{
		Operation:        ch.options.Operation,
		Operator:         ch.options.Operator,
		ExpectedRevision: ch.base.revision,
		Text:             ch.next,
	}
}

// showChange prints the differences between the current document and the new one.
func (c *Commander) showChange(ch change) {
	next, _ := decoder.DecodeDocument("", []byte(ch.next))
	current := ch.base.document()
	if current == nil && ch.base.revision > 0 {
		c.note("the document at revision %d has faults and is shown as empty", ch.base.revision)
	}
	c.print("%s, from revision %d:\n", ch.env, ch.base.revision)
	c.printChanges(decoder.Diff(current, next))
}

// putUntilKnown sends the change until its outcome is known, and returns that. Each request has the
// same operation identifier, so the change takes effect at most once.
func (c *Commander) putUntilKnown(ctx context.Context, daemons []daemon, ch change) (outcome, error) {
	sent := false
	wait := firstWaitMillis * time.Millisecond
	for attempt := range ch.options.Attempts {
		if attempt > 0 {
			c.Sleep(ctx, wait)
			wait = min(2*wait, greatestWaitMillis*time.Millisecond)
		}
		if ctx.Err() != nil {
			break
		}
		d := daemons[attempt%len(daemons)]
		o := put(ctx, d, ch)
		if o.known(sent) {
			return o, nil
		}
		sent = sent || o.sent
		c.note("%s: %v; operation %s", d.address, o.err, ch.options.Operation)
	}
	if !sent {
		return outcome{}, errors.New("no daemon could be reached; the change was not made")
	}
	return outcome{}, errors.Errorf("the outcome is unknown; run the command again with --operation %s", ch.options.Operation)
}

// outcome is what one request of a change led to.
type outcome struct {
	// accepted is the reply when the change was accepted.
	accepted *operator.Accepted
	// refused is the reply when it was not.
	refused *operator.ErrorStatusCode
	err     error
	// sent says that the request may have taken effect, whatever the reply.
	sent bool
}

// put sends the change once.
func put(ctx context.Context, d daemon, ch change) outcome {
	reply, err := d.PutDocument(ctx, ch.request(), operator.PutDocumentParams{Env: operator.PutDocumentEnv(ch.env)})
	if err != nil {
		return outcome{err: errors.Wrap(err, "put document"), sent: !wasNotSent(err)}
	}
	switch r := reply.(type) {
	case *operator.Accepted:
		return outcome{accepted: r}
	case *operator.ErrorStatusCode:
		return outcome{refused: r, err: refusal(r), sent: r.Response.Verdict != operator.ErrorVerdictNotRun}
	}
	return outcome{err: errors.Errorf("unexpected reply %T", reply), sent: true}
}

// known says whether o settles the change. After a request that may have taken effect, only an acceptance
// or a conflict does, because any other refusal speaks of the last request alone.
func (o outcome) known(sentBefore bool) bool {
	switch {
	case o.accepted != nil:
		return true
	case o.refused == nil || o.sent:
		return false
	}
	return !sentBefore || o.refused.Response.Reason == operator.ErrorReasonConflict
}

// isConflict says whether another change was accepted first.
func (o outcome) isConflict() bool {
	return o.refused != nil && o.refused.Response.Reason == operator.ErrorReasonConflict
}

// conclude reports a known outcome.
func (c *Commander) conclude(ctx context.Context, daemons []daemon, ch change, o outcome) error {
	if o.accepted != nil {
		c.print("accepted as revision %d\n", o.accepted.Revision)
		return nil
	}
	switch o.refused.Response.Reason {
	case operator.ErrorReasonConflict:
		return c.reportConflict(ctx, daemons, ch, o.refused.Response)
	case operator.ErrorReasonBadDocument:
		for _, fault := range o.refused.Response.Faults {
			c.print("%s\n", fault)
		}
		return badInput(o.err)
	}
	return o.err
}
