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
	"github.com/carawaytiller/carawaytiller/cataloger"
	"github.com/carawaytiller/carawaytiller/executor"
	"github.com/carawaytiller/carawaytiller/forwarder"
	"github.com/carawaytiller/carawaytiller/gatherer"
	"github.com/carawaytiller/carawaytiller/receiver"
)

// newPeer returns the address of a daemon that knows one shard, whose upstream is silent.
func newPeer(t *testing.T) (string, *executor.Executor) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	clock := tiller.SystemClock()
	client := forwarder.New(clock, func(http.Header) string { return "" })
	codec := executor.Codec{
		Outgoing: func(http.Header, tiller.Millis, string) {},
		Incoming: func(forwarder.Response) gatherer.Answer { return gatherer.Answer{} },
	}
	observer := executor.Observer{Effect: func(gatherer.Effect) {}, Answer: func(tiller.Millis, bool) {}}
	x := executor.New(clock, client, codec, observer, gatherer.New(gatherer.Settings{VM: "vm-1", Domain: "a-1", Region: "a"}))
	x.Step(gatherer.ConfigurationChanged{Configuration: cataloger.New(1, cataloger.Limits{}, nil, nil)})
	x.Step(gatherer.UpstreamChanged{Upstream: cataloger.Upstream{ID: "u-1", Service: "shard", Address: silent.Addr().String(), Domain: "a-1", Region: "a"}})
	h := receiver.New(x, receiver.Codec{}, func() cataloger.Limits { return cataloger.Limits{} }, func(tiller.Reason) {})
	server := httptest.NewServer(http.HandlerFunc(h.ServeSubQuery))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), x
}

// asker sends sub-queries over one connection.
type asker struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func newAsker(t *testing.T, address string) *asker {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	return &asker{t: t, conn: conn, reader: bufio.NewReader(conn)}
}

// ask sends a sub-query for a shard and returns the header of its answer.
func (a *asker) ask(shard string, left tiller.Millis) *http.Response {
	body, err := cbor.Marshal(executor.SubQuery{
		Request: executor.Request{ID: "q", Method: "GET", URI: "/"},
		Terms:   gatherer.SubQuery{Shards: []string{shard}, TopK: 1, Attempts: 2, Target: left, Timeout: left},
	})
	require.NoError(a.t, err)
	r, err := http.NewRequest(http.MethodPost, "http://peer/", bytes.NewReader(body))
	require.NoError(a.t, err)
	require.NoError(a.t, r.Write(a.conn))
	resp, err := http.ReadResponse(a.reader, r)
	require.NoError(a.t, err)
	return resp
}

func (a *asker) confirm() {
	_, err := a.conn.Write([]byte{1})
	require.NoError(a.t, err)
}

func (a *asker) reply(resp *http.Response) gatherer.SubReply {
	body, err := io.ReadAll(resp.Body)
	require.NoError(a.t, err)
	var reply gatherer.SubReply
	require.NoError(a.t, cbor.Unmarshal(body, &reply))
	return reply
}

// A confirmation may cross the end of the answer, and must not cost the connection.
func TestConfirmationCrossesTheReply(t *testing.T) {
	address, _ := newPeer(t)
	a := newAsker(t, address)
	for _, late := range []bool{false, true, true, false, true} {
		resp := a.ask("unknown", 100)
		if !late {
			a.confirm()
		}
		require.True(t, a.reply(resp).NoCapacity)
		if late {
			time.Sleep(10 * time.Millisecond)
			a.confirm()
		}
	}
}

// The header must come before the sub-query has ended, and a daemon that leaves must end it.
func TestAskerLeaves(t *testing.T) {
	address, x := newPeer(t)
	busy := func() (n int) {
		x.Read(func(s *gatherer.State) { n = s.ActiveQueries() })
		return n
	}
	for _, confirmed := range []bool{false, true} {
		a := newAsker(t, address)
		a.ask("shard", 60*tiller.Second)
		require.Eventually(t, func() bool { return busy() == 1 }, 5*time.Second, time.Millisecond)
		if confirmed {
			a.confirm()
			time.Sleep(20 * time.Millisecond)
		}
		require.NoError(t, a.conn.Close())
		require.Eventually(t, func() bool { return busy() == 0 }, 5*time.Second, time.Millisecond, confirmed)
	}
}
