package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// answer is what a client saw of one request.
type answer struct {
	id     string
	path   string
	sent   time.Time
	ended  time.Time
	status int  // 0 if there was no complete answer
	seal   bool // whether it bears a worker's seal
	cut    bool // whether the request was written and its connection ended without a complete answer
	text   string
}

// client sends requests over kept connections, each with an id of its own.
type client struct {
	name string
	call string // address of the daemon of its machine
	rec  *record
	http *http.Client
	next atomic.Int64

	mu  sync.Mutex
	all []answer
	wg  sync.WaitGroup
}

const hostName = "jepu9.example"

func newClient(name, call string, rec *record) *client {
	return &client{name: name, call: call, rec: rec, http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 100}}}
}

// do sends one request and returns what it saw.
func (c *client) do(method, path, body string, limit time.Duration) answer {
	a := answer{id: fmt.Sprintf("%s-%d", c.name, c.next.Add(1)), path: path}
	var written atomic.Bool
	x, stop := context.WithTimeout(context.Background(), limit)
	defer stop()
	x = httptrace.WithClientTrace(x, &httptrace.ClientTrace{WroteRequest: func(i httptrace.WroteRequestInfo) { written.Store(i.Err == nil) }})
	var b io.Reader
	if body != "" {
		b = onlyReader{strings.NewReader(body)} // keeps net/http from sending it again
	}
	q, err := http.NewRequestWithContext(x, method, "http://"+c.call+path, b)
	if err != nil {
		a.text = err.Error()
		return a
	}
	q.ContentLength = int64(len(body))
	q.Host = hostName
	q.Header.Set("Figwheel-Attempt-Id", a.id)
	q.Header.Set("Figwheel-Request-Deadline", strconv.FormatInt(limit.Milliseconds(), 10))
	a.sent = time.Now()
	c.rec.line("client %s sends %s %s %s, time limit %s", c.name, a.id, method, path, limit)
	p, err := c.http.Do(q)
	var d []byte
	if err == nil {
		d, err = io.ReadAll(p.Body)
		_ = p.Body.Close()
	}
	a.ended = time.Now()
	switch {
	case err != nil:
		a.text = err.Error()
		a.cut = written.Load() && x.Err() == nil
	default:
		a.status = p.StatusCode
		a.seal = p.Header.Get("Figwheel-Server-Seal") != ""
		a.text = strings.TrimSpace(string(d))
	}
	c.rec.line("client %s gets for %s: status %d, seal %v, cut %v, %s", c.name, a.id, a.status, a.seal, a.cut, a.text)
	c.mu.Lock()
	c.all = append(c.all, a)
	c.mu.Unlock()
	return a
}

// onlyReader hides the type of its reader.
type onlyReader struct{ io.Reader }

// start sends one request without waiting for it.
func (c *client) start(method, path, body string, limit time.Duration) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		c.do(method, path, body, limit)
	}()
}

// load sends requests at the interval until x ends. The function path returns the path
// of the n-th.
func (c *client) load(x context.Context, interval time.Duration, method string, limit time.Duration, path func(n int) string) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		t := time.NewTicker(interval)
		defer t.Stop()
		for n := 0; ; n++ {
			c.start(method, path(n), "", limit)
			select {
			case <-t.C:
			case <-x.Done():
				return
			}
		}
	}()
}

// answers waits for all requests and returns what was seen of them.
func (c *client) answers() []answer {
	c.wg.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]answer(nil), c.all...)
}
