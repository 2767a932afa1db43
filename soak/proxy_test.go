package soak_test

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stretchr/testify/require"
)

// proxy forwards TCP connections to a target address and injects faults into them.
type proxy struct {
	address string
	target  string
	// delay is the time in nanoseconds by which each chunk of data is delayed.
	delay atomic.Int64
	// dropToTarget and dropFromTarget discard data to and from the target while the connections stay open.
	dropToTarget, dropFromTarget atomic.Bool
	mu                           sync.Mutex
	conns                        map[net.Conn]bool
}

func newProxy(t require.TestingT, target string, cleanup func(func())) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	cleanup(func() { _ = l.Close() })
	p := &proxy{address: l.Addr().String(), target: target, conns: make(map[net.Conn]bool)}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(conn)
		}
	}()
	return p
}

func (p *proxy) forward(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client] = true
	p.mu.Unlock()
	go p.copyData(server, client, &p.dropToTarget)
	p.copyData(client, server, &p.dropFromTarget)
	p.mu.Lock()
	delete(p.conns, client)
	p.mu.Unlock()
}

func (p *proxy) copyData(to, from net.Conn, drop *atomic.Bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		time.Sleep(time.Duration(p.delay.Load()))
		if drop.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// With a linger of 0, Close sends a TCP reset. The error is ignored because the connection may already be closed.
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}
