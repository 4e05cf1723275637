package caller

import "net/http"

// SetLinger sets how the connection is closed, see net.TCPConn.SetLinger.
func (c *Connection) SetLinger(seconds int) error {
	if l, ok := c.Conn.(lingerer); ok {
		return l.SetLinger(seconds)
	}
	return nil
}

// lingerer is a connection that can be closed by a reset.
type lingerer interface{ SetLinger(seconds int) error }

// resetOldCaller resets the connection of an HTTP/1.0 caller whose answer was begun
// and cannot be completed. Such an answer has no chunks: without a length, it is whole
// for its caller when the connection is closed.
func resetOldCaller(w http.ResponseWriter, r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		return
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // net/http closes the connection
	}
	if l, ok := c.(lingerer); ok {
		_ = l.SetLinger(0)
	}
	_ = c.Close()
}
