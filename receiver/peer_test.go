package receiver_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/accountant"
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/executor"
	"github.com/carawaytiller/carawaytiller/forwarder"
	"github.com/carawaytiller/carawaytiller/gatherer"
	"github.com/carawaytiller/carawaytiller/receiver"
)

// newPeer starts a daemon with one shard, whose upstream never responds, and returns its address and executor.
func newPeer(t *testing.T) (string, *executor.Executor) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	clock := tiller.SystemClock()
	account := accountant.New(1<<20, func(int64) {})
	client := forwarder.New(clock, account, func(http.Header) string { return "" })
	codec := executor.Codec{
		Outgoing: func(http.Header, tiller.Millis, string) {},
		Incoming: func(forwarder.Response) gatherer.Answer { return gatherer.Answer{} },
	}
	observer := executor.Observer{Effect: func(gatherer.Effect) {}, Answer: func(tiller.Millis, bool) {}}
	x := executor.New(clock, client, codec, observer, gatherer.New(gatherer.Settings{VM: "vm-1", Domain: "a-1", Region: "a"}))
	x.Step(gatherer.ConfigurationChanged{Configuration: cataloger.New(1, cataloger.Limits{}, nil, nil)})
	x.Step(gatherer.UpstreamChanged{Upstream: cataloger.Upstream{ID: "u-1", Service: "shard", Address: silent.Addr().String(), Domain: "a-1", Region: "a"}})
	h := receiver.New(x, receiver.Codec{}, account, func() cataloger.Limits { return cataloger.Limits{} }, func(tiller.Reason) {})
	server := httptest.NewUnstartedServer(http.HandlerFunc(h.ServeSubQuery))
	server.Listener = accountant.NewListener(server.Listener, account)
	server.Start()
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), x
}

// subQueryClient sends sub-queries over one connection.
type subQueryClient struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func newSubQueryClient(t *testing.T, address string) *subQueryClient {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	return &subQueryClient{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// send sends a sub-query for a shard and returns the response, with its body unread.
func (c *subQueryClient) send(shard string, remaining tiller.Millis) *http.Response {
	body, err := cbor.Marshal(executor.SubQuery{
		Request: executor.Request{ID: "q", Method: "GET", URI: "/"},
		Terms:   gatherer.SubQuery{Shards: []string{shard}, TopK: 1, Attempts: 2, Target: remaining, Timeout: remaining},
	})
	require.NoError(c.t, err)
	r, err := http.NewRequest(http.MethodPost, "http://peer/", bytes.NewReader(body))
	require.NoError(c.t, err)
	require.NoError(c.t, r.Write(c.conn))
	resp, err := http.ReadResponse(c.reader, r)
	require.NoError(c.t, err)
	return resp
}

func (c *subQueryClient) confirm() {
	_, err := c.conn.Write([]byte{1})
	require.NoError(c.t, err)
}

func (c *subQueryClient) readReply(resp *http.Response) gatherer.SubReply {
	body, err := io.ReadAll(resp.Body)
	require.NoError(c.t, err)
	var reply gatherer.SubReply
	require.NoError(c.t, cbor.Unmarshal(body, &reply))
	return reply
}

// A confirmation may arrive after the response is complete. The connection must remain usable for the next
// sub-query.
func TestLateConfirmationKeepsConnection(t *testing.T) {
	address, _ := newPeer(t)
	c := newSubQueryClient(t, address)
	for _, confirmLate := range []bool{false, true, true, false, true} {
		resp := c.send("unknown", 100)
		if !confirmLate {
			c.confirm()
		}
		require.True(t, c.readReply(resp).NoCapacity)
		if confirmLate {
			time.Sleep(10 * time.Millisecond)
			c.confirm()
		}
	}
}

// The response header must arrive before the sub-query has ended, and the sub-query must be abandoned when the
// daemon that sent it closes the connection, whether or not it has confirmed.
func TestPeerDisconnectAbandonsSubQuery(t *testing.T) {
	address, x := newPeer(t)
	busy := func() (n int) {
		x.Read(func(s *gatherer.State) { n = s.ActiveQueries() })
		return n
	}
	for _, confirmed := range []bool{false, true} {
		c := newSubQueryClient(t, address)
		c.send("shard", 60*tiller.Second)
		require.Eventually(t, func() bool { return busy() == 1 }, 5*time.Second, time.Millisecond)
		if confirmed {
			c.confirm()
			time.Sleep(20 * time.Millisecond)
		}
		require.NoError(t, c.conn.Close())
		require.Eventually(t, func() bool { return busy() == 0 }, 5*time.Second, time.Millisecond, confirmed)
	}
}
