package soak

import (
	"context"
	"net"
	"sync"
	"time"
)

// Mode selects how a proxy treats the bytes of its connections.
type Mode int

// The modes. In a silent direction, bytes are read and held back until the mode
// changes.
const (
	Pass       Mode = iota // forward at once
	Slow                   // forward after slowDelay
	SilentTo               // towards the target
	SilentFrom             // from the target
	Silent                 // both directions
)

const (
	slowDelay        = 150 * time.Millisecond // before each chunk is forwarded
	modePollInterval = 20 * time.Millisecond  // between two checks of the mode in a silent direction
	proxyBufferBytes = 16 << 10
)

// Proxy forwards connections to a target and injects link faults by its mode.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool // open connections
}

// NewProxy returns a proxy to the target that listens on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Proxy{target: target, listener: l, conns: make(map[net.Conn]bool)}, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set sets the mode of all present and future connections.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// Reset closes all open connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Run accepts and forwards connections until x ends.
func (p *Proxy) Run(x context.Context) {
	var all sync.WaitGroup
	defer all.Wait()
	stop := context.AfterFunc(x, func() {
		_ = p.listener.Close()
		p.Reset()
	})
	defer stop()
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		all.Go(func() { p.serve(x, c) })
	}
}

// serve forwards bytes between c and a new connection to the target until
// either of them ends.
func (p *Proxy) serve(x context.Context, c net.Conn) {
	defer p.closeConn(c)
	var d net.Dialer
	t, err := d.DialContext(x, "tcp", p.target)
	if err != nil {
		return
	}
	defer p.closeConn(t)
	p.mu.Lock()
	p.conns[c], p.conns[t] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.forward(x, t, c, SilentTo); done <- struct{}{} }()
	go func() { p.forward(x, c, t, SilentFrom); done <- struct{}{} }()
	<-done
	_ = c.Close()
	_ = t.Close()
	<-done
}

// closeConn closes c and removes it from the open connections.
func (p *Proxy) closeConn(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// forward copies bytes between two connections as the mode allows. It holds them
// back while the mode is Silent or the one given as silent.
func (p *Proxy) forward(x context.Context, to, from net.Conn, silent Mode) {
	b := make([]byte, proxyBufferBytes)
	for {
		n, err := from.Read(b)
		for m := p.currentMode(); m == Silent || m == silent; m = p.currentMode() {
			if x.Err() != nil {
				return
			}
			time.Sleep(modePollInterval)
		}
		if p.currentMode() == Slow {
			time.Sleep(slowDelay)
		}
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}
