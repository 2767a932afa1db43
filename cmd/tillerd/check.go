package main

import (
	"fmt"
	"os"

	"github.com/tailscale/hujson"

	"github.com/carawaytiller/carawaytiller/decoder"
)

const checkDescription = `Checks files with settings or documents and prints every fault as FILE:LINE:COL: Field: reason.`

// checkCommand is the sub-command check.
type checkCommand struct {
	program *program
	Args    struct {
		Files []string `positional-arg-name:"FILE" required:"1" description:"File with settings or a document"`
	} `positional-args:"yes" required:"yes"`
}

// Execute checks the files, prints their faults and returns errFaulty when there are any.
// It stops at the first file that cannot be read.
func (c *checkCommand) Execute([]string) error {
	var result error
	for _, name := range c.Args.Files {
		text, err := os.ReadFile(name)
		if err != nil {
			return fmt.Errorf("check: %w", err)
		}
		faults := check(name, text)
		for _, f := range faults {
			fmt.Fprintln(c.program.stdout, f)
		}
		if len(faults) > 0 {
			result = errFaulty
		}
	}
	return result
}

// check returns the faults of a text. It decodes the text as settings if isSettings reports true, else as a document.
func check(name string, text []byte) decoder.Faults {
	if isSettings(text) {
		_, faults := decoder.DecodeSettings(name, text)
		return faults
	}
	_, faults := decoder.DecodeDocument(name, text)
	return faults
}

// isSettings reports whether a text has a field that only settings have.
func isSettings(text []byte) bool {
	value, err := hujson.Parse(text)
	if err != nil {
		return false
	}
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		return false
	}
	for _, member := range object.Members {
		name, _ := member.Name.Value.(hujson.Literal)
		switch name.String() {
		case "CallerAddress", "OperatorAddress", "PeerAddress", "PlatformAddresses", "Seat":
			return true
		}
	}
	return false
}
