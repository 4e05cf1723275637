package hoptest

import (
	"net"
	"sync"
	"time"
)

const (
	// linkPacketBytes is how many bytes a SlowLink carries at a time.
	linkPacketBytes = 1400
	// linkLateMax is how late a sender may be without a loss of bandwidth: sleeps end late.
	linkLateMax = 20 * time.Millisecond
)

// SlowLink is the link to a machine. All connections that it accepts share its rate.
type SlowLink struct {
	net.Listener
	BytesPerSecond float64

	mu   sync.Mutex
	free time.Time // when the link has carried what was sent
}

// Accept implements net.Listener.
func (l *SlowLink) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowConn{c, l}, nil
}

// carry waits until the link has carried n more bytes.
func (l *SlowLink) carry(n int) {
	l.mu.Lock()
	if now := time.Now(); now.Sub(l.free) > linkLateMax {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.BytesPerSecond * float64(time.Second)))
	t := l.free
	l.mu.Unlock()
	time.Sleep(time.Until(t))
}

type slowConn struct {
	net.Conn
	link *SlowLink
}

// Write implements net.Conn.
func (c slowConn) Write(b []byte) (int, error) {
	n := 0
	for n < len(b) {
		m := min(linkPacketBytes, len(b)-n)
		c.link.carry(m)
		k, err := c.Conn.Write(b[n : n+m])
		n += k
		if err != nil {
			return n, err
		}
	}
	return n, nil
}
