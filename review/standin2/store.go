package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeObject is one object of the stand-in store.
type storeObject struct {
	Metadata struct {
		Name      string `json:"name"`
		Revision  uint64 `json:"revision"`
		CreateRev uint64 `json:"create_rev"`
	} `json:"metadata"`
	Spec   json.RawMessage `json:"spec,omitempty"`
	Status json.RawMessage `json:"status,omitempty"`
}

type storeEvent struct {
	kind     string
	revision uint64
	object   storeObject
	deleted  bool
}

// store implements the store of PROTOCOL.md: objects by kind and name, one revision, lists and watches.
type store struct {
	addr string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]storeObject
	events   []storeEvent
	changed  chan struct{}
}

func startStore() *store {
	s := &store{revision: 1, objects: map[string]map[string]storeObject{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.addr = l.Addr().String()
	go func() { _ = (&http.Server{Handler: s}).Serve(l) }()
	return s
}

// put writes an object as the operator or a server does, and returns when that is acknowledged.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	o.Metadata.Name, o.Spec = name, data
	s.write(kind, o, false)
}

// remove removes an object, as that of a server that has left.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.write(kind, o, true)
	}
}

func (s *store) write(kind string, o storeObject, deleted bool) storeObject {
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.CreateRev == 0 {
		o.Metadata.CreateRev = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storeObject{}
	}
	if deleted {
		delete(s.objects[kind], o.Metadata.Name)
	} else {
		s.objects[kind][o.Metadata.Name] = o
	}
	s.events = append(s.events, storeEvent{kind, s.revision, o, deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, "/-/objects/"), "/")
	w.Header().Set("Content-Type", "application/json")
	if r.Method == http.MethodGet && r.URL.Query().Has("watch") {
		s.watch(w, r, kind)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch r.Method {
	case http.MethodGet:
		if named {
			if !exists {
				w.WriteHeader(http.StatusNotFound)
				return
			}
			_ = json.NewEncoder(w).Encode(old)
			return
		}
		items := []storeObject{}
		for _, o := range s.objects[kind] {
			items = append(items, o)
		}
		sort.Slice(items, func(a, b int) bool { return items[a].Metadata.Name < items[b].Metadata.Name })
		_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "as_of": s.revision})
	case http.MethodDelete:
		if !exists {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.write(kind, old, true)
		_, _ = w.Write([]byte("{}"))
	case http.MethodPost, http.MethodPut:
		var o storeObject
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Method == http.MethodPost {
			if _, taken := s.objects[kind][o.Metadata.Name]; taken {
				w.WriteHeader(http.StatusConflict)
				return
			}
			o.Metadata.CreateRev = 0
			_ = json.NewEncoder(w).Encode(s.write(kind, o, false))
			return
		}
		if !exists {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		old.Spec = o.Spec
		_ = json.NewEncoder(w).Encode(s.write(kind, old, false))
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []map[string]any{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, map[string]any{"object": e.object, "deleted": e.deleted})
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || expired {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "as_of": asOf})
			return
		}
	}
}

func must(err error) {
	if err != nil {
		panic(fmt.Sprintf("%v", err))
	}
}
