package dialer

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/api/upstream"
)

// Guards against an upstream in trouble whose response has no valid status: a body that looks like a refusal was taken
// for the promise that the request has not run.
func TestStatusThatIsNoAnswerMayHaveRun(t *testing.T) {
	const refusal = `{"Reason":"Shed","Ran":false}`
	body := fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(refusal), refusal)
	for name, reply := range map[string]string{
		"000":                 "HTTP/1.1 000 Trouble\r\n" + body,
		"000 before a reply":  "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 Service Unavailable\r\n" + body,
		"099 before a reply":  "HTTP/1.1 099 Trouble\r\nContent-Length: 0\r\n\r\nHTTP/1.1 503 Service Unavailable\r\n" + body,
		"101 before a reply":  "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nHTTP/1.1 503 Service Unavailable\r\n" + body,
		"600":                 "HTTP/1.1 600 Trouble\r\n" + body,
		"999 without a body":  "HTTP/1.1 999 Trouble\r\nContent-Length: 0\r\n\r\n",
		"000 of no length":    "HTTP/1.1 000 Trouble\r\nContent-Type: application/json\r\n\r\n" + refusal,
		"000 without a body":  "HTTP/1.1 000 Trouble\r\nContent-Length: 0\r\n\r\n",
		"101 without a reply": "HTTP/1.1 101 Switching Protocols\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			sound, err := upstream.NewServer(&fakeUpstream{search: echo})
			require.NoError(t, err)
			var searches atomic.Int64
			protocols := new(http.Protocols)
			protocols.SetHTTP1(true)
			closed := make(chan struct{})
			server := &http.Server{Protocols: protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method != http.MethodPost || searches.Add(1) > 1 {
					sound.ServeHTTP(w, r)
					return
				}
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return
				}
				_, _ = conn.Write([]byte(reply))
				// Read returns when the dialer closes the connection.
				_, _ = conn.Read(make([]byte, 1))
				_ = conn.Close()
				close(closed)
			})}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				_ = server.Serve(l)
			}()
			t.Cleanup(func() {
				_ = server.Close()
				<-ended
			})
			td := newTestDialer(t, l.Addr().String(), 1)
			start := time.Now()
			failure := td.sendFailure(t, t.Context(), td.attempt(1, 4*tiller.Second))
			require.Equal(t, tiller.MayHaveRun, failure.Verdict)
			require.Equal(t, tiller.ReasonMismatch, failure.Reason)
			require.Less(t, time.Since(start), 2*time.Second)
			select {
			case <-closed:
			case <-time.After(waitTimeout):
				require.Fail(t, "the connection stays open")
			}
			r, err := td.Send(t.Context(), td.attempt(2, tiller.Minute))
			require.NoError(t, err)
			require.EqualValues(t, 2, r.Attempt)
		})
	}
}
