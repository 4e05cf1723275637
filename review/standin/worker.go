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
	"strings"
	"sync"
	"time"
)

// crashPrefix begins the paths of requests that crash each worker that runs them.
const crashPrefix = "/crash/"

// beat is beat_s of the users' pages.
const beat = 1500 * time.Millisecond

// run is one request that a worker began to work on.
type run struct {
	id     string
	path   string
	caller string // value of Figwheel-Caller-Service
	at     time.Time
	worker string // id of the worker
}

// runs are the requests that all workers began to work on.
type runs struct {
	mu  sync.Mutex
	all []run
}

func (r *runs) add(v run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.all = append(r.all, v)
}

// of returns the runs of the request with the id.
func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var l []run
	for _, v := range r.all {
		if v.id == id {
			l = append(l, v)
		}
	}
	return l
}

// list returns all runs so far.
func (r *runs) list() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.all...)
}

// worker is a stand-in for one start of an application worker. It is sound. The last
// segment of a path says how many milliseconds the request takes, as in /a/300.
type worker struct {
	id      string
	service string
	zone    string
	address string
	control string // address for check-ins
	slots   int
	born    int64
	rec     *record
	runs    *runs

	server *http.Server
	free   chan struct{} // a token for each free slot
	end    context.Context
	stopFn context.CancelFunc

	mu       sync.Mutex
	sequence uint64
	state    string // ready, draining or gone
	delayed  bool   // whether check-ins are held back on their way
	onTheWay [][]byte
}

func newWorker(id, service, zone, address, control string, rec *record, all *runs) *worker {
	k := &worker{id: id, service: service, zone: zone, address: address, control: control, slots: 6, born: time.Now().UnixMilli(), rec: rec, runs: all, state: "ready"}
	k.free = make(chan struct{}, k.slots)
	for range k.slots {
		k.free <- struct{}{}
	}
	k.end, k.stopFn = context.WithCancel(context.Background())
	return k
}

// start listens and sends check-ins until stop is called.
func (k *worker) start() error {
	l, err := net.Listen("tcp", k.address)
	if err != nil {
		return err
	}
	k.server = &http.Server{Handler: k}
	go func() { _ = k.server.Serve(l) }()
	go k.beats()
	k.rec.line("worker %s of %s starts at %s", k.id, k.service, k.address)
	return nil
}

// stop ends the worker at once, as a crash does.
func (k *worker) stop() {
	k.stopFn()
	if k.server != nil {
		_ = k.server.Close()
	}
	k.rec.line("worker %s has ended", k.id)
}

// beats sends a check-in each beat while the worker is not gone.
func (k *worker) beats() {
	t := time.NewTicker(beat)
	defer t.Stop()
	for {
		k.mu.Lock()
		gone, delayed := k.state == "gone", k.delayed
		k.mu.Unlock()
		switch {
		case gone:
		case delayed:
			b := k.checkIn()
			k.mu.Lock()
			k.onTheWay = append(k.onTheWay, b)
			k.mu.Unlock()
		default:
			k.send(k.checkIn(), false)
		}
		select {
		case <-t.C:
		case <-k.end.Done():
			return
		}
	}
}

