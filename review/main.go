//go:build review

package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases holds the cases by name. Each returns how often its rule was broken.
var cases = map[string]func(*world) (int, error){
	"twice":   twice,
	"leave":   leave,
	"refused": refused,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitFailed)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	broken, err := cases[os.Args[1]](w)
	code := exitHeld
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		code = exitFailed
	case broken > 0:
		w.note("the rule was broken %d times", broken)
		code = exitBroken
	default:
		w.note("the rule held")
	}
	w.close()
	os.Exit(code)
}
