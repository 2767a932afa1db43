package main

import (
	"strings"

	"github.com/go-faster/errors"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/platform"
	"github.com/carawaytiller/carawaytiller/faker"
)

// vmOption is a VM given on the command line as NAME,ADDRESS,DOMAIN.
type vmOption platform.VM

// UnmarshalFlag parses NAME,ADDRESS,DOMAIN.
func (o *vmOption) UnmarshalFlag(value string) error {
	parts := strings.Split(value, ",")
	if len(parts) != 3 {
		return errors.Errorf("%q has %d comma-separated parts, want 3 as in NAME,ADDRESS,DOMAIN", value, len(parts))
	}
	*o = vmOption{Name: parts[0], Address: parts[1], Domain: parts[2]}
	return nil
}

// listOptions are the settings of a list of VMs.
type listOptions struct {
	Lag int64      `long:"lag" value-name:"MILLIS" default:"0" description:"Milliseconds before a change shows"`
	VMs []vmOption `long:"vm" value-name:"NAME,ADDRESS,DOMAIN" description:"VM that is on the list at the start; may be repeated"`
}

// fill registers the VMs of the options and then sets the lag, so that these VMs show at once.
func (o listOptions) fill(list *faker.VMList) {
	for _, vm := range o.VMs {
		list.Register(platform.VM(vm))
	}
	list.SetFaults(faker.VMListFaults{LagMillis: tiller.Millis(o.Lag)})
}

// vmsCommand is the sub-command vms.
type vmsCommand struct {
	program *program
	Address listenOptions  `group:"Address options"`
	Control controlOptions `group:"Control options"`
	List    listOptions    `group:"List options"`
}

// Execute runs the list until the program is interrupted.
func (c *vmsCommand) Execute([]string) error {
	list, err := faker.NewVMList(tiller.SystemClock())
	if err != nil {
		return errors.Wrap(err, "create list of VMs")
	}
	defer list.Close()
	c.List.fill(list)
	address, err := list.Start(c.Address.Listen)
	if err != nil {
		return errors.Wrapf(err, "start list of VMs at %q", c.Address.Listen)
	}
	return c.program.serve(addresses{VMs: address}, c.Control.Control, list.Control())
}
