package daemon

import (
	"io"
	"net"
	"sync"
	"testing"
)

// TestDrainingListenerServesItsQueue guards against a drain that resets connections which are established and not accepted yet, with the requests on them.
func TestDrainingListenerServesItsQueue(t *testing.T) {
	t.Parallel()
	n, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const callers = 50
	var queue []net.Conn
	for range callers {
		c, err := net.Dial("tcp", n.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = c.Close() }()
		if _, err := io.WriteString(c, "x"); err != nil {
			t.Fatal(err)
		}
		queue = append(queue, c)
	}
	l := newDrainingListener(n)
	var all sync.WaitGroup
	all.Go(l.drain)
	all.Go(func() {
		defer close(l.acceptEnded)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			all.Go(func() {
				_, _ = io.CopyN(c, c, 1)
				_ = c.Close()
			})
		}
	})
	for _, c := range queue {
		if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
			t.Errorf("a connection was not served: %v", err)
		}
	}
	all.Wait()
	if c, err := net.Dial("tcp", n.Addr().String()); err == nil {
		_ = c.Close()
		t.Error("the address is still open")
	}
}
