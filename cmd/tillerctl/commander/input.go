package commander

import (
	"io"
	"os"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/decoder"
)

// standardInput is the file name that stands for standard input.
const standardInput = "-"

// readFile returns the content of a file, or of standard input.
func (c *Commander) readFile(name string) ([]byte, error) {
	if name != standardInput {
		text, err := os.ReadFile(name)
		return text, wrapInput(err, "read file")
	}
	text, err := io.ReadAll(c.in)
	return text, wrapInput(err, "read standard input")
}

// wrapInput marks err, when there is one, as an error of input.
func wrapInput(err error, message string) error {
	if err == nil {
		return nil
	}
	return badInput(errors.Wrap(err, message))
}

// readDocument reads and decodes a document. It prints faults to standard output.
func (c *Commander) readDocument(name string) (*tiller.Document, []byte, error) {
	text, err := c.readFile(name)
	if err != nil {
		return nil, nil, err
	}
	doc, faults := decoder.DecodeDocument(name, text)
	if len(faults) > 0 {
		return nil, nil, c.reportFaults(faults)
	}
	return doc, text, nil
}

// reportFaults prints faults and returns the error for them, or nil when there are none.
func (c *Commander) reportFaults(faults decoder.Faults) error {
	if len(faults) == 0 {
		return nil
	}
	c.print("%s\n", faults)
	return badInput(errReported)
}

// printChanges prints changes, one a line.
func (c *Commander) printChanges(changes []decoder.Change) {
	if len(changes) == 0 {
		c.print("  no difference but comments, layout or revision\n")
	}
	for _, change := range changes {
		c.print("  %s\n", change)
	}
}
