package main

import (
	"os"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/decoder"
	"github.com/carawaytiller/carawaytiller/faker"
	"github.com/carawaytiller/carawaytiller/sampler"
)

// writtenFileMode is the permission mode of the file that --write creates.
const writtenFileMode = 0o644

// documentOptions name the document to run and the file to write it to.
type documentOptions struct {
	Document string `long:"document" value-name:"FILE" required:"true" description:"Document whose upstreams are run; those with a loopback address listen there, others on a free port of 127.0.0.1"`
	Write    string `long:"write" value-name:"FILE" description:"File that gets the document with the addresses in use"`
}

// allCommand is the sub-command all, which runs the platform and every upstream of a document.
type allCommand struct {
	program   *program
	Document  documentOptions  `group:"Document options"`
	Control   controlOptions   `group:"Control options"`
	Rates     rateOptions      `group:"Store options"`
	List      listOptions      `group:"List options"`
	Behaviour behaviourOptions `group:"Behaviour options"`
}

// Execute runs the fakes until the program is interrupted.
func (c *allCommand) Execute([]string) error {
	doc, err := readDocument(c.Document.Document)
	if err != nil {
		return err
	}
	base := c.Behaviour.settings("")
	base.Search = sampleSearch(sampler.Guild, sampler.Lochan)
	fleet, err := faker.NewFleet(*doc, base, c.Rates.settings(), tiller.SystemClock())
	if err != nil {
		return err
	}
	defer fleet.Close()
	c.List.fill(fleet.Platform.VMs)
	platform, running, err := fleet.Start()
	if err != nil {
		return err
	}
	if err := writeDocument(c.Document.Write, &running); err != nil {
		return err
	}
	a := addresses{Platform: platform, Upstreams: map[string]string{}}
	for _, u := range running.Upstreams {
		a.Upstreams[u.Name] = u.Address
	}
	return c.program.serve(a, c.Control.Control, fleet.Control())
}

func readDocument(file string) (*tiller.Document, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read document")
	}
	doc, faults := decoder.DecodeDocument(file, text)
	if len(faults) > 0 {
		return nil, errors.Errorf("document has %d faults: %s", len(faults), faults)
	}
	return doc, nil
}

// writeDocument writes doc to file. It does nothing if file is empty.
func writeDocument(file string, doc *tiller.Document) error {
	if file == "" {
		return nil
	}
	text, err := decoder.Encode(doc)
	if err != nil {
		return errors.Wrap(err, "encode document")
	}
	if err := os.WriteFile(file, text, writtenFileMode); err != nil {
		return errors.Wrap(err, "write document")
	}
	return nil
}

// sampleSearch returns a search function over the sample records of the given deployments.
func sampleSearch(deployments ...string) faker.SearchFunc {
	records := map[string][]sampler.Record{}
	for _, deployment := range deployments {
		for _, r := range sampler.Records(deployment) {
			records[r.Service] = append(records[r.Service], r)
		}
	}
	return func(service, snapshot, shard, _ string, body []byte, limit int) ([]tiller.Item, error) {
		return sampler.Search(records[service], service, snapshot, shard, body, limit)
	}
}
