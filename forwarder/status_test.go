package forwarder_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
)

// Guards against an upstream in trouble whose response has no valid status: the client got it, or what followed it, as
// the answer, or waited until its deadline.
func TestStatusThatIsNoAnswerFailsAtOnce(t *testing.T) {
	const inside = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfake"
	for name, reply := range map[string]string{
		"000 without a body":            "HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n",
		"000 with a body":               "HTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\nbody",
		"000 with a body of no length":  "HTTP/1.1 000 Trouble\r\n\r\nbody",
		"000 with an answer as body":    "HTTP/1.1 000 Trouble\r\nContent-Length: 42\r\n\r\n" + inside,
		"000 before an answer":          "HTTP/1.1 000 Trouble\r\n\r\n" + completeResponse,
		"099 before an answer":          "HTTP/1.1 099 Trouble\r\n\r\n" + completeResponse,
		"101 before an answer":          "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n" + completeResponse,
		"101 alone":                     "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"interim with an answer inside": "HTTP/1.1 103 Early Hints\r\nContent-Length: 42\r\n\r\n" + inside + completeResponse,
		"interim in chunks":             "HTTP/1.1 102 Processing\r\nTransfer-Encoding: chunked\r\n\r\n2a\r\n" + inside + "\r\n0\r\n\r\n" + completeResponse,
		"interim before 000":            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Trouble\r\nContent-Length: 4\r\n\r\nbody",
		"600":                           "HTTP/1.1 600 Trouble\r\nId: ID\r\nContent-Length: 4\r\n\r\nbody",
		"999":                           "HTTP/1.1 999 Trouble\r\nId: ID\r\nContent-Length: 4\r\n\r\nbody",
		"000 with the ID of another":    "HTTP/1.1 000 Trouble\r\nId: other\r\nContent-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			u, c := newUpstream(t, reply, completeResponse), newClient()
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			start := time.Now()
			resp, failure := c.Do(ctx, u.request("1"))
			require.NotNil(t, failure, "status %d, body %q", resp.Status, resp.Body)
			require.Equal(t, tiller.MayHaveRun, failure.Verdict)
			require.Equal(t, tiller.ReasonMismatch, failure.Reason)
			require.Less(t, time.Since(start), time.Second)
			resp, failure = c.Do(context.Background(), u.request("2"))
			require.Nil(t, failure)
			require.Equal(t, "body", string(resp.Body))
			require.True(t, resp.Opened, "the connection was used again")
		})
	}
}

// The statuses next to the invalid ones are answers, and interim responses before them are skipped.
func TestStatusAtTheBoundsIsAnAnswer(t *testing.T) {
	for reply, status := range map[string]int{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody":                                                   200,
		"HTTP/1.1 599 Trouble\r\nContent-Length: 4\r\n\r\nbody":                                              599,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 X\r\n\r\nHTTP/1.1 201 C\r\nContent-Length: 4\r\n\r\nbody": 201,
		"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n" + completeResponse:                              200,
	} {
		u, c := newUpstream(t, reply, completeResponse), newClient()
		resp, failure := c.Do(context.Background(), u.request("1"))
		require.Nil(t, failure, reply)
		require.Equal(t, status, resp.Status)
		require.Equal(t, "body", string(resp.Body))
	}
}
