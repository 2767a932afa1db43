package forwarder_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
	"github.com/carawaytiller/carawaytiller/accountant"
	"github.com/carawaytiller/carawaytiller/forwarder"
)

// upstream answers request n, over all connections, with the nth reply, and repeats the last reply after that.
// "close" closes the connection; "hang" waits for more input and then closes it. A reply that contains "cut"
// is followed by the close of the connection. "ID" in a reply is replaced by the Id header of the request.
type upstream struct {
	address     string
	connections atomic.Int64
	requests    atomic.Int64
}

func newUpstream(t *testing.T, replies ...string) *upstream {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	u := &upstream{address: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			u.connections.Add(1)
			go u.serve(conn, replies)
		}
	}()
	return u
}

func (u *upstream) serve(conn net.Conn, replies []string) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		n := int(u.requests.Add(1))
		reply := replies[min(n, len(replies))-1]
		switch reply {
		case "close":
			return
		case "hang":
			_, _ = r.ReadByte()
			return
		}
		reply = strings.ReplaceAll(reply, "ID", req.Header.Get("Id"))
		if _, err := conn.Write([]byte(reply)); err != nil || strings.Contains(reply, "cut") {
			return
		}
	}
}

func newAccount() *accountant.Account { return accountant.New(64<<20, func(int64) {}) }

func newClient() *forwarder.Client {
	return forwarder.New(tiller.SystemClock(), newAccount(), func(h http.Header) string { return h.Get("Id") })
}

func (u *upstream) request(id string) forwarder.Request {
	return forwarder.Request{
		Address: u.address, Key: "u", Method: "GET", URI: "/a%2Fb?c", Host: "h", Header: http.Header{"Id": {id}}, ID: id,
	}
}

const completeResponse = "HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: 4\r\n\r\nbody"

// Do must return either a complete response to its own request, or a failure that tells whether the request may
// have run.
func TestDo(t *testing.T) {
	for _, tt := range []struct {
		name   string
		reply  string
		body   string
		reason tiller.Reason
		reused bool
	}{
		{"complete", completeResponse, "body", "", true},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "body", "", true},
		{"no length, delimited by close", "HTTP/1.1 200 OK\r\nX: cut\r\n\r\nbody", "body", "", false},
		{"Connection: close with the answer", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody", "body", "", false},
		{"interim answer first", "HTTP/1.1 103 Early Hints\r\n\r\n" + completeResponse, "body", "", true},
		{"bytes after the answer", completeResponse + completeResponse, "body", "", false},
		{"answer to another request", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 4\r\n\r\nbody", "", tiller.ReasonMismatch, false},
		{"shorter than Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nX: cut\r\n\r\nbody", "", tiller.ReasonConnectionLost, false},
		{"chunked without final chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: cut\r\n\r\n4\r\nbody\r\n", "", tiller.ReasonConnectionLost, false},
		{"no valid answer at all", "\x00\x01cut\r\n\r\n", "", tiller.ReasonConnectionLost, false},
		{"closed without a response", "close", "", tiller.ReasonConnectionLost, false},
	} {
		u, c := newUpstream(t, tt.reply, completeResponse), newClient()
		resp, failure := c.Do(context.Background(), u.request("1"))
		if tt.reason != "" {
			require.NotNil(t, failure, tt.name)
			require.Equal(t, tt.reason, failure.Reason, tt.name)
			require.Equal(t, tiller.MayHaveRun, failure.Verdict, tt.name)
		} else {
			require.Nil(t, failure, tt.name)
			require.Equal(t, tt.body, string(resp.Body), tt.name)
		}
		resp, failure = c.Do(context.Background(), u.request("2"))
		require.Nil(t, failure, tt.name)
		require.Equal(t, "body", string(resp.Body), tt.name)
		require.Equal(t, tt.reused, u.connections.Load() == 1, tt.name)
		require.Equal(t, tt.reused, !resp.Opened, tt.name)
	}
}

func TestConnectFailureIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	u := &upstream{address: l.Addr().String()}
	_, failure := newClient().Do(context.Background(), u.request("1"))
	require.Equal(t, tiller.ReasonConnectFailed, failure.Reason)
	require.Equal(t, tiller.NotRun, failure.Verdict)
}

