package main

import (
	"bytes"
	"context"
	"encoding/json"
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
		n := k.sequence
		k.mu.Unlock()
		status, err := checkIn(x, k.control, k.id, k.address, k.service, k.zone, k.slots, n, born)
		k.log.printf("check-in of worker %s sequence %d: %d %v", k.id, n, status, err)
		select {
		case <-t.C:
		case <-x.Done():
			return
		}
	}
}

// checkIn sends a check-in that reports the state ready. A born of 0 is left out.
func checkIn(x context.Context, control, id, address, service, zone string, slots, sequence int, born int64) (int, error) {
	v := map[string]any{
		"address":     address,
		"server_info": map[string]any{"service": service, "version": "v1", "zone": zone, "slot_count": slots},
		"status":      map[string]any{"state": "ready", "sequence": sequence, "cold_left_s": 0},
	}
	if born > 0 {
		v["born"] = born
	}
	b, err := json.Marshal(v)
	if err != nil {
		return 0, err
	}
	x, stop := context.WithTimeout(x, time.Second)
	defer stop()
	q, err := http.NewRequestWithContext(x, http.MethodPut, "http://"+control+"/api/instances/"+id, bytes.NewReader(b))
	if err != nil {
		return 0, err
	}
	q.Header.Set("Content-Type", "application/json")
	q.Close = true
	p, err := http.DefaultClient.Do(q)
	if err != nil {
		return 0, fmt.Errorf("no answer")
	}
	defer func() { _ = p.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(p.Body, 4<<10))
	return p.StatusCode, nil
}

// ServeHTTP implements http.Handler.
func (k *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		w.Header().Set(headerInstance, k.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
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

// allRuns returns the runs so far.
func (k *worker) allRuns() []run {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]run(nil), k.runs...)
}
