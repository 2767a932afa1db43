package commander_test

import (
	"context"
	"fmt"
	"os"

	"github.com/carawaytiller/carawaytiller/cmd/tillerload/commander"
)

func ExampleCommander_Run() {
	code := commander.New(os.Stdout, os.Stdout).Run(context.Background(), []string{"--rate", "-5"})
	fmt.Println("exit code", code)
	// Output:
	// tillerload: --rate -5: not above 0 and up to 100000
	// exit code 2
}
