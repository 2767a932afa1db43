package accountant_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carawaytiller/carawaytiller/accountant"
)

// Many small messages must be received while a few senders without end take all memory that they get. Each time there
// is no room, the largest message is cut off, and it is never a small one.
func TestLargestMessageIsCutOff(t *testing.T) {
	const limit, small = 1000, 10
	a := accountant.New(limit, func(bytes int64) { require.Greater(t, bytes, int64(small)) })
	var endless [4]*accountant.Holding
	for i := range endless {
		endless[i] = a.Open(func() {})
	}
	for round := range 200 {
		var messages []*accountant.Holding
		for range 20 {
			m := a.Open(func() { t.Fatal("a small message was cut off") })
			require.NoError(t, m.Add(small))
			messages = append(messages, m)
			for i, e := range endless {
				if e.Add(60) != nil {
					endless[i] = a.Open(func() {})
				}
			}
			require.LessOrEqual(t, a.Held(), int64(limit))
		}
		require.Greater(t, a.Held(), int64(limit/2), "round %d", round)
		for _, m := range messages {
			m.Release()
		}
	}
}

// The sum of all holdings must stay within the limit, each is cut off at most once, and no bytes are left when all are
// released.
func TestAccountStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 1000).Draw(t, "limit")
		a := accountant.New(limit, func(int64) {})
		aborted := make(map[int]int)
		var all []*accountant.Holding
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(all) == 0 || rapid.IntRange(0, 4).Draw(t, "open") == 0 {
				i := len(all)
				all = append(all, a.Open(func() { aborted[i]++ }))
				continue
			}
			i := rapid.IntRange(0, len(all)-1).Draw(t, "holding")
			switch h := all[i]; rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				h.Release()
				require.True(t, h.WasCut())
			case 1:
				h.Protect()
			case 2:
				h.Reset()
			default:
				cut := h.WasCut()
				err := h.Add(rapid.Int64Range(0, 400).Draw(t, "bytes"))
				require.Equal(t, h.WasCut(), err != nil)
				require.False(t, cut && err == nil)
			}
			require.LessOrEqual(t, a.Held(), limit)
			require.GreaterOrEqual(t, a.Held(), int64(0))
		}
		for i, h := range all {
			h.Release()
			require.LessOrEqual(t, aborted[i], 1)
		}
		require.Zero(t, a.Held())
	})
}

// A complete message must not be cut off for others, and what is in memory already must count.
func TestProtectedMessageIsKept(t *testing.T) {
	a := accountant.New(100, func(int64) {})
	whole, growing, answer := a.Open(func() { t.Fatal("cut off") }), a.Open(func() {}), a.Open(func() {})
	require.NoError(t, whole.Add(90))
	whole.Protect()
	require.ErrorIs(t, growing.Add(20), accountant.ErrLimit)
	answer.AddHeld(50)
	require.EqualValues(t, 140, a.Held())
	whole.Reset()
	require.NoError(t, whole.Add(50))
	require.EqualValues(t, 100, a.Held())
}

// endlessReader returns bytes without end.
type endlessReader struct{ repeat string }

func (r endlessReader) Read(p []byte) (int, error) {
	return copy(p, strings.Repeat(r.repeat, 1+len(p)/len(r.repeat))), nil
}

// Clients that send requests without end, in heads or in bodies, must not take more memory than the limit, also many at
// a time and in each kind of server, and other clients must be served.
func TestEndlessRequestsStayWithinLimit(t *testing.T) {
	const limit, senders = 2 << 20, 48
	var cuts atomic.Int64
	a := accountant.New(limit, func(int64) { cuts.Add(1) })
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err == nil {
			w.WriteHeader(http.StatusNoContent)
		}
	})
	server := httptest.NewUnstartedServer(handler)
	server.Listener = accountant.NewListener(server.Listener, a)
	server.Config.ConnState = accountant.StateChanged
	server.Start()
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	starts := []string{
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nX-A: ",
		"",
	}
	for i := range senders {
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		go func() {
			if _, err := io.WriteString(conn, starts[i%len(starts)]); err == nil {
				_, _ = io.Copy(conn, endlessReader{"x"})
			}
		}()
	}
	client := &http.Client{Timeout: 5 * time.Second}
	for until := time.Now().Add(500 * time.Millisecond); time.Now().Before(until) || cuts.Load() == 0; {
		resp, err := client.Post("http://"+address, "text/plain", strings.NewReader("small"))
		require.NoError(t, err)
		require.Equal(t, http.StatusNoContent, resp.StatusCode)
		require.NoError(t, resp.Body.Close())
		require.LessOrEqual(t, a.Held(), int64(limit))
	}
	server.CloseClientConnections()
	require.Eventually(t, func() bool { return a.Held() == 0 }, 5*time.Second, time.Millisecond, "bytes are left")
}

// A read of the store must get its room while many senders without end take all that is left, although it is larger
// than any of them: without it the daemon cannot serve at all. It is cut off only beyond the limit.
func TestProtectedMessageGetsItsRoom(t *testing.T) {
	const limit, page, pages = 1000, 10, 90
	a := accountant.New(limit, func(int64) {})
	var endless [16]*accountant.Holding
	for i := range endless {
		endless[i] = a.Open(func() {})
	}
	store := a.Open(func() { t.Fatal("the read was cut off for another") })
	store.Protect()
	for range pages {
		require.NoError(t, store.Add(page))
		for i, e := range endless {
			if e.Add(page) != nil {
				endless[i] = a.Open(func() {})
			}
		}
		require.LessOrEqual(t, a.Held(), int64(limit))
	}
	require.ErrorIs(t, store.Add(limit), accountant.ErrLimit)
}

func Example() {
	a := accountant.New(100, func(bytes int64) { fmt.Println("cut off", bytes) })
	large, small := a.Open(func() { fmt.Println("close the connection") }), a.Open(func() {})
	fmt.Println(large.Add(90), small.Add(20))
	fmt.Println(large.Add(1))
	fmt.Println(a.Held())
	// Output:
	// cut off 90
	// close the connection
	// <nil> <nil>
	// memory limit for received messages reached
	// 20
}
