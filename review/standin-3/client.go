package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// answer is what a client gets.
type answer struct {
	Status int // 0 if the connection ended without a complete answer
	Header http.Header
	Size   int64 // of the body
	Close  bool  // whether it says that the connection is closed behind it
	Err    error
}

var idCount atomic.Int64

func newID() string { return fmt.Sprintf("9c41d07b%08x", idCount.Add(1)) }

// head returns the head of a request, without the empty line at its end.
func head(method, uri, id string, limit time.Duration, more ...string) string {
	h := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nFigwheel-Attempt-Id: %s\r\nFigwheel-Request-Deadline: %d\r\n", method, uri, hostName, id, limit.Milliseconds())
	for _, l := range more {
		h += l + "\r\n"
	}
	return h
}

// ask sends one request without a body on a new connection and returns the answer.
func (f *fleet) ask(m *machine, method, uri, id string, limit time.Duration, more ...string) answer {
	f.rec.add("client of %s sends %s: %s %s", m.name, id, method, uri)
	c, err := net.Dial("tcp", m.outbound)
	if err != nil {
		return answer{Err: err}
	}
	defer func() { _ = c.Close() }()
	if method != http.MethodGet {
		more = append(more, "Content-Length: 0")
	}
	_, _ = io.WriteString(c, head(method, uri, id, limit, more...)+"\r\n")
	a := read(c, bufio.NewReader(c), method, limit+2*time.Second)
	f.rec.add("client of %s gets for %s: status %d, %d bytes, error %v", m.name, id, a.Status, a.Size, a.Err)
	return a
}

// read reads one answer.
func read(c net.Conn, b *bufio.Reader, method string, limit time.Duration) answer {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	p, err := http.ReadResponse(b, &http.Request{Method: method})
	if err != nil {
		return answer{Err: err}
	}
	n, err := io.Copy(io.Discard, p.Body)
	if err != nil {
		return answer{Err: err, Header: p.Header, Close: p.Close}
	}
	return answer{Status: p.StatusCode, Header: p.Header, Size: n, Close: p.Close}
}
