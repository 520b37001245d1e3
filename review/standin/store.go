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

// object is one object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreateRev  uint64   `json:"create_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// watchKey names a machine, by its IP address, and a kind that it watches.
type watchKey struct{ ip, kind string }

// event is one change, as a watch returns it.
type event struct {
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind     string
	revision uint64
}

// store is a stand-in of the platform's metadata store with a single revision counter. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object // by kind and name
	events   []event
	changed  chan struct{}          // closed at the next change
	refused  map[string]bool        // IP addresses of machines that the store turns away
	watchers map[watchKey]time.Time // when a machine last began a watch of a kind
}

func newStore() *store {
	return &store{revision: 1, objects: make(map[string]map[string]object), changed: make(chan struct{}), watchers: make(map[watchKey]time.Time)}
}

// turnAway makes the store turn some machines away from now on, and cuts off their watches that wait. It serves all others.
func (s *store) turnAway(ips []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = make(map[string]bool)
	for _, ip := range ips {
		s.refused[ip] = true
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// turnsAway reports whether the store turns a machine away.
func (s *store) turnsAway(r *http.Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused[callerIP(r)]
}

// watchersOf returns the IP addresses of the machines that have begun a watch of a kind lately, in order.
func (s *store) watchersOf(kind string, lately time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ips []string
	for key, at := range s.watchers {
		if key.kind == kind && time.Since(at) < lately {
			ips = append(ips, key.ip)
		}
	}
	sort.Strings(ips)
	return ips
}

// callerIP returns the IP address from which a call comes, which is that of the machine.
func callerIP(r *http.Request) string {
	ip, _, _ := net.SplitHostPort(r.RemoteAddr)
	return ip
}

// put writes an object as the operator or a worker does.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[kind][name]
	if string(o.Spec) == string(data) {
		return // a write that changes nothing is no event
	}
	o.Metadata.Name, o.Spec = name, data
	s.write(kind, o, false)
}

// drop removes an object as the platform does with the entry of a worker that is silent.
func (s *store) drop(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.write(kind, o, true)
	}
}

// write stores or removes an object under the next revision. Call it with the lock held.
func (s *store) write(kind string, o object, deleted bool) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.revision++
	o.Metadata.Revision = s.revision
	if o.Metadata.CreateRev == 0 {
		o.Metadata.CreateRev = s.revision
	}
	if deleted {
		delete(s.objects[kind], o.Metadata.Name)
	} else {
		s.objects[kind][o.Metadata.Name] = o
	}
	s.events = append(s.events, event{Object: o, Deleted: deleted, kind: kind, revision: s.revision})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.turnsAway(r) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	path, ok := strings.CutPrefix(r.URL.Path, "/-/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, named := strings.Cut(path, "/")
	name, status := strings.CutSuffix(name, "/status")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && !named:
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodDelete:
		s.remove(w, kind, name)
	default:
		s.change(w, r, kind, name, status)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []object{}
	for name, o := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Metadata.Name < items[b].Metadata.Name })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": s.revision})
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, o)
}

// watch answers as soon as there is an event after the given revision, or after wait_ms.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if wait > 0 {
		s.mu.Lock()
		s.watchers[watchKey{callerIP(r), kind}] = time.Now()
		s.mu.Unlock()
	}
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events, asOf, changed := []event{}, s.revision, s.changed
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) == 0 {
			select {
			case <-changed:
				if s.turnsAway(r) {
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				continue
			case <-r.Context().Done():
				return
			case <-timer.C:
			}
		}
		reply(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
		return
	}
}

func (s *store) remove(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, s.write(kind, o, true))
}

// change handles POST, PUT and PUT of the status.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, status bool) {
	var sent object
	if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	if name == "" {
		name = sent.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		reply(w, http.StatusConflict, old)
		return
	case r.Method == http.MethodPut && !exists:
		reply(w, http.StatusNotFound, struct{}{})
		return
	case exists && sent.Metadata.Revision != 0 && sent.Metadata.Revision != old.Metadata.Revision:
		reply(w, http.StatusConflict, old)
		return
	case exists && !status && string(sent.Spec) == string(old.Spec):
		reply(w, http.StatusOK, old)
		return
	}
	o := old
	o.Metadata.Name = name
	if status {
		o.Status = sent.Status
	} else {
		o.Spec, o.Metadata.Finalizers = sent.Spec, sent.Metadata.Finalizers
	}
	reply(w, http.StatusOK, s.write(kind, o, false))
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
