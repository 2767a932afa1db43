package commander_test

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/carawaytiller/carawaytiller/cmd/tillerctl/commander"
)

func ExampleCommander_Run() {
	in := strings.NewReader(`{"Environment": "trial", "Seats": 8, "Domains": [], "Upstreams": [], "Services": []}`)
	code := commander.New(in, os.Stdout, os.Stderr).Run(context.Background(), []string{"check", "-"})
	fmt.Println("exit code", code)
	// Output:
	// -:1:49: Domains: empty list
	// exit code 2
}
