package daemon

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"figwheel/contract"
	"figwheel/result"
	"figwheel/upstream/upstreamtest"
)

const drainCallers = 24

// load sends requests that must not run twice to all daemons until x ends. A call
// that does not end with a complete 200 is a failure. Callers of a daemon that takes
// no connection go to the next one.
func (d *drainFleet) load(x context.Context) chan struct{} {
	done := make(chan struct{})
	for i := range drainCallers {
		a := d.daemons[(i+2)%3].Settings().CallAddress
		next := d.daemons[i%2].Settings().CallAddress
		go func() {
			defer func() { done <- struct{}{} }()
			c := &http.Client{Transport: &http.Transport{}}
			defer c.CloseIdleConnections()
			for x.Err() == nil {
				if s := d.call(c, &a, next); s != "" {
					d.failed.Store(&s)
				}
				d.calls.Add(1)
			}
		}()
	}
	all := make(chan struct{})
	go func() {
		for range drainCallers {
			<-done
		}
		close(all)
	}()
	return all
}

const (
	callTimeout   = 5 * time.Second        // the deadline of the service
	retryAfterMax = 100 * time.Millisecond // of an answer of a daemon that stops
)

// attempt is what came of one request of a call.
type attempt struct {
	answered   bool          // whether it got a complete 200
	away       bool          // whether no connection was opened
	notRun     bool          // whether the answer was that it was not run
	refused    bool          // whether a daemon that stops gave that answer
	closed     bool          // whether the connection ended without an answer
	endedAt    time.Time     // when it ended so
	retryAfter time.Duration // of a refusal
	text       string
}

// call makes a call to the daemon at the address a, which it sets to next if that
// takes no connection. It returns the empty string once an attempt has got a complete
// 200, and otherwise what went wrong. Only a daemon that stops may make it try again: by
// saying that the request was not run, or by closing the connection without having
// read it. What it says is checked by checkAttempts.
func (d *drainFleet) call(c *http.Client, a *string, next string) string {
	for end := time.Now().Add(callTimeout); ; {
		id := strconv.FormatInt(d.ids.Add(1), 10)
		v := try(c, *a, id)
		if v.away {
			*a = next
			continue
		}
		stops := *a == d.daemons[stopping].Settings().CallAddress && d.daemons[stopping].IsDraining()
		d.record(id, v)
		switch {
		case v.answered:
			return ""
		case !stops, !v.refused && !v.closed, time.Now().After(end):
			return v.text
		}
		time.Sleep(v.retryAfter)
	}
}

func (d *drainFleet) record(id string, v attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.attempts == nil {
		d.attempts = make(map[string]attempt)
	}
	d.attempts[id] = v
	if v.refused {
		d.refused++
	}
	if v.closed {
		d.unread++
	}
}

// checkAttempts checks that each request that was answered has run once and no other
// has, and that no daemon has read a request and closed its connection without an
// answer. Only a request at which a worker was still at work at the drain limit may
// be closed: its daemon cannot answer for the worker. It returns the number of those.
func (d *drainFleet) checkAttempts() int {
	d.t.Helper()
	limit := d.daemons[stopping].worker.Drain().End
	atLimit := 0
	runs := make(map[string]int)
	for _, k := range d.workers {
		for id, n := range k.Runs() {
			runs[id] += n
		}
	}
	for id, v := range d.attempts {
		want := 0
		if v.answered {
			want = 1
		}
		if v.closed && runs[id] == 1 && !limit.IsZero() && !v.endedAt.Before(limit) {
			atLimit++
			continue
		}
		if runs[id] != want {
			d.t.Errorf("request %s has run %d times, want %d: %s", id, runs[id], want, v.text)
		}
	}
	for i, b := range d.daemons {
		allowed := 0
		if i == stopping {
			allowed = atLimit
		}
		if n := b.cuts.Load(); n > int64(allowed) {
			d.t.Errorf("daemon %d closed %d connections under a request that it had read, want at most %d", i, n, allowed)
		}
	}
	return atLimit
}

// try sends the request with the id.
func try(c *http.Client, address, id string) attempt {
	q, err := newPost(address, "/")
	if err != nil {
		return attempt{text: err.Error()}
	}
	q.Header.Set(upstreamtest.RequestHeader, id)
	p, err := c.Do(q)
	if isDialFailure(err) {
		return attempt{away: true}
	}
	if err != nil {
		return attempt{closed: true, endedAt: time.Now(), text: err.Error()}
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	v := attempt{answered: err == nil && p.StatusCode == http.StatusOK, text: p.Status + " " + string(b)}
	v.notRun = err == nil && p.StatusCode == http.StatusServiceUnavailable && p.Header.Get(contract.OutcomeHeader) == contract.NotRun.String()
	if !v.notRun {
		return v
	}
	s, err := strconv.ParseFloat(p.Header.Get("Retry-After"), 64)
	v.retryAfter = time.Duration(s * float64(time.Second))
	v.refused = err == nil && v.retryAfter > 0 && v.retryAfter <= retryAfterMax && p.Close && p.Header.Get(contract.CodeHeader) == result.Leaving.String()
	return v
}

// dialFailed is the result of post if no connection was opened.
const dialFailed = "away"

// post sends one request and returns the empty string for a complete answer, and
// otherwise what went wrong.
func post(c *http.Client, address string) string { return postTo(c, address, "/") }

// postTo is post for a path.
func postTo(c *http.Client, address, path string) string {
	q, err := newPost(address, path)
	if err != nil {
		return err.Error()
	}
	return send(c, q)
}

// forwardTo is postTo for the link address of a daemon, as another daemon forwards a
// request to its worker.
func forwardTo(c *http.Client, address, path string) string {
	q, err := newPost(address, path)
	if err != nil {
		return err.Error()
	}
	q.Header.Set(contract.ServiceHeader, "s")
	q.Header.Set(contract.KindHeader, "r")
	return send(c, q)
}

// send sends the request q, see post.
func send(c *http.Client, q *http.Request) string {
	p, err := c.Do(q)
	if isDialFailure(err) {
		return dialFailed // without a connection the request cannot have run
	}
	if err != nil {
		return err.Error()
	}
	defer func() { _ = p.Body.Close() }()
	b, err := io.ReadAll(p.Body)
	if err != nil || p.StatusCode != http.StatusOK {
		return p.Status + " " + string(b)
	}
	return ""
}

// newPost returns a request with a body of one byte.
func newPost(address, path string) (*http.Request, error) {
	q, err := http.NewRequest(http.MethodPost, "http://"+address+path, io.NopCloser(strings.NewReader("x")))
	if err != nil {
		return nil, err
	}
	q.ContentLength = 1
	q.Host = "h.example"
	return q, nil
}

// isDialFailure reports whether err says that no connection was opened.
func isDialFailure(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}
