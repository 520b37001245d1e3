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

// Object is one object of the platform's store.
type Object struct {
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// Metadata is what the store says of an object.
type Metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreateRev  uint64   `json:"create_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storeEvent struct {
	kind    string
	rev     uint64
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Store is a stand-in for the platform's store.
type Store struct {
	Addr string
	// Hinder is asked for each call; it returns false if the call was ended there. Nil for nothing.
	Hinder func(w http.ResponseWriter, r *http.Request) bool
	// WatchBytes bounds the objects in the answer to a watch, if it is not zero: further events come with the next one.
	WatchBytes int

	mu      sync.Mutex
	dropped uint64 // revision up to which the history is gone
	rev     uint64
	objects map[string]map[string]Object
	events  []storeEvent
	changed chan struct{}
	server  *http.Server
}

// NewStore starts a store on a loopback address.
func NewStore(ip string) *Store {
	s := &Store{rev: 1, objects: map[string]map[string]Object{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	s.Addr = l.Addr().String()
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(l) }()
	return s
}

// Put writes an object as the operator or a worker does. It returns when the store has it.
func (s *Store) Put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.objects[kind][name]
	if ok && string(old.Spec) == string(data) {
		return
	}
	s.write(kind, Object{Metadata: Metadata{Name: name, CreateRev: old.Metadata.CreateRev, Finalizers: []string{}}, Spec: data, Status: json.RawMessage("null")}, false)
}

// Remove deletes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.write(kind, o, true)
	}
}

func (s *Store) write(kind string, o Object, deleted bool) Object {
	s.rev++
	o.Metadata.Revision = s.rev
	if o.Metadata.CreateRev == 0 {
		o.Metadata.CreateRev = s.rev
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]Object{}
	}
	s.objects[kind][o.Metadata.Name] = o
	if deleted {
		delete(s.objects[kind], o.Metadata.Name)
	}
	s.events = append(s.events, storeEvent{kind: kind, rev: s.rev, Object: o, Deleted: deleted})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	if s.Hinder != nil && !s.Hinder(w, r) {
		return
	}
	path, ok := strings.CutPrefix(r.URL.Path, "/-/objects/")
	if !ok {
		http.NotFound(w, r)
		return
	}
	kind, name, named := strings.Cut(path, "/")
	name = strings.TrimSuffix(name, "/status")
	q := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && !named && q.Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && !named:
		s.list(w, kind, q.Get("after"))
	default:
		s.single(w, r, kind, name, named)
	}
}

// Limits of a page of a list.
const (
	pageObjects = 500
	pageBytes   = 1 << 20
)

func (s *Store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for n := range s.objects[kind] {
		if n > after {
			names = append(names, n)
		}
	}
	sort.Strings(names)
	items, size := []Object{}, 0
	for _, n := range names {
		o := s.objects[kind][n]
		if size += len(o.Spec); len(items) == pageObjects || len(items) > 0 && size > pageBytes {
			break
		}
		items = append(items, o)
	}
	reply(w, 200, map[string]any{"items": items, "has_more": len(items) < len(names), "as_of": s.rev})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	for {
		s.mu.Lock()
		events, rev := s.eventsSince(kind, since)
		gone, changed := since < s.dropped, s.changed
		s.mu.Unlock()
		if gone {
			reply(w, 410, map[string]string{})
			return
		}
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "as_of": rev})
			return
		}
		select {
		case <-changed:
			continue
		case <-r.Context().Done():
			return
		case <-end:
		}
		s.mu.Lock()
		events, rev = s.eventsSince(kind, since)
		s.mu.Unlock()
		reply(w, 200, map[string]any{"events": events, "as_of": rev})
		return
	}
}

// eventsSince returns the changes of a kind after a revision, and the revision up to which they are complete. It is called with the lock.
func (s *Store) eventsSince(kind string, since uint64) ([]storeEvent, uint64) {
	events, size := []storeEvent{}, 0
	for _, e := range s.events {
		if e.kind != kind || e.rev <= since {
			continue
		}
		if size += len(e.Object.Spec); s.WatchBytes > 0 && len(events) > 0 && size > s.WatchBytes {
			return events, events[len(events)-1].rev
		}
		events = append(events, e)
	}
	return events, s.rev
}

// DropHistory forgets all changes so far and the next one, of which no watch learns.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropped = s.rev + 1
}

func (s *Store) single(w http.ResponseWriter, r *http.Request, kind, name string, named bool) {
	var body Object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			reply(w, 400, map[string]string{"error": err.Error()})
			return
		}
	}
	if !named {
		name = body.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	want := body.Metadata.Revision
	if v := r.URL.Query().Get("revision"); v != "" {
		want, _ = strconv.ParseUint(v, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && exists:
		reply(w, 409, old)
	case r.Method == http.MethodPost:
		reply(w, 200, s.write(kind, Object{Metadata: Metadata{Name: name, Finalizers: []string{}}, Spec: body.Spec, Status: json.RawMessage("null")}, false))
	case !exists:
		reply(w, 404, map[string]string{})
	case want != 0 && want != old.Metadata.Revision:
		reply(w, 409, old)
	case r.Method == http.MethodGet:
		reply(w, 200, old)
	case r.Method == http.MethodPut && string(body.Spec) == string(old.Spec):
		reply(w, 200, old)
	case r.Method == http.MethodPut:
		old.Spec = body.Spec
		reply(w, 200, s.write(kind, old, false))
	case r.Method == http.MethodDelete:
		reply(w, 200, s.write(kind, old, true))
	default:
		reply(w, 405, map[string]string{})
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
