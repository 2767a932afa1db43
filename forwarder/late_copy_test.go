package forwarder_test

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	tiller "github.com/carawaytiller/carawaytiller"
)

// lateCopies is the number of requests of which the upstream sends a second copy of the answer before.
const lateCopies = 1000

// serveLateCopies answers each request on a connection, and sends a second copy of an answer at a random moment: with
// the answer, while the connection is idle, or when the next request has arrived.
func serveLateCopies(conn net.Conn, random *rand.Rand) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	late := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("Id")
		body := "body of " + id
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		if random.IntN(2) == 0 {
			answer = fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", id, len(body), body)
		}
		first := late + answer
		late = ""
		switch random.IntN(4) {
		case 0:
			first += answer
		case 1:
			if _, err := conn.Write([]byte(first)); err != nil {
				return
			}
			first = ""
			time.Sleep(time.Duration(random.IntN(300)) * time.Microsecond)
			if _, err := conn.Write([]byte(answer)); err != nil {
				return
			}
		case 2:
			late = answer
		}
		if _, err := conn.Write([]byte(first)); err != nil {
			return
		}
	}
}

// An upstream sends a second copy of an answer, late, on a connection that is in use again. The copy must never be
// given to the next request, and a connection with one must not be used again.
func TestLateCopyIsNeverGivenToAnother(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for seed := uint64(0); ; seed++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveLateCopies(conn, rand.New(rand.NewPCG(seed, 3)))
		}
	}()
	c := newClient()
	u := &upstream{address: l.Addr().String()}
	answered, mismatched := 0, 0
	for i := range lateCopies {
		id := fmt.Sprint("q-", i)
		resp, failure := c.Do(context.Background(), u.request(id))
		if failure == nil {
			answered++
			require.Equal(t, "body of "+id, string(resp.Body))
		} else {
			mismatched++
			require.Equal(t, tiller.MayHaveRun, failure.Verdict, "%v", failure)
		}
		time.Sleep(time.Duration(random.IntN(400)) * time.Microsecond)
	}
	require.GreaterOrEqual(t, answered, lateCopies/2)
	require.Positive(t, mismatched, "no copy was met where the answer is expected")
}

// serveRejectionCopies rejects the first request on a connection. It sends a second copy of the rejection late, where
// the answer to the second request on that connection is expected. All requests but the first ones run.
func serveRejectionCopies(conn net.Conn, ran func(id string)) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	rejection := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("Id")
		if rejection == "" {
			rejection = fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nContent-Length: 0\r\n\r\n", id)
			if _, err := conn.Write([]byte(rejection)); err != nil {
				return
			}
			continue
		}
		ran(id)
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n", id)
		if _, err := conn.Write([]byte(rejection + answer)); err != nil {
			return
		}
	}
}

// A late copy of a rejection must not be taken for the answer when the same request is sent again: that sending would
// count as not run although it runs, and the request would be sent a third time.
func TestLateCopyOfRejectionIsNotTakenForNextSending(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var mu sync.Mutex
	runs := make(map[string]int)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveRejectionCopies(conn, func(id string) {
				mu.Lock()
				defer mu.Unlock()
				runs[id]++
			})
		}
	}()
	c := newClient()
	u := &upstream{address: l.Addr().String()}
	for i := range 200 {
		id := fmt.Sprint("q-", i)
		for range 3 {
			resp, failure := c.Do(context.Background(), u.request(id))
			mu.Lock()
			ran := runs[id] > 0
			mu.Unlock()
			if failure != nil {
				require.Equal(t, tiller.MayHaveRun, failure.Verdict, "%v", failure)
				break
			}
			require.Equal(t, ran, resp.Status == http.StatusOK, "%s ran: %t, status %d", id, ran, resp.Status)
			if ran {
				break
			}
		}
	}
}
