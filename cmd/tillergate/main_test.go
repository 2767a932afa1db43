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

const validSettings = `{"Node":"vm-1","Zone":"a-1","Region":"a","Listen":{"Front":"127.0.0.1:0","Ready":"127.0.0.1:0","Control":"127.0.0.1:0"},"Bounds":{"GraceS":4},"platform":{"Address":"127.0.0.1:1"}}`

// Wrong usage and invalid settings must end with exit code 2 and a message that names the fault.
func TestExecute(t *testing.T) {
	for _, tt := range []struct {
		name, settings string
		args           []string
		code           int
		output         string
	}{
		{"check", validSettings, []string{"check"}, exitDone, "settings of vm-1 in a-1 are valid"},
		{"help", validSettings, []string{"--help"}, exitDone, "--log-level"},
		{"no command", validSettings, nil, exitUsage, "run|check"},
		{"unknown command", validSettings, []string{"walk"}, exitUsage, `"walk"`},
		{"unknown level", validSettings, []string{"run", "--log-level", "loud"}, exitUsage, "loud"},
		{"settings that cannot be decoded", "{", []string{"run"}, exitUsage, "decode settings"},
		{"settings without an address", `{"Node":"vm-1"}`, []string{"check"}, exitUsage, "is missing"},
		{"negative memory", strings.Replace(validSettings, "{", `{"Limits":{"MemoryMb":-1},`, 1), []string{"check"}, exitUsage, "Limits.MemoryMb is -1, want 0 to"},
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

// Guards against a daemon that does not stop on a cancelled context when the store was never reachable.
func TestRunStops(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(validSettings), 0o600))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var stdout, stderr bytes.Buffer
	require.Equal(t, exitDone, execute(ctx, []string{"run"}, path, &stdout, &stderr), stderr.String())
	require.Contains(t, stdout.String(), "Daemon stopped")
}

// Changed settings must take effect on SIGHUP while the daemon runs. Invalid settings must be rejected
// and leave the previous ones in effect.
func TestReload(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, os.WriteFile(path, []byte(validSettings), 0o600))
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
	hup(strings.Replace(validSettings, `"GraceS":4`, `"GraceS":3`, 1), `"StopWithin":3000,"RestartNeeded":false`)
	renamed := strings.Replace(validSettings, "vm-1", "vm-2", 1)
	hup(renamed, `"RestartNeeded":true`)
	// A pending restart must stay reported when another setting changes afterwards.
	hup(strings.Replace(renamed, `"GraceS":4`, `"GraceS":2`, 1), `"StopWithin":2000,"RestartNeeded":true`)
	hup(strings.Replace(validSettings, `"GraceS":4`, `"GraceS":1`, 1), `"StopWithin":1000,"RestartNeeded":false`)
	cancel()
	require.Equal(t, exitDone, <-code)
}

// lockedBuffer is a buffer that may be written and read concurrently.
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
