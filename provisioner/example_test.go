package provisioner_test

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/operator"
	"github.com/carawaytiller/carawaytiller/provisioner"
	"github.com/carawaytiller/carawaytiller/server"
)

func ExampleNew() {
	_, err := provisioner.New(provisioner.Config{VM: "vm-1"})
	fmt.Println(err)
	// Output: no address of the platform
}

func ExampleProvisioner_PutDocument() {
	p, err := provisioner.New(provisioner.Config{
		VM: "vm-1", Domain: "Burnaby", Environment: "trial", Address: "127.0.0.1:7002",
		PlatformAddresses: []string{"127.0.0.1:7000"},
		Clock:             tiller.SystemClock(),
		Log:               logr.Discard(),
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	// PutDocument checks the document before it calls the store.
	_, err = p.PutDocument(context.Background(), "trial", &operator.Change{
		Operation: "first", Operator: "ada", Text: `{"Environment": "trial", "Seats": 0, "Domains": []}`,
	})
	var refused *server.OperatorError
	if errors.As(err, &refused) {
		fmt.Println(refused.Body.Verdict, refused.Body.Reason)
		for _, fault := range refused.Body.Faults {
			fmt.Println(fault)
		}
	}
	// Output:
	// NotRun BadDocument
	// 1:1: Services: missing required field
	// 1:1: Upstreams: missing required field
	// 1:35: Seats: 0 is less than 1
	// 1:49: Domains: empty list
}
