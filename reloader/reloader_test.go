package reloader_test

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/reloader"
)

// startReloader runs a Reloader for a file that contains "old". The channel applied receives the contents that it
// applies; the contents "wrong" are not valid.
func startReloader(t *testing.T, poll tiller.Millis) (path string, signals chan os.Signal, applied chan string) {
	path = filepath.Join(t.TempDir(), "settings")
	require.NoError(t, os.WriteFile(path, []byte("old"), 0o600))
	signals, applied = make(chan os.Signal, 1), make(chan string, 8)
	r := reloader.New(path, []byte("old"), logr.Discard(), func(contents []byte) error {
		applied <- string(contents)
		if string(contents) == "wrong" {
			return errors.New("wrong")
		}
		return nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		r.Run(ctx, poll, signals)
		close(ended)
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return path, signals, applied
}

func waitApplied(t *testing.T, applied chan string) string {
	select {
	case contents := <-applied:
		return contents
	case <-time.After(5 * time.Second):
		t.Fatal("nothing was applied within 5 s")
		return ""
	}
}

// Guards against settings that change without a signal and are not applied, here after the file was absent briefly.
func TestChangeWithoutSignal(t *testing.T) {
	path, _, applied := startReloader(t, 10)
	require.NoError(t, os.Remove(path))
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, os.WriteFile(path, []byte("new"), 0o600))
	require.Equal(t, "new", waitApplied(t, applied))
}

// Guards against a signal that does not apply a change before the next poll, and against invalid contents that end
// the watch.
func TestChangeWithSignal(t *testing.T) {
	path, signals, applied := startReloader(t, tiller.Minute)
	require.NoError(t, os.WriteFile(path, []byte("wrong"), 0o600))
	signals <- syscall.SIGHUP
	require.Equal(t, "wrong", waitApplied(t, applied))
	require.NoError(t, os.WriteFile(path, []byte("new"), 0o600))
	signals <- syscall.SIGHUP
	require.Equal(t, "new", waitApplied(t, applied))
}

// Guards against a signal that applies unchanged contents.
func TestSignalWithoutChange(t *testing.T) {
	path, signals, applied := startReloader(t, tiller.Minute)
	signals <- syscall.SIGHUP
	require.Eventually(t, func() bool { return len(signals) == 0 }, 5*time.Second, time.Millisecond)
	require.NoError(t, os.WriteFile(path, []byte("new"), 0o600))
	signals <- syscall.SIGHUP
	require.Equal(t, "new", waitApplied(t, applied))
	require.Empty(t, applied)
}
