package hoptest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// earlyTime is how long ResetEarly reads of a request before it resets the connection.
	earlyTime = 2 * time.Millisecond
	// earlyBytes is the most that it reads, in bytes.
	earlyBytes = 64 << 10
	// endTime is how long CloseEarly waits for its caller to close the connection.
	endTime = 5 * time.Second
	// endlessBytes is the least that ServeEndless writes at a time, in bytes.
	endlessBytes = 4096
)

// Serve calls f with each connection to the returned address and the head of its first request,
// until the test ends. It closes the connection when f returns.
func Serve(t testing.TB, f func(c *net.TCPConn, q *http.Request)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var g sync.WaitGroup
	t.Cleanup(func() { _ = l.Close(); g.Wait() })
	g.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			g.Go(func() {
				defer func() { _ = c.Close() }()
				if q, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					f(c.(*net.TCPConn), q)
				}
			})
		}
	})
	return l.Addr().String()
}

// ServeEndless answers each request with start and then with chunk over and over, until the
// other side closes the connection. It returns the address.
func ServeEndless(t testing.TB, start, chunk string) string {
	t.Helper()
	return Serve(t, func(c *net.TCPConn, _ *http.Request) { WriteEndless(c, start, chunk) })
}

// WriteEndless writes start and then chunk over and over, until the other side closes the
// connection.
func WriteEndless(c net.Conn, start, chunk string) {
	chunks := []byte(strings.Repeat(chunk, 1+endlessBytes/len(chunk)))
	_, err := io.WriteString(c, start)
	for err == nil {
		_, err = c.Write(chunks)
	}
}

// ServeEarly answers each request with the same bytes before its body has been read, and then
// calls end. It returns the address.
func ServeEarly(t testing.TB, answer string, end func(c *net.TCPConn)) string {
	t.Helper()
	return Serve(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, answer)
		end(c)
	})
}

// ResetEarly resets the connection while a large request is still being written.
func ResetEarly(c *net.TCPConn) {
	_ = c.SetReadDeadline(time.Now().Add(earlyTime))
	_, _ = io.CopyN(io.Discard, c, earlyBytes)
	_ = c.SetLinger(0)
	_ = c.Close()
}

// CloseEarly ends the answer, and reads the request that is still being written until its
// sender closes the connection.
func CloseEarly(c *net.TCPConn) {
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(endTime))
	_, _ = io.Copy(io.Discard, c)
}
