package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/caller"
	"github.com/carawaytiller/carawaytiller/demonstrator"
	"github.com/carawaytiller/carawaytiller/sampler"
)

const demoDescription = `Runs the sample deployment of Guild in this process on loopback: a fake store, fake upstreams and eight daemons. Asks for allergens, for recipes and for one printed label through different daemons, prints each answer as JSON and compares it with a direct search; a wrong or partial answer ends with exit code 1. Then it serves until it gets SIGTERM or SIGINT.`

// demoStopMillis is the time limit of the planned stop of the demonstration.
const demoStopMillis = 10 * tiller.Second

// demoCommand is the sub-command demo.
type demoCommand struct {
	program *program
	Once    bool `long:"once" description:"Stop after the answers"`
}

// Execute starts the sample deployment, asks the questions and checks the answers. Without --once it then
// serves until the program's context ends.
func (c *demoCommand) Execute([]string) error {
	log, err := c.program.newLogger("info")
	if err != nil {
		return err
	}
	records := sampler.Records(sampler.Guild)
	fleet, err := demonstrator.Start(demonstrator.Config{
		Clock:    tiller.SystemClock(),
		Logger:   log,
		Document: sampler.Document(sampler.Guild, func(string) string { return "" }),
		// All daemons start with this document, so there is no earlier document to wait out.
		PropagationMillis: 1,
		Upstream:          demonstrator.DefaultUpstream(runSearch(records)),
	})
	if err != nil {
		return err
	}
	defer http.DefaultClient.CloseIdleConnections()
	d := &demo{program: c.program, fleet: fleet, records: records}
	if err := d.askAll(c.program.ctx); err != nil {
		fleet.Close()
		return err
	}
	if !c.Once {
		d.printUsage()
		<-c.program.ctx.Done()
	}
	ctx, cancel := context.WithTimeout(context.Background(), demoStopMillis.Duration())
	defer cancel()
	return fleet.Stop(ctx)
}

// demo asks the questions of the demonstration and checks the answers.
type demo struct {
	program *program
	fleet   *demonstrator.Fleet
	records []sampler.Record
	// token is the single-use token of the label print, empty if none is held.
	token string
}

// printID is the query ID of both label print queries, so that the second one repeats the first.
const printID = "label-print"

// printedAnswer is the JSON object printed for each answer.
type printedAnswer struct {
	Question string
	// Daemon is the index of the daemon that was asked.
	Daemon int
	Answer *caller.Answer
}

// askAll asks every question, prints each answer and compares it with a direct search.
// It then checks that the label was printed once.
func (d *demo) askAll(ctx context.Context) error {
	encoder := json.NewEncoder(d.program.stdout)
	for i, q := range questions {
		answer, err := d.ask(ctx, fmt.Sprintf("demo-%d", i+1), q)
		if err != nil {
			return fmt.Errorf("%s: %w", q.Name, err)
		}
		if err := encoder.Encode(printedAnswer{Question: q.Name, Daemon: q.Daemon, Answer: answer}); err != nil {
			return err
		}
		if err := q.compare(d.records, d.fleet.Document, answer); err != nil {
			return fmt.Errorf("%s: %w", q.Name, err)
		}
	}
	return d.checkPrints()
}

// ask sends one question to its daemon and repeats it while the refusal says that it has not run.
func (d *demo) ask(ctx context.Context, id string, q question) (*caller.Answer, error) {
	asked, err := client(d.fleet.Daemon(q.Daemon).CallerAddress())
	if err != nil {
		return nil, err
	}
	var answer *caller.Answer
	err = retryNotRun(ctx, func(ctx context.Context) error {
		query := q.query(id, "")
		if q.Route == "print" {
			if err := d.ensureToken(ctx, q.Issuer); err != nil {
				return err
			}
			query = q.query(printID, d.token)
		}
		answer, err = asked.Query(ctx, query)
		if err != nil {
			// A token serves one attempt. A repeat with a refused token gets the same refusal.
			d.token = ""
		}
		return err
	})
	return answer, err
}

// ensureToken gets a single-use token from the daemon with index issuer, unless one is held.
func (d *demo) ensureToken(ctx context.Context, issuer int) error {
	if d.token != "" {
		return nil
	}
	c, err := client(d.fleet.Daemon(issuer).CallerAddress())
	if err != nil {
		return err
	}
	token, err := c.IssueToken(ctx)
	if err != nil {
		return err
	}
	d.token = token.Token
	return nil
}

// checkPrints returns an error unless the label, which was requested twice, was printed exactly once.
func (d *demo) checkPrints() error {
	runs := 0
	for _, u := range d.fleet.Fakes.Upstreams {
		runs += u.Runs("print")[printID]
	}
	if runs != 1 {
		return errors.New("the label was printed " + fmt.Sprint(runs) + " times, want 1")
	}
	return nil
}

// printUsage prints example requests and the addresses of the daemons.
func (d *demo) printUsage() {
	const format = `
The daemons serve until they get SIGTERM or SIGINT. Ask any of them, for example:
curl -s http://%s/v1/query -H 'Content-Type: application/json' -d '{"ID":"q1","Caller":"me","Service":"recipe-desk-01","Route":"search","Body":{"Terms":["sesame"]},"DeadlineMillis":1000}'
curl -s -X POST http://%s/v1/token
curl -s http://%s/v1/status
curl -s http://%s/v1/explain/q1
curl -s http://%s/metrics

Callers' and operators' addresses by seat:
`
	first := d.fleet.Daemon(0)
	second := d.fleet.Daemon(1).CallerAddress()
	fmt.Fprintf(d.program.stdout, format, first.CallerAddress(), second, first.OperatorAddress(), first.OperatorAddress(), first.OperatorAddress())
	for vm, member := range d.fleet.Members {
		daemon := d.fleet.Daemon(vm)
		fmt.Fprintf(d.program.stdout, "%d %s %s\n", member.Seat(), daemon.CallerAddress(), daemon.OperatorAddress())
	}
}
