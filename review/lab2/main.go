//go:build review2

// Command lab2 plays the scripted cases of the second review with the project's daemon and small stand-ins.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases holds the cases by name. A case returns true if the rule held.
var cases = map[string]func(w *world) bool{}

func main() {
	os.Exit(run())
}

func run() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab2 CASE RECORD")
		return exitNotRun
	}
	defer func() {
		if e := recover(); e != nil {
			fmt.Fprintln(os.Stderr, "not run:", e)
			code = exitNotRun
		}
	}()
	w := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	defer w.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-interrupted
		w.close()
		os.Exit(exitNotRun)
	}()
	if !cases[os.Args[1]](w) {
		w.note("the rule was broken")
		return exitBroken
	}
	w.note("the rule held")
	return exitHeld
}
