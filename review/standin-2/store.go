package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: objects by kind and
// name, with a single revision counter and conditional writes.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]*object // by kind and name, with a slash between them
	changed  chan struct{}      // closed at the next change
	refuses  bool               // whether each call gets 503
}

type object struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		CreatedAt  uint64   `json:"created_at"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
	Status        json.RawMessage `json:"status"`
}

func newStore() *store {
	return &store{revision: 1, objects: make(map[string]*object), changed: make(chan struct{})}
}

// setRefuses sets whether the store is down: it answers each call with 503.
func (s *store) setRefuses(refuses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuses = refuses
}

// isDown reports whether the store is down.
func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refuses
}

// put replaces the specification of an object, which it creates if need be.
func (s *store) put(kind, name string, specification []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, specification)
}

// write stores an object and returns a copy of it. The caller holds s.mu.
func (s *store) write(kind, name string, specification []byte) object {
	o := s.objects[kind+"/"+name]
	if o != nil && bytes.Equal(o.Specification, specification) {
		return *o // a write that changes nothing makes no revision
	}
	s.revision++
	if o == nil {
		o = &object{}
		o.Metadata.Name = name
		o.Metadata.CreatedAt = s.revision
		s.objects[kind+"/"+name] = o
	}
	o.Metadata.Revision = s.revision
	o.Specification = append(json.RawMessage(nil), specification...)
	close(s.changed)
	s.changed = make(chan struct{})
	return *o
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if s.isDown() {
		writeJSON(w, http.StatusServiceUnavailable, map[string]any{})
		return
	}
	if !ok {
		http.NotFound(w, r)
		return
	}
	kind, name, named := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && !named && r.URL.Query().Has("watch_from"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && !named:
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodPost && !named, r.Method == http.MethodPut && named:
		s.change(w, r, kind, name)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind+"/"+name]
	var c object
	if ok {
		c = *o
	}
	s.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, map[string]any{})
		return
	}
	writeJSON(w, http.StatusOK, c)
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	items := []object{}
	s.mu.Lock()
	for k, o := range s.objects {
		if strings.HasPrefix(k, kind+"/") && o.Metadata.Name > after {
			items = append(items, *o)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "at_rev": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch_from"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.NewTimer(time.Duration(min(ms, 30000)) * time.Millisecond)
	defer end.Stop()
	for {
		events := []map[string]any{}
		s.mu.Lock()
		for k, o := range s.objects {
			if strings.HasPrefix(k, kind+"/") && o.Metadata.Revision > from {
				events = append(events, map[string]any{"object": *o, "removed": false})
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		waiting := len(events) == 0
		if waiting {
			select {
			case <-changed:
				continue
			case <-end.C:
			case <-r.Context().Done():
				return
			}
		}
		writeJSON(w, http.StatusOK, map[string]any{"events": events, "at_rev": at})
		return
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var q object
	b, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(b, &q)
	}
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if name == "" {
		name = q.Metadata.Name
	}
	s.mu.Lock()
	o, exists := s.objects[kind+"/"+name]
	status := http.StatusOK
	var c object
	switch {
	case r.Method == http.MethodPost && exists, exists && q.Metadata.Revision > 0 && q.Metadata.Revision != o.Metadata.Revision:
		status, c = http.StatusConflict, *o
	case r.Method == http.MethodPut && !exists:
		status = http.StatusNotFound
	default:
		c = s.write(kind, name, q.Specification)
	}
	s.mu.Unlock()
	writeJSON(w, status, c)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, []byte("{}")
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
