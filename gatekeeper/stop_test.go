package gatekeeper_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A daemon is stopped in calm. Clients have connections without a request yet, and send their first requests all
// through the stop, to an upstream that takes longer than what is left of it in the end. Each request must get a whole
// answer, or must not have run: 503 promises that, and so does a connection that is closed before it was read.
func TestRequestsLateInAStopAreAnswered(t *testing.T) {
	for name, tt := range map[string]struct {
		method string
		delay  time.Duration
	}{"MustNotRunTwice": {"POST", 1200 * time.Millisecond}, "LongerThanTheStop": {"POST", 10 * time.Second}, "Gathered": {"GET", 1200 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			for _, u := range f.upstreams {
				u.SetDelay(tt.delay)
			}
			d := f.daemons[0]
			path := "/one/"
			if tt.method == "GET" {
				path = "/all/"
			}
			const requests = 60
			var wg sync.WaitGroup
			var mu sync.Mutex
			ends := make(map[string]int)
			// The end of the process closes all connections. In this test only Run ends.
			ended := make(chan struct{})
			start := time.Now()
			for i := range requests {
				conn, err := net.Dial("tcp", d.settings.FrontAddress)
				require.NoError(t, err)
				wg.Add(1)
				go func() {
					defer wg.Done()
					defer func() { _ = conn.Close() }()
					go func() {
						<-ended
						_ = conn.Close()
					}()
					time.Sleep(time.Until(start.Add(time.Duration(i) * 60 * time.Millisecond)))
					id := fmt.Sprintf("late-%d", i)
					_, _ = fmt.Fprintf(conn, "%s %s%d HTTP/1.1\r\nHost: h\r\nX-Carawaytiller-Request-Id: %s\r\nX-Carawaytiller-Request-Deadline: 20000\r\nContent-Length: 0\r\n\r\n", tt.method, path, i, id)
					end := "closed"
					if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
						_ = resp.Body.Close()
						end = fmt.Sprint(resp.StatusCode)
					}
					runs := 0
					for _, u := range f.upstreams {
						runs += u.Runs(id)
					}
					if runs > 0 && (end == "closed" || end == "503") {
						end += " although it ran"
					}
					mu.Lock()
					defer mu.Unlock()
					ends[end]++
				}()
			}
			d.stop()
			require.NoError(t, <-d.exited)
			close(ended)
			wg.Wait()
			require.Zero(t, ends["closed although it ran"], "%v", ends)
			require.Zero(t, ends["503 although it ran"], "%v", ends)
			require.GreaterOrEqual(t, ends["200"]+ends["504"]+ends["503"], requests/2, "%v", ends)
		})
	}
}
