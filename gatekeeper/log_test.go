package gatekeeper_test

import (
	"os"

	"github.com/go-logr/logr"

	"github.com/carawaytiller/carawaytiller/logger"
)

// testLog writes the daemons' logs if TILLER_TEST_LOG is set to a level.
var testLog = func() logr.Logger {
	log, err := logger.New(os.Stdout, os.Getenv("TILLER_TEST_LOG"))
	if err != nil {
		return logr.Discard()
	}
	return log
}()
