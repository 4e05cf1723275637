package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeObject is an object as the store encodes it.
type storeObject struct {
	Metadata struct {
		Name       string   `json:"name"`
		Revision   uint64   `json:"revision"`
		CreatedAt  int64    `json:"created_at"`
		Finalizers []string `json:"finalizers"`
		Deleting   bool     `json:"deleting"`
	} `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
	Status        json.RawMessage `json:"status"`
}

// storeEvent is an event of a watch.
type storeEvent struct {
	Removed bool        `json:"removed"`
	Object  storeObject `json:"object"`
	kind    string
}

// store is the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]storeObject // by kind and name
	events   []storeEvent
	changed  chan struct{} // closed at the next change
}

func newStore() *store {
	return &store{revision: 100, objects: make(map[string]map[string]storeObject), changed: make(chan struct{})}
}

// write stores an object and returns it. The mutex is held.
func (s *store) write(kind string, o storeObject) storeObject {
	s.revision++
	o.Metadata.Revision = s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]storeObject)
	}
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if o.Status == nil {
		o.Status = json.RawMessage("null")
	}
	s.objects[kind][o.Metadata.Name] = o
	s.events = append(s.events, storeEvent{Object: o, kind: kind})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// put stores the specification of an object whatever its revision, as the on-call
// engineer does.
func (s *store) put(kind, name string, specification any) {
	b, err := json.Marshal(specification)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name = name
	o.Specification = b
	s.write(kind, o)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !ok {
		http.NotFound(w, r)
		return
	}
	kind, name, named := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && named:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			writeJSON(w, http.StatusNotFound, nil)
			return
		}
		writeJSON(w, http.StatusOK, o)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch_from"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	case r.Method == http.MethodPost && !named, r.Method == http.MethodPut && named:
		s.store(w, r, kind, name)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.URL.Query().Get("after")
	items := []storeObject{}
	for n, o := range s.objects[kind] {
		if n > after {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "at_rev": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("watch_from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for {
		s.mu.Lock()
		l := []storeEvent{}
		for _, e := range s.events {
			if e.kind == kind && e.Object.Metadata.Revision > from {
				l = append(l, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(l) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": l, "at_rev": at})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			writeJSON(w, http.StatusOK, map[string]any{"events": l, "at_rev": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) store(w http.ResponseWriter, r *http.Request, kind, name string) {
	b, err := io.ReadAll(r.Body)
	var n storeObject
	if err != nil || json.Unmarshal(b, &n) != nil {
		writeJSON(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = n.Metadata.Name
	}
	o, ok := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && ok:
		writeJSON(w, http.StatusConflict, o)
	case r.Method == http.MethodPut && !ok:
		writeJSON(w, http.StatusNotFound, nil)
	case r.Method == http.MethodPut && n.Metadata.Revision != 0 && n.Metadata.Revision != o.Metadata.Revision:
		writeJSON(w, http.StatusConflict, o)
	default:
		o.Metadata.Name = name
		o.Metadata.Finalizers = n.Metadata.Finalizers
		o.Specification = n.Specification
		writeJSON(w, http.StatusOK, s.write(kind, o))
	}
}
