package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaytiller/carawaytiller/forwarder"
)

// The server must receive the confirmation byte if, and only if, the caller confirms. It must not mistake the
// end of the connection or the next request for a confirmation.
func TestConfirmation(t *testing.T) {
	for _, confirm := range []bool{true, false} {
		confirmed := make(chan bool, 1)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			require.NoError(t, err)
			require.Equal(t, "sub-query", string(body))
			conn, buffered, err := http.NewResponseController(w).Hijack()
			require.NoError(t, err)
			_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"))
			go func() {
				_, err := buffered.ReadByte()
				confirmed <- err == nil
			}()
			time.Sleep(20 * time.Millisecond)
			_, _ = conn.Write([]byte("reply"))
		}))
		c := newClient()
		resp, failure := c.Do(context.Background(), forwarder.Request{
			Address: strings.TrimPrefix(server.URL, "http://"), Method: "POST", URI: "/", Host: "h",
			Header: http.Header{}, Body: []byte("sub-query"), OnAccepted: func(send func()) {
				if confirm {
					send()
				}
			},
		})
		require.Nil(t, failure)
		require.Equal(t, "reply", string(resp.Body))
		require.Equal(t, confirm, <-confirmed)
		server.Close()
	}
}
