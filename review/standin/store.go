package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// platformStore is a stand-in for the platform's metadata store. It is sound:
// linearizable, never down and never slow.
type platformStore struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*storedObject // by kind and name
	log      []storeEvent
	changed  chan struct{}
}

type objectMetadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreatedAt  uint64   `json:"created_at"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storedObject struct {
	Metadata      objectMetadata  `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
	Status        json.RawMessage `json:"status"`
}

type storeEvent struct {
	kind     string
	revision uint64
	object   storedObject
	removed  bool
}

func startStore(address string) (*platformStore, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &platformStore{address: l.Addr().String(), objects: make(map[string]map[string]*storedObject), changed: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

func (s *platformStore) stop() { _ = s.server.Close() }

// writeConfig writes the configuration as the on-call engineer does.
func (s *platformStore) writeConfig(spec any) error {
	b, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put("config", "main", b)
	return nil
}

// put stores an object. s.mu is held.
func (s *platformStore) put(kind, name string, spec json.RawMessage) storedObject {
	m := s.objects[kind]
	if m == nil {
		m = make(map[string]*storedObject)
		s.objects[kind] = m
	}
	o := m[name]
	if o != nil && string(o.Specification) == string(spec) {
		return *o
	}
	s.revision++
	if o == nil {
		o = &storedObject{Metadata: objectMetadata{Name: name, CreatedAt: s.revision, Finalizers: []string{}}, Status: json.RawMessage("null")}
		m[name] = o
	}
	o.Specification = spec
	o.Metadata.Revision = s.revision
	s.log = append(s.log, storeEvent{kind: kind, revision: s.revision, object: *o})
	close(s.changed)
	s.changed = make(chan struct{})
	return *o
}

// ServeHTTP implements http.Handler.
func (s *platformStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p, ok := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !ok {
		http.NotFound(w, r)
		return
	}
	kind, name, one := strings.Cut(p, "/")
	w.Header().Set("Content-Type", "application/json")
	switch {
	case r.Method == http.MethodGet && one:
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch_from"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	case r.Method == http.MethodPost && !one, r.Method == http.MethodPut && one:
		s.write(w, r, kind)
	default:
		http.NotFound(w, r)
	}
}

func (s *platformStore) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	var v storedObject
	if ok {
		v = *o
	}
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(v)
}

func (s *platformStore) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	after := r.URL.Query().Get("after")
	items := []storedObject{}
	for n, o := range s.objects[kind] {
		if n > after {
			items = append(items, *o)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "at_rev": at})
}

func (s *platformStore) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch_from"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, e := range s.log {
			if e.kind == kind && e.revision > from {
				events = append(events, map[string]any{"object": e.object, "removed": e.removed})
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "at_rev": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "at_rev": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *platformStore) write(w http.ResponseWriter, r *http.Request, kind string) {
	var v storedObject
	if json.NewDecoder(r.Body).Decode(&v) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	o, ok := s.objects[kind][v.Metadata.Name]
	status := 0
	switch {
	case r.Method == http.MethodPost && ok, ok && v.Metadata.Revision > 0 && v.Metadata.Revision != o.Metadata.Revision:
		status, v = http.StatusConflict, *o
	case r.Method == http.MethodPut && !ok:
		status = http.StatusNotFound
	default:
		status, v = http.StatusOK, s.put(kind, v.Metadata.Name, v.Specification)
	}
	s.mu.Unlock()
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
