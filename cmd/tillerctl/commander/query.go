package commander

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/go-faster/errors"
	"github.com/go-faster/jx"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/caller"
)

// graceMillis is how long the reply may take after the deadline, for the way through the network.
const graceMillis = 1000

// queryCommand asks a service.
type queryCommand struct {
	Address   string   `long:"address" value-name:"IP:PORT" required:"yes" description:"caller address of a daemon"`
	Service   string   `long:"service" value-name:"NAME" required:"yes" description:"service to ask"`
	Route     string   `long:"route" value-name:"NAME" default:"search" description:"operation of the service"`
	Body      string   `long:"body" value-name:"JSON" required:"yes" description:"JSON body, or @FILE to read it from a file, @- for standard input"`
	Deadline  int64    `long:"deadline" value-name:"MILLIS" default:"1000" description:"time for the answer in milliseconds"`
	Coverage  *float64 `long:"coverage" value-name:"SHARE" description:"needed share of the shards, from 0 to 1 (default: that of the service)"`
	Limit     int      `long:"limit" value-name:"N" description:"greatest number of items (default: that of the service)"`
	SingleUse bool     `long:"single-use" description:"run the request at most once, with a token of the daemon"`
	Token     string   `long:"token" value-name:"TOKEN" description:"token of an earlier single-use request, to learn its outcome; give its --id too"`
	Caller    string   `long:"caller" value-name:"NAME" default:"tillerctl" description:"name of the caller, for fair shares"`
	ID        string   `long:"id" value-name:"ID" description:"identifier of the request (default: a random one)"`
}

func (q *queryCommand) run(ctx context.Context, c *Commander) error {
	request, err := q.request(c)
	if err != nil {
		return err
	}
	client, err := q.client()
	if err != nil {
		return err
	}
	if err := q.addToken(ctx, client, request); err != nil {
		return c.reportQueryError(errors.Wrap(err, "token"), tiller.NotRun)
	}
	answer, err := client.Query(ctx, request)
	if err != nil {
		c.noteResend(request)
		return c.reportQueryError(errors.Wrap(err, "query"), verdictOf(err))
	}
	return c.printJSON(answer)
}

// addToken makes the request a single-use one when the options ask for it.
func (q *queryCommand) addToken(ctx context.Context, client *caller.Client, request *caller.Query) error {
	token := q.Token
	if q.SingleUse && token == "" {
		issued, err := client.IssueToken(ctx)
		if err != nil {
			return err
		}
		token = issued.Token
	}
	if token != "" {
		request.Repeatable = caller.NewOptBool(false)
		request.Token = caller.NewOptString(token)
	}
	return nil
}

// noteResend says how to learn the outcome of a single-use request.
func (c *Commander) noteResend(request *caller.Query) {
	if request.Token.Set {
		c.note("to learn the outcome run the command again with --id %s --token %s", request.ID, request.Token.Value)
	}
}

// request returns the request without a token.
func (q *queryCommand) request(c *Commander) (*caller.Query, error) {
	body, err := q.body(c)
	if err != nil {
		return nil, err
	}
	request := &caller.Query{
		ID:             q.ID,
		Caller:         q.Caller,
		Service:        q.Service,
		Route:          q.Route,
		Body:           jx.Raw(body),
		DeadlineMillis: q.Deadline,
	}
	if request.ID == "" {
		request.ID = c.NewID()
	}
	if q.Coverage != nil {
		request.NeededCoverage = caller.NewOptFloat64(*q.Coverage)
	}
	if q.Limit != 0 {
		request.Limit = caller.NewOptInt(q.Limit)
	}
	return request, wrapInput(request.Validate(), "query")
}

// body returns the JSON body.
func (q *queryCommand) body(c *Commander) ([]byte, error) {
	body := []byte(q.Body)
	if name, isFile := strings.CutPrefix(q.Body, "@"); isFile {
		var err error
		if body, err = c.readFile(name); err != nil {
			return nil, err
		}
	}
	if !json.Valid(body) {
		return nil, badInput(errors.New("the body is not valid JSON"))
	}
	return body, nil
}

// client returns the client of the daemon.
func (q *queryCommand) client() (*caller.Client, error) {
	if q.Deadline < 1 {
		return nil, badInput(errors.Errorf("a deadline of %d ms is less than 1 ms", q.Deadline))
	}
	url, err := urlOf(q.Address)
	if err != nil {
		return nil, err
	}
	httpClient, err := newHTTPClient(q.Deadline + graceMillis)
	if err != nil {
		return nil, err
	}
	return caller.NewClient(url, caller.WithClient(httpClient))
}

// verdictOf returns the verdict on a query whose reply did not arrive.
func verdictOf(err error) tiller.Verdict {
	if wasNotSent(err) {
		return tiller.NotRun
	}
	return tiller.MayHaveRun
}

// reportQueryError prints a refusal as JSON, or returns err with the verdict v on the query when there is no refusal.
func (c *Commander) reportQueryError(err error, v tiller.Verdict) error {
	var refused *caller.RefusalStatusCode
	if !errors.As(err, &refused) {
		return errors.Wrap(err, v.String())
	}
	if err := c.printJSON(&refused.Response); err != nil {
		return err
	}
	return errReported
}
