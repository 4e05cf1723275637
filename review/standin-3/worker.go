package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that a worker began to work on.
type run struct {
	At      time.Time
	ID      string // of the request
	Worker  string // id of the worker's boot
	Service string
	Method  string
	URI     string // as the worker read it
	Header  http.Header
}

// runs records the runs of all workers.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(n run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, n)
}

func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var l []run
	for _, n := range r.all {
		if n.ID == id {
			l = append(l, n)
		}
	}
	return l
}

// worker is the application worker beside a daemon.
type worker struct {
	service string
	zone    string
	address string // on which it listens
	control string // address of the daemon for check-ins
	slots   int
	work    func(r *http.Request) time.Duration
	answer  func(w http.ResponseWriter, r *http.Request, body []byte) // nil for the usual answer
	serve   func(w http.ResponseWriter, r *http.Request)              // nil for the usual way, which reads the body first
	runs    *runs
	rec     *record

	id       string
	born     time.Time
	sequence atomic.Uint64
	state    atomic.Value // string: ready or draining
	busy     atomic.Int64
	server   *http.Server
	stop     context.CancelFunc
	done     chan struct{}
}

// idleTimeout is the time after which a worker closes an idle connection.
const idleTimeout = 10 * time.Second

var workerCount atomic.Int64

// start begins a new boot of the worker with a new id.
func (k *worker) start() error {
	l, err := net.Listen("tcp", k.address)
	if err != nil {
		return err
	}
	k.id = fmt.Sprintf("i-%08x", 0x7f3a0000+workerCount.Add(1))
	k.born = time.Now()
	k.sequence.Store(0)
	k.state.Store("ready")
	k.server = &http.Server{Handler: k, IdleTimeout: idleTimeout}
	x, stop := context.WithCancel(context.Background())
	k.stop, k.done = stop, make(chan struct{})
	go func() { _ = k.server.Serve(l) }()
	go k.beat(x, k.done)
	k.rec.add("worker %s of %s starts at %s", k.id, k.service, k.address)
	return nil
}

// end ends the worker at once, without a word to the daemon.
func (k *worker) end() {
	if k.stop == nil {
		return
	}
	k.stop()
	_ = k.server.Close()
	<-k.done
	k.stop = nil
	k.rec.add("worker %s of %s has ended", k.id, k.service)
}

func (k *worker) beat(x context.Context, done chan<- struct{}) {
	defer close(done)
	t := time.NewTicker(700 * time.Millisecond)
	defer t.Stop()
	for x.Err() == nil {
		_ = k.checkIn(x)
		select {
		case <-x.Done():
		case <-t.C:
		}
	}
}

// checkIn sends a check-in and reports whether it was acknowledged.
func (k *worker) checkIn(x context.Context) bool {
	b, _ := json.Marshal(map[string]any{
		"address":     k.address,
		"born":        k.born.UnixMilli(),
		"server_info": map[string]any{"service": k.service, "version": "v1", "zone": k.zone, "slot_count": k.slots},
		"status":      map[string]any{"state": k.state.Load(), "sequence": k.sequence.Add(1), "cold_left_s": 0},
	})
	x, stop := context.WithTimeout(x, time.Second)
	defer stop()
	q, _ := http.NewRequestWithContext(x, http.MethodPut, "http://"+k.control+"/api/instances/"+k.id, bytes.NewReader(b))
	q.Header.Set("Content-Type", "application/json")
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, p.Body)
	_ = p.Body.Close()
	return p.StatusCode/100 == 2
}

// drain reports that the worker is draining until that is acknowledged, and returns the
// time of the acknowledgement.
func (k *worker) drain() time.Time {
	k.state.Store("draining")
	for !k.checkIn(context.Background()) {
		time.Sleep(50 * time.Millisecond)
	}
	t := time.Now()
	k.rec.add("worker %s of %s is draining, acknowledged", k.id, k.service)
	return t
}

// answerOf is the body of the usual answer to a request.
func answerOf(service, id, uri string) string { return service + " " + id + " " + uri }

func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", int(idleTimeout.Seconds())))
	if r.URL.Path == "/health" {
		w.Header().Set("Figwheel-Instance-Id", k.id)
		if k.state.Load() != "ready" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Figwheel-Attempt-Id")
	w.Header().Set("Figwheel-Attempt-Id", id)
	n := k.busy.Add(1)
	defer k.busy.Add(-1)
	target := r.Header.Get("Figwheel-Target-Instance")
	status := 0
	switch {
	case id == "":
		status = http.StatusBadRequest
	case target != "" && target != k.id:
		status = http.StatusMisdirectedRequest
	case n > int64(5*k.slots):
		status = http.StatusServiceUnavailable
	}
	if status != 0 {
		w.Header().Set("Figwheel-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	if k.serve != nil {
		k.serve(w, r)
		return
	}
	k.runs.add(run{time.Now(), id, k.id, k.service, r.Method, r.RequestURI, r.Header.Clone()})
	k.rec.add("worker %s of %s runs %s: %s %s", k.id, k.service, id, r.Method, r.RequestURI)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	d := time.Duration(0)
	if k.work != nil {
		d = k.work(r)
	}
	limit := d
	if ms, err := strconv.Atoi(r.Header.Get("Figwheel-Request-Deadline")); err == nil {
		limit = min(d, time.Duration(ms)*time.Millisecond)
	}
	select {
	case <-r.Context().Done():
		return
	case <-time.After(limit):
	}
	w.Header().Set("Figwheel-Server-Seal", "3e1b."+k.id+"."+id)
	if limit < d {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	if k.answer != nil {
		k.answer(w, r, body)
		return
	}
	_, _ = io.WriteString(w, answerOf(k.service, id, r.RequestURI))
}
