// Command lab3 runs the cases of the third review: the project's daemons as processes, beside stand-ins of the platform's
// store, backends and clients, all on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	wantedWords = 3
)

// cases maps the name of a case to its function, which reports whether the rule was broken. Without trouble it runs the
// same without the disruption.
var cases = map[string]func(w *world, trouble bool) (bool, error){
	"restore": restore,
	"memory":  memory,
	"writer":  writer,
	"timer":   timer,
}

func main() { os.Exit(execute()) }

func execute() int {
	if len(os.Args) != wantedWords || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE RECORD")
		return exitNotRun
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer w.close()
	go w.closeEarly()
	broken, err := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		return exitNotRun
	case broken:
		w.note("the rule was broken")
		return exitBroken
	}
	w.note("the rule held")
	return exitHeld
}

// longestRun bounds the time of a case.
const longestRun = 112 * time.Second

// closeEarly ends a run that takes too long or is interrupted.
func (w *world) closeEarly() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	select {
	case <-interrupted:
	case <-time.After(longestRun):
	}
	w.note("the run was ended early")
	w.close()
	os.Exit(exitNotRun)
}
