package logger_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/logger"
)

// TestNewWritesJSONLines guards against a line that a log collector cannot parse or whose time it cannot read.
func TestNewWritesJSONLines(t *testing.T) {
	var b bytes.Buffer
	log, err := logger.New(&b, "info")
	require.NoError(t, err)
	log.WithName("server").Error(errors.New("broken\npipe"), "Cannot reply", "Seat", 3)

	var line map[string]any
	require.Equal(t, 1, strings.Count(b.String(), "\n"))
	require.NoError(t, json.Unmarshal(b.Bytes(), &line))
	at, err := time.Parse(time.RFC3339Nano, line["Time"].(string))
	require.NoError(t, err)
	require.WithinDuration(t, time.Now(), at, time.Minute)
	require.Contains(t, line["ErrorVerbose"], "TestNewWritesJSONLines")
	delete(line, "Time")
	delete(line, "ErrorVerbose")
	require.Equal(t, map[string]any{
		"Level": "error", "Logger": "server", "Message": "Cannot reply", "Error": "broken\npipe", "Seat": 3.0,
	}, line)
}

// TestNewFiltersByLevel guards against a level that omits error lines or includes lines below it.
func TestNewFiltersByLevel(t *testing.T) {
	tests := []struct {
		level string
		lines int
	}{{"debug", 3}, {"info", 2}, {"warn", 1}, {"error", 1}}
	for _, test := range tests {
		var b bytes.Buffer
		log, err := logger.New(&b, test.level)
		require.NoError(t, err)
		log.V(1).Info("detail")
		log.Info("event")
		log.Error(nil, "failure")
		require.Equal(t, test.lines, strings.Count(b.String(), "\n"), test.level)
	}
	_, err := logger.New(&bytes.Buffer{}, "loud")
	require.EqualError(t, err, `unknown log level "loud"`)
}