// When its context ends, a request must be cancelled at the upstream by closing the connection.
func TestCancelClosesTheConnection(t *testing.T) {
	u, c := newUpstream(t, "hang", completeResponse), newClient()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, failure := c.Do(ctx, u.request("1"))
	require.Equal(t, tiller.ReasonTimeout, failure.Reason)
	require.Equal(t, tiller.MayHaveRun, failure.Verdict)
	_, failure = c.Do(context.Background(), u.request("2"))
	require.Nil(t, failure)
	require.EqualValues(t, 2, u.connections.Load())
}

// An idle connection that the upstream has closed, or on which it has sent bytes that belong to no request, must
// not carry another request.
func TestIdleConnectionIsChecked(t *testing.T) {
	for _, late := range []string{"", completeResponse} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer func() { _ = l.Close() }()
		go func() {
			for n := 0; ; n++ {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = conn.Write([]byte(strings.ReplaceAll(completeResponse, "ID", req.Header.Get("Id"))))
				if n == 0 && late == "" {
					_ = conn.Close()
				}
				if n == 0 && late != "" {
					time.Sleep(20 * time.Millisecond)
					_, _ = conn.Write([]byte(late))
				}
			}
		}()
		c := newClient()
		u := &upstream{address: l.Addr().String()}
		_, failure := c.Do(context.Background(), u.request("1"))
		require.Nil(t, failure)
		time.Sleep(60 * time.Millisecond)
		resp, failure := c.Do(context.Background(), u.request("2"))
		require.Nil(t, failure)
		require.True(t, resp.Opened)
	}
}

// In a large fleet two daemons may exchange no request for a minute, so a connection with KeepAlive set must be
// reused after that time. A connection to an upstream without a Keep-Alive timeout must not be.
func TestKeepAlive(t *testing.T) {
	for _, keepAlive := range []tiller.Millis{0, 2 * tiller.Minute} {
		u := newUpstream(t, completeResponse)
		now := tiller.Millis(1)
		clock := tiller.Clock{Now: func() tiller.Millis { return now }}
		c := forwarder.New(clock, newAccount(), func(h http.Header) string { return h.Get("Id") })
		for i := range 3 {
			r := u.request(strconv.Itoa(i))
			r.KeepAlive = keepAlive
			if i == 0 {
				c.Warm(r, 1)
				continue
			}
			now += tiller.Minute
			c.Sweep()
			resp, failure := c.Do(context.Background(), r)
			require.Nil(t, failure)
			require.Equal(t, keepAlive == 0, resp.Opened)
		}
	}
}

// An upstream may respond before it has read a long body. Do must then return the response without
// waiting for the write. It closes the connection, because no request may follow an incomplete body.
func TestEarlyResponseToLongBody(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	go func() {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 100))
		_, _ = conn.Write([]byte(completeResponse))
		select {}
	}()
	c := newClient()
	u := &upstream{address: l.Addr().String()}
	r := u.request("ID")
	r.Method, r.Body = "POST", make([]byte, 32<<20)
	resp, failure := c.Do(context.Background(), r)
	require.Nil(t, failure)
	require.Equal(t, 200, resp.Status)
}

// IsIdle must not wait for a goroutine that reads from the connection: net/http reads ahead while it serves a
// request.
func TestIsIdleDoesNotWaitForReaders(t *testing.T) {
	u := newUpstream(t, "hang")
	conn, err := net.Dial("tcp", u.address)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	go func() { _, _ = conn.Read(make([]byte, 1)) }()
	time.Sleep(20 * time.Millisecond)
	checked := make(chan bool)
	go func() { checked <- forwarder.IsIdle(conn) }()
	select {
	case idle := <-checked:
		require.True(t, idle)
	case <-time.After(2 * time.Second):
		t.Fatal("check did not return within 2 s while another goroutine reads")
	}
}
