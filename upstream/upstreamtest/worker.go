package upstreamtest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"

	"figwheel/contract"
	"figwheel/upstream"
)

// Names of the headers in requests to the stand-in and in its answers.
const (
	RequestHeader = "Request-Id"
	ServiceHeader = "Worker-Service"
	NameHeader    = "Worker-Name"
)

const announceInterval = 500 * time.Millisecond

var workerError = errs.Class("worker")

// Worker is a stand-in for a worker. Its exported fields are set before use.
type Worker struct {
	Name    string
	Service string
	Slots   int
	Work    time.Duration // time spent on each request

	// Hold is called with each request that runs, which takes until it returns; may
	// be nil.
	Hold func(r *http.Request)

	// CrashPath is the path of requests that make the worker crash when they
	// begin; empty for none. The worker is down for DownTime after a crash.
	CrashPath string
	DownTime  time.Duration

	crash chan struct{} // buffered for one

	mu         sync.Mutex
	runs       map[string]int
	total      int
	runningMax int
	running    int
	state      string
}

// Answer returns the body of the answer of a worker of the service to the request
// with the id and body. It depends on all three, so that a caller can tell the
// answer to its own request from any other.
func Answer(service, id string, body []byte) []byte {
	const padding = 600
	h := xxh3.HashString(service + "\x00" + id + "\x00" + string(body))
	b := fmt.Appendf(nil, "%s %s %016x ", service, id, h)
	for len(b) < padding {
		h = xxh3.HashString(strconv.FormatUint(h, 16))
		b = strconv.AppendUint(b, h, 16)
	}
	return b
}

// ServeHTTP implements http.Handler.
func (k *Worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(RequestHeader)
	k.begin(id)
	defer k.end()
	if k.CrashPath != "" && r.URL.Path == k.CrashPath {
		select {
		case k.crash <- struct{}{}:
		default: // it is already crashing
		}
		<-r.Context().Done() // until the crash closes the connection
		return
	}
	if k.Hold != nil {
		k.Hold(r)
	}
	if k.Work > 0 {
		time.Sleep(k.Work)
	}
	w.Header().Set(contract.ExchangeHeader, r.Header.Get(contract.ExchangeHeader))
	w.Header().Set(ServiceHeader, k.Service)
	w.Header().Set(NameHeader, k.Name)
	_, _ = w.Write(Answer(k.Service, id, b))
}

func (k *Worker) begin(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.runs == nil {
		k.runs = make(map[string]int)
	}
	if id != "" {
		k.runs[id]++
	}
	k.total++
	k.running++
	k.runningMax = max(k.runningMax, k.running)
}

func (k *Worker) end() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.running--
}

// Runs returns how often each request was run, by request id.
func (k *Worker) Runs() map[string]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := make(map[string]int, len(k.runs))
	for n, v := range k.runs {
		r[n] = v
	}
	return r
}

// Total returns the number of requests that the worker began to run.
func (k *Worker) Total() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.total
}

// Peak returns the largest number of requests that ran at the same time.
func (k *Worker) Peak() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.runningMax
}

// SetState sets the state in the next announcements.
func (k *Worker) SetState(s string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state = s
}

func (k *Worker) announcement(address string) upstream.Announcement {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.state
	if s == "" {
		s = "Ready"
	}
	return upstream.Announcement{Service: k.Service, Address: address, State: s, Slots: k.Slots}
}

// Run serves requests on l and announces the worker at the upstream address of
// its daemon until x ends. After a crash it listens again on the same address.
func (k *Worker) Run(x context.Context, l net.Listener, daemon string) error {
	a := l.Addr().String()
	k.crash = make(chan struct{}, 1)
	for {
		if err := k.runOnce(x, l, daemon); err != nil || x.Err() != nil {
			return err
		}
		select {
		case <-x.Done():
			return nil
		case <-time.After(k.DownTime):
		}
		var err error
		if l, err = net.Listen("tcp", a); err != nil {
			return workerError.Wrap(err)
		}
	}
}

// runOnce runs until x ends or the worker crashes.
func (k *Worker) runOnce(x context.Context, l net.Listener, daemon string) error {
	s := &http.Server{Handler: k, ReadHeaderTimeout: time.Minute}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for crashed := false; x.Err() == nil && !crashed; {
		_ = Announce(x, daemon, k.announcement(l.Addr().String()))
		select {
		case <-x.Done():
		case <-t.C:
		case <-k.crash:
			crashed = true
		}
	}
	_ = s.Close()
	if err := <-done; err != nil && !errors.Is(err, http.ErrServerClosed) {
		return workerError.Wrap(err)
	}
	return nil
}

// Announce posts one announcement to the upstream address of a daemon.
func Announce(x context.Context, daemon string, a upstream.Announcement) error {
	b, err := json.Marshal(a)
	if err != nil {
		return workerError.Wrap(err)
	}
	q, err := http.NewRequestWithContext(x, http.MethodPost, "http://"+daemon+upstream.AnnouncePath, bytes.NewReader(b))
	if err != nil {
		return workerError.Wrap(err)
	}
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return workerError.Wrap(err)
	}
	defer func() { _ = p.Body.Close() }()
	if p.StatusCode != http.StatusNoContent {
		t, _ := io.ReadAll(io.LimitReader(p.Body, 1024))
		return workerError.New("%s: %s", p.Status, t)
	}
	return nil
}
