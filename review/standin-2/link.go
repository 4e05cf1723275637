package main

import (
	"net"
	"sync"
	"time"
)

const (
	// packetBytes is how many bytes a link carries at a time.
	packetBytes = 1400
	// lateMax is how late a sender may be without a loss of bandwidth: sleeps end late.
	lateMax = 20 * time.Millisecond
)

// link is the link of one machine, in the direction to it.
type link struct {
	bytesPerSecond float64

	mu   sync.Mutex
	free time.Time // when the link has carried what was sent
}

// carry returns when the link has carried n more bytes.
func (k *link) carry(n int) {
	k.mu.Lock()
	now := time.Now()
	if now.Sub(k.free) > lateMax {
		k.free = now
	}
	k.free = k.free.Add(time.Duration(float64(n) / k.bytesPerSecond * float64(time.Second)))
	t := k.free
	k.mu.Unlock()
	time.Sleep(time.Until(t))
}

// linkListener is a listener whose connections send over a link.
type linkListener struct {
	net.Listener
	link *link
}

// Accept implements net.Listener.
func (l linkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return linkConn{c, l.link}, nil
}

type linkConn struct {
	net.Conn
	link *link
}

// Write implements net.Conn.
func (c linkConn) Write(b []byte) (int, error) {
	n := 0
	for n < len(b) {
		m := min(packetBytes, len(b)-n)
		c.link.carry(m)
		k, err := c.Conn.Write(b[n : n+m])
		n += k
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
