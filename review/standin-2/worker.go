package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	headerID       = "Figwheel-Attempt-Id"
	headerDeadline = "Figwheel-Request-Deadline"
	headerSeal     = "Figwheel-Server-Seal"
	headerNotRun   = "Figwheel-Not-Executed"
	headerTarget   = "Figwheel-Target-Instance"
	headerCaller   = "Figwheel-Caller-Service"
	headerInstance = "Figwheel-Instance-Id"

	healthPath = "/health"
	beatTime   = 1500 * time.Millisecond // beat_s
)

// run is one request that a worker began to work on.
type run struct {
	at      time.Time
	id      string
	path    string
	caller  string
	service string
}

// worker is a stand-in for an application worker, as PROTOCOL.md describes it.
type worker struct {
	log     *recorder
	service string
	zone    string
	id      string
	control string // address for its check-ins
	slots   int
	work    time.Duration

	address  string
	mu       sync.Mutex
	leaving  bool
	sequence int
	slot     chan struct{}
	runs     []run
}

// start listens and begins to send check-ins. It ends with x.
func (k *worker) start(x context.Context, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	k.address = l.Addr().String()
	k.slot = make(chan struct{}, k.slots)
	s := &http.Server{Handler: k, IdleTimeout: 10 * time.Second}
	go func() { _ = s.Serve(l) }()
	go func() {
		<-x.Done()
		_ = s.Close()
	}()
	go k.beat(x, time.Now().UnixMilli())
	return nil
}

// beat sends a check-in about every beatTime.
func (k *worker) beat(x context.Context, born int64) {
	t := time.NewTicker(beatTime)
	defer t.Stop()
	for {
		k.mu.Lock()
		k.sequence++
		n, leaving := k.sequence, k.leaving
		k.mu.Unlock()
		if leaving {
			return
		}
		status, err := send(x, http.MethodPut, k.control, k.id, checkIn(k.address, k.service, k.zone, k.slots, n, born))
		k.log.printf("check-in of worker %s sequence %d: %d %v", k.id, n, status, err)
		select {
		case <-t.C:
		case <-x.Done():
			return
		}
	}
}

// leave sends the DELETE of a worker that never reports draining, and returns its status.
// The worker goes on serving, and its health check answers 503.
func (k *worker) leave(x context.Context) int {
	k.stopBeats()
	status, err := send(x, http.MethodDelete, k.control, k.id, nil)
	k.log.printf("DELETE of worker %s: %d %v", k.id, status, err)
	return status
}

// stopBeats begins the worker's leaving without its DELETE.
func (k *worker) stopBeats() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving = true
}

// checkIn returns a check-in that reports the state ready.
func checkIn(address, service, zone string, slots, sequence int, born int64) map[string]any {
	return map[string]any{
		"address":     address,
		"born":        born,
		"server_info": map[string]any{"service": service, "version": "v1", "zone": zone, "slot_count": slots},
		"status":      map[string]any{"state": "ready", "sequence": sequence, "cold_left_s": 0},
	}
}

// send sends a check-in, nil for none, and returns the status of the answer.
func send(x context.Context, method, control, id string, v map[string]any) (int, error) {
	var b []byte
	if v != nil {
		var err error
		if b, err = json.Marshal(v); err != nil {
			return 0, err
		}
	}
	x, stop := context.WithTimeout(x, time.Second)
	defer stop()
	q, err := http.NewRequestWithContext(x, method, "http://"+control+"/api/instances/"+id, bytes.NewReader(b))
	if err != nil {
		return 0, err
	}
	q.Header.Set("Content-Type", "application/json")
	q.Close = true
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, errors.New("no answer")
	}
	defer func() { _ = p.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(p.Body, 4<<10))
	return p.StatusCode, nil
}

// ServeHTTP implements http.Handler.
func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		w.Header().Set(headerInstance, k.id)
		w.WriteHeader(k.health())
		return
	}
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	if k.health() != http.StatusOK {
		w.Header().Set("Connection", "close")
	}
	target := r.Header.Get(headerTarget)
	switch {
	case id == "":
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case target != "" && target != k.id:
		w.Header().Set(headerInstance, k.id)
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case k.slot <- struct{}{}:
		defer func() { <-k.slot }()
	case <-r.Context().Done():
		return
	}
	n := run{time.Now(), id, r.URL.Path, r.Header.Get(headerCaller), k.service}
	k.mu.Lock()
	k.runs = append(k.runs, n)
	k.mu.Unlock()
	k.log.printf("run %s %s at worker %s of %s, %s: %q", n.id, n.path, k.id, k.service, headerCaller, n.caller)
	select {
	case <-time.After(k.work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set(headerSeal, "seal-"+k.id+"-"+id)
	_, _ = fmt.Fprintf(w, "%s %s %s %d", k.id, id, r.URL.Path, len(body))
}

// health returns the status of the health check.
func (k *worker) health() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaving {
		return http.StatusServiceUnavailable
	}
	return http.StatusOK
}

// allRuns returns the runs so far.
func (k *worker) allRuns() []run {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]run(nil), k.runs...)
}
