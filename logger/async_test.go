package logger_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/logger"
)

// blockingWriter is a writer whose Write blocks until release is closed.
type blockingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	b       bytes.Buffer
}

func (w *blockingWriter) Write(line []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.b.Write(line)
}

// Guards against logging that blocks requests when nothing reads the log.
func TestAsyncNeverBlocks(t *testing.T) {
	w := &blockingWriter{release: make(chan struct{})}
	a := logger.NewAsync(w, 2)
	for range 10 {
		_, err := a.Write([]byte("line\n"))
		require.NoError(t, err)
	}
	require.GreaterOrEqual(t, a.Dropped(), int64(7))
	close(w.release)
	a.Close()
	require.GreaterOrEqual(t, strings.Count(w.b.String(), "line"), 2)
}

// Guards against a crash when a goroutine still logs after Close, while the process ends.
func TestAsyncWriteAfterClose(t *testing.T) {
	a := logger.NewAsync(&bytes.Buffer{}, 2)
	a.Close()
	for range 5 {
		_, err := a.Write([]byte("late\n"))
		require.NoError(t, err)
	}
}
