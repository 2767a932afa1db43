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

// start runs a Reloader of a file that holds "old" and returns what it applies.
func start(t *testing.T, poll tiller.Millis) (path string, signals chan os.Signal, applied chan string) {
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

func next(t *testing.T, applied chan string) string {
	select {
	case contents := <-applied:
		return contents
	case <-time.After(5 * time.Second):
		t.Fatal("nothing was applied")
		return ""
	}
}

// Settings that change without a signal must come into force all the same.
func TestSilentChange(t *testing.T) {
	path, _, applied := start(t, 10)
	require.NoError(t, os.Remove(path))
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, os.WriteFile(path, []byte("new"), 0o600))
	require.Equal(t, "new", next(t, applied))
}

// A signal brings a change into force at once, and contents that are not valid do not end the watch.
func TestSignal(t *testing.T) {
	path, signals, applied := start(t, tiller.Minute)
	require.NoError(t, os.WriteFile(path, []byte("wrong"), 0o600))
	signals <- syscall.SIGHUP
	require.Equal(t, "wrong", next(t, applied))
	require.NoError(t, os.WriteFile(path, []byte("new"), 0o600))
	signals <- syscall.SIGHUP
	require.Equal(t, "new", next(t, applied))
}

// A signal without a change applies nothing.
func TestUnchanged(t *testing.T) {
	path, signals, applied := start(t, tiller.Minute)
	signals <- syscall.SIGHUP
	require.Eventually(t, func() bool { return len(signals) == 0 }, 5*time.Second, time.Millisecond)
	require.NoError(t, os.WriteFile(path, []byte("new"), 0o600))
	signals <- syscall.SIGHUP
	require.Equal(t, "new", next(t, applied))
	require.Empty(t, applied)
}
