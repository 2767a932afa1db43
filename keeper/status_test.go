package keeper

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/verifier"
)

// Guards against a store in trouble whose response has no valid status: a body that looks like an error of the store was
// taken for the promise that a write was not done.
func TestStoreStatusThatIsNoAnswerMayHaveRun(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = conn.Write([]byte("HTTP/1.1 " + status + " Trouble\r\nContent-Type: application/json\r\nContent-Length: 24\r\n\r\n{\"Reason\":\"RateLimited\"}"))
			_ = conn.Close()
		}))
		t.Cleanup(server.Close)
		p, err := Connect(server.Listener.Addr().String(), server.Client())
		require.NoError(t, err)
		_, err = p.Put(context.Background(), "key", "value", 0, 0)
		var failure *tiller.Failure
		require.ErrorAs(t, err, &failure)
		require.Equal(t, tiller.MayHaveRun, failure.Verdict, "%s: %v", status, err)
		require.ErrorIs(t, err, ErrUnavailable)
		require.Contains(t, err.Error(), verifier.ErrStatus.Error())
	}
}
