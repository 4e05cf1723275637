package soak

import (
	"context"
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does with the bytes of its connections.
type Mode int

// The modes; to a silent way bytes are taken and not handed on.
const (
	Pass Mode = iota
	Slow
	SilentTo   // towards the target
	SilentFrom // from the target
	Silent     // both ways
)

const (
	slowTime    = 150 * time.Millisecond // that Slow holds each piece back
	proxyPoll   = 20 * time.Millisecond  // between two looks at the mode
	proxyBuffer = 16 << 10
)

// Proxy hands connections on to a target and misbehaves when told to.
type Proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
}

// NewProxy returns a proxy that listens on a loopback port.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Proxy{target: target, listener: l, conns: make(map[net.Conn]bool)}, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the mode for all connections.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

// Reset resets all connections that are open.
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

// Run serves until x ends.
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

func (p *Proxy) serve(x context.Context, c net.Conn) {
	defer p.forget(c)
	var d net.Dialer
	t, err := d.DialContext(x, "tcp", p.target)
	if err != nil {
		return
	}
	defer p.forget(t)
	p.mu.Lock()
	p.conns[c], p.conns[t] = true, true
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	go func() { p.copy(x, t, c, SilentTo); done <- struct{}{} }()
	go func() { p.copy(x, c, t, SilentFrom); done <- struct{}{} }()
	<-done
	_ = c.Close()
	_ = t.Close()
	<-done
}

func (p *Proxy) forget(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// copy hands bytes on as the mode allows; way is the mode that silences it.
func (p *Proxy) copy(x context.Context, to, from net.Conn, way Mode) {
	b := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(b)
		for m := p.now(); m == Silent || m == way; m = p.now() {
			if x.Err() != nil {
				return
			}
			time.Sleep(proxyPoll)
		}
		if p.now() == Slow {
			time.Sleep(slowTime)
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

func (p *Proxy) now() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}
