package peer

import (
	"context"
	"net"
	"sync/atomic"
)

// Meter counts the bytes of control traffic. The zero value is ready to use.
type Meter struct {
	in  atomic.Int64
	out atomic.Int64
}

// In returns the bytes received so far.
func (m *Meter) In() int64 { return m.in.Load() }

// Out returns the bytes sent so far.
func (m *Meter) Out() int64 { return m.out.Load() }

// Listener returns l with the bytes of its connections counted.
func (m *Meter) Listener(l net.Listener) net.Listener { return meteredListener{l, m} }

// Dial returns d with the bytes of its connections counted.
func (m *Meter) Dial(d Dial) Dial {
	return func(x context.Context, n, a string) (net.Conn, error) {
		c, err := d(x, n, a)
		if err != nil {
			return nil, err
		}
		return &meteredConn{c, m}, nil
	}
}

type meteredListener struct {
	net.Listener
	m *Meter
}

// Accept implements net.Listener.
func (l meteredListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &meteredConn{c, l.m}, nil
}

type meteredConn struct {
	net.Conn
	m *Meter
}

// Read implements net.Conn.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.out.Add(int64(n))
	return n, err
}
