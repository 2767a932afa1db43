//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client is one connection of a client.
type client struct {
	w      *world
	conn   *net.TCPConn
	reader *bufio.Reader
}

// dial opens a connection to the front of a daemon.
func (w *world) dial(g *gate) (*client, error) {
	conn, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{w: w, conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}, nil
}

// send sends a request without waiting for its answer.
func (c *client) send(method, path, id string, deadline int) error {
	c.w.note("client sends %s %s, id %s", method, path, id)
	_, err := fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: pupu76.example\r\nX-Carawaytiller-Request-Id: %s\r\nX-Carawaytiller-Request-Deadline: %d\r\n\r\n",
		method, path, id, deadline)
	return err
}

// answer is what a client got for a request. status is 0 if the connection ended without an answer.
type answer struct {
	status int
	header http.Header
	body   string
}

// receive reads the answer to a request.
func (c *client) receive(id string, within time.Duration) answer {
	_ = c.conn.SetReadDeadline(time.Now().Add(within))
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.w.note("client got no answer to id %s: %v", id, err)
		return answer{}
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		c.w.note("client got a part of an answer to id %s: %v", id, err)
		return answer{}
	}
	c.w.note("client got %d with stamp %q and %d bytes to id %s", resp.StatusCode, resp.Header.Get("X-Carawaytiller-Server-Stamp"), len(data), id)
	return answer{resp.StatusCode, resp.Header, string(data)}
}