// delay holds back the next n check-ins and returns their bodies once they were sent.
func (k *worker) delay(n int) [][]byte {
	k.mu.Lock()
	k.delayed = true
	k.mu.Unlock()
	for {
		k.mu.Lock()
		l := k.onTheWay
		k.mu.Unlock()
		if len(l) >= n {
			return l[:n]
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// checkIn returns the body of the next check-in.
func (k *worker) checkIn() []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sequence++
	b, _ := json.Marshal(map[string]any{
		"address":     k.address,
		"born":        k.born,
		"server_info": map[string]any{"service": k.service, "version": "v1", "zone": k.zone, "slot_count": k.slots},
		"status":      map[string]any{"state": k.state, "sequence": k.sequence, "cold_left_s": 0},
	})
	return b
}

// send sends a check-in and reports whether it was acknowledged. It logs it if loud is
// set, or if it was rejected.
func (k *worker) send(body []byte, loud bool) bool {
	return checkInCall(k.rec, http.MethodPut, k.control, k.id, body, loud)
}

// leave says that the worker is gone, as some workers do first, and reports whether that
// was acknowledged. It serves on until stop is called.
func (k *worker) leave() bool {
	k.mu.Lock()
	k.state = "gone"
	k.mu.Unlock()
	return checkInCall(k.rec, http.MethodDelete, k.control, k.id, nil, true)
}

// checkInCall sends one call to the address for check-ins.
func checkInCall(rec *record, method, control, id string, body []byte, loud bool) bool {
	x, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	q, err := http.NewRequestWithContext(x, method, "http://"+control+"/api/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	q.Close = true
	q.Header.Set("Content-Type", "application/json")
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		if loud {
			rec.line("check-in %s of %s: no answer: %v", method, id, err)
		}
		return false
	}
	defer func() { _ = p.Body.Close() }()
	b, _ := io.ReadAll(io.LimitReader(p.Body, 4<<10))
	if loud || p.StatusCode != http.StatusOK {
		rec.line("check-in %s of %s %s -> %d %s", method, id, body, p.StatusCode, strings.TrimSpace(string(b)))
	}
	return p.StatusCode/100 == 2
}

// ServeHTTP implements http.Handler.
func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Figwheel-Instance-Id", k.id)
		k.mu.Lock()
		ready := k.state == "ready"
		k.mu.Unlock()
		if !ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		k.rec.line("worker %s: health check, ready %v", k.id, ready)
		return
	}
	id := r.Header.Get("Figwheel-Attempt-Id")
	w.Header().Set("Figwheel-Attempt-Id", id)
	if t := r.Header.Get("Figwheel-Target-Instance"); t != "" && t != k.id {
		w.Header().Set("Figwheel-Not-Executed", "1")
		w.Header().Set("Figwheel-Instance-Id", k.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		k.rec.line("worker %s: request %s is for %s, 421", k.id, id, t)
		return
	}
	if id == "" {
		w.Header().Set("Figwheel-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	limit := time.Hour
	if ms, err := strconv.Atoi(r.Header.Get("Figwheel-Request-Deadline")); err == nil {
		limit = time.Duration(ms) * time.Millisecond
	}
	x, stop := context.WithTimeout(r.Context(), limit)
	defer stop()
	select {
	case <-k.free:
		defer func() { k.free <- struct{}{} }()
	case <-x.Done():
		w.Header().Set("Figwheel-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	k.runs.add(run{id: id, path: r.RequestURI, caller: r.Header.Get("Figwheel-Caller-Service"), at: time.Now(), worker: k.id})
	k.rec.line("worker %s of %s runs %s %s %s for caller service %q", k.id, k.service, id, r.Method, r.RequestURI, r.Header.Get("Figwheel-Caller-Service"))
	if strings.HasPrefix(r.URL.Path, crashPrefix) {
		k.stop() // closes all connections
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(workTime(r.URL.Path)):
	case <-x.Done():
		k.rec.line("worker %s: run of %s ends early: %v", k.id, id, x.Err())
		if r.Context().Err() != nil {
			return
		}
		w.Header().Set("Figwheel-Server-Seal", "seal."+k.id)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	k.rec.line("worker %s: run of %s ends well", k.id, id)
	w.Header().Set("Figwheel-Server-Seal", "seal."+k.id)
	_, _ = fmt.Fprintf(w, "%s ran %s %s %d bytes\n", k.service, id, r.RequestURI, len(b))
}

// workTime returns how long a request with the path takes.
func workTime(path string) time.Duration {
	i := strings.LastIndexByte(path, '/')
	ms, err := strconv.Atoi(path[i+1:])
	if err != nil {
		ms = 20
	}
	return time.Duration(ms) * time.Millisecond
}
