package soak_test

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stretchr/testify/require"
)

// proxy carries connections to an address and injects faults into them.
type proxy struct {
	address string
	target  string
	// delay is added to each piece of data, in nanoseconds.
	delay atomic.Int64
	// silentTo and silentFrom swallow data to and from the target; the connections stay open.
	silentTo, silentFrom atomic.Bool
	mu                   sync.Mutex
	conns                map[net.Conn]bool
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
			go p.carry(conn)
		}
	}()
	return p
}

func (p *proxy) carry(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client] = true
	p.mu.Unlock()
	go p.copy(server, client, &p.silentTo)
	p.copy(client, server, &p.silentFrom)
	p.mu.Lock()
	delete(p.conns, client)
	p.mu.Unlock()
}

func (p *proxy) copy(to, from net.Conn, silent *atomic.Bool) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		time.Sleep(time.Duration(p.delay.Load()))
		if silent.Load() {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// reset ends all connections without a farewell.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// A linger of 0 sends a reset; the connection may be closed already.
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}
