package main

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const valid = `{"Node":"vm-1","Zone":"a-1","Region":"a","Listen":{"Front":"127.0.0.1:0","Ready":"127.0.0.1:0","Control":"127.0.0.1:0"},"Bounds":{"GraceS":4},"platform":{"Address":"127.0.0.1:1"}}`

// Wrong usage and settings end with exit code 2 and say what is wrong.
func TestExecute(t *testing.T) {
	for _, tt := range []struct {
		name, settings string
		args           []string
		code           int
		output         string
	}{
		{"check", valid, []string{"check"}, exitDone, "settings of vm-1 in a-1 are valid"},
		{"help", valid, []string{"--help"}, exitDone, "--log-level"},
		{"no command", valid, nil, exitUsage, "run|check"},
		{"unknown command", valid, []string{"walk"}, exitUsage, `"walk"`},
		{"unknown level", valid, []string{"run", "--log-level", "loud"}, exitUsage, "loud"},
		{"settings that cannot be decoded", "{", []string{"run"}, exitUsage, "decode settings"},
		{"settings without an address", `{"Node":"vm-1"}`, []string{"check"}, exitUsage, "is missing"},
		{"no settings file", "", []string{"run"}, exitUsage, "no such file"},
	} {
		path := filepath.Join(t.TempDir(), "settings.json")
		if tt.settings != "" {
			require.NoError(t, os.WriteFile(path, []byte(tt.settings), 0o600))
		}
		var stdout, stderr bytes.Buffer
		code := execute(context.Background(), tt.args, path, &stdout, &stderr)
		require.Equal(t, tt.code, code, tt.name)
		require.Contains(t, stdout.String()+stderr.String(), tt.output, tt.name)
	}
}

// A daemon that was never served by the store still stops when it is told to.
func TestRunStops(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(valid), 0o600))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var stdout, stderr bytes.Buffer
	require.Equal(t, exitDone, execute(ctx, []string{"run"}, path, &stdout, &stderr), stderr.String())
	require.Contains(t, stdout.String(), "Daemon stopped")
}

// Settings that change while the daemon runs must come into force with a signal, and settings that
// are not valid must not.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(valid), 0o600))
	ctx, cancel := context.WithCancel(context.Background())
	stdout := &lockedBuffer{}
	code := make(chan int)
	go func() { code <- execute(ctx, []string{"run"}, path, stdout, io.Discard) }()
	hup := func(settings, line string) {
		require.NoError(t, os.WriteFile(path, []byte(settings), 0o600))
		require.Eventually(t, func() bool {
			require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
			return strings.Contains(stdout.String(), line)
		}, 5*time.Second, 50*time.Millisecond, line)
	}
	require.Eventually(t, func() bool { return strings.Contains(stdout.String(), "Daemon started") }, 5*time.Second, 5*time.Millisecond)
	hup("{", "the old ones stay in force")
	hup(strings.Replace(valid, `"GraceS":4`, `"GraceS":3`, 1), `"StopWithin":3000,"RestartNeeded":false`)
	renamed := strings.Replace(valid, "vm-1", "vm-2", 1)
	hup(renamed, `"RestartNeeded":true`)
	// What waits for a restart still waits when something else changes after it.
	hup(strings.Replace(renamed, `"GraceS":4`, `"GraceS":2`, 1), `"StopWithin":2000,"RestartNeeded":true`)
	hup(strings.Replace(valid, `"GraceS":4`, `"GraceS":1`, 1), `"StopWithin":1000,"RestartNeeded":false`)
	cancel()
	require.Equal(t, exitDone, <-code)
}

// lockedBuffer is a buffer that is written and read at the same time.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}
