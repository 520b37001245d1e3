package fake

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/corianderpier/corianderpier/internal/store"
)

const maxWatchTime = 30 * time.Second

// StoreFault selects faults to inject into one call of the object API.
type StoreFault struct {
	Delay      time.Duration // before the call is executed
	Refuse     bool          // answers 503 without executing the call
	LoseAnswer bool          // executes the call, then drops the connection
	ApplyAfter time.Duration // if set, drops the connection at once and executes the call after this time
	StaleRead  bool          // a read returns the previous version of the object
}

// Store is a fake object API that keeps its objects in memory.
type Store struct {
	FaultFor func(r *http.Request) StoreFault // returns the fault for a request; may be nil

	mu       sync.Mutex
	revision uint64
	objects  map[string]store.Object
	previous map[string]store.Object // by name, for StoreFault.StaleRead
	changed  chan struct{}           // closed and replaced at each change
	calls    map[string]int          // by method
}

// NewStore returns an object API without objects.
func NewStore() *Store {
	return &Store{
		objects:  make(map[string]store.Object),
		previous: make(map[string]store.Object),
		changed:  make(chan struct{}),
		calls:    make(map[string]int),
	}
}

// TakeCallCounts returns the number of calls of each method and resets the counts.
func (s *Store) TakeCallCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := s.calls
	s.calls = make(map[string]int)
	return calls
}

// ServeHTTP serves the protocol that package store uses, with faults injected.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.Method]++
	s.mu.Unlock()
	body, err := io.ReadAll(io.LimitReader(r.Body, store.MaxValueBytes+1))
	if err != nil {
		return
	}
	var fault StoreFault
	if s.FaultFor != nil {
		fault = s.FaultFor(r)
	}
	if fault.ApplyAfter > 0 {
		time.AfterFunc(fault.ApplyAfter, func() { s.serve(discardWriter{}, r, body, fault) })
		panic(http.ErrAbortHandler)
	}
	if !sleep(r, fault.Delay) {
		return
	}
	if fault.Refuse {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if fault.LoseAnswer {
		s.serve(discardWriter{}, r, body, fault)
		panic(http.ErrAbortHandler)
	}
	s.serve(w, r, body, fault)
}

// serve executes one call.
func (s *Store) serve(w http.ResponseWriter, r *http.Request, body []byte, fault StoreFault) {
	if r.URL.Path == "/list" {
		s.list(w, r.URL.Query().Get("prefix"))
		return
	}
	name := strings.TrimPrefix(r.URL.Path, "/objects/")
	switch r.Method {
	case http.MethodGet:
		s.get(w, r, name, fault.StaleRead)
	case http.MethodPut:
		s.put(w, r, name, body)
	case http.MethodDelete:
		s.delete(w, r, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *Store) list(w http.ResponseWriter, prefix string) {
	s.mu.Lock()
	found := []store.Object{}
	for name, object := range s.objects {
		if strings.HasPrefix(name, prefix) {
			found = append(found, object)
		}
	}
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	_ = json.NewEncoder(w).Encode(found)
}

// get answers with an object newer than the version above. If there is none it
// waits for one as long as the query asks, up to maxWatchTime.
func (s *Store) get(w http.ResponseWriter, r *http.Request, name string, stale bool) {
	above, _ := strconv.ParseUint(r.URL.Query().Get("above"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timer := time.NewTimer(min(wait, maxWatchTime))
	defer timer.Stop()
	for {
		s.mu.Lock()
		object, ok := s.objects[name]
		if old, had := s.previous[name]; stale && had {
			object = old
		}
		changed := s.changed
		s.mu.Unlock()
		if ok && object.Version > above {
			w.Header().Set("ETag", etag(object.Version))
			_, _ = w.Write(object.Value)
			return
		}
		if wait == 0 {
			w.Header().Set("ETag", etag(object.Version))
			w.WriteHeader(statusWithoutValue(ok))
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			w.Header().Set("ETag", etag(object.Version))
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

// statusWithoutValue returns the status of a response to a read that carries no
// value: the object does not exist, or is not newer than the caller's version.
func statusWithoutValue(exists bool) int {
	if exists {
		return http.StatusNotModified
	}
	return http.StatusNotFound
}

func (s *Store) put(w http.ResponseWriter, r *http.Request, name string, value []byte) {
	if len(value) > store.MaxValueBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.preconditionHolds(r, name) {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	s.revision++
	if old, ok := s.objects[name]; ok {
		s.previous[name] = old
	}
	s.objects[name] = store.Object{Name: name, Version: s.revision, Value: value}
	s.notifyWatchers()
	w.Header().Set("ETag", etag(s.revision))
	w.WriteHeader(http.StatusOK)
}

func (s *Store) delete(w http.ResponseWriter, r *http.Request, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.preconditionHolds(r, name) {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	delete(s.objects, name)
	s.notifyWatchers()
	w.WriteHeader(http.StatusNoContent)
}

// preconditionHolds evaluates If-None-Match and If-Match; s.mu must be held.
func (s *Store) preconditionHolds(r *http.Request, name string) bool {
	object, ok := s.objects[name]
	if r.Header.Get("If-None-Match") == "*" {
		return !ok
	}
	want := r.Header.Get("If-Match")
	return want == "" || (ok && want == etag(object.Version))
}

// notifyWatchers wakes all waiting reads; s.mu must be held.
func (s *Store) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func etag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

// sleep waits for d. It reports false if the caller disconnects first.
func sleep(r *http.Request, d time.Duration) bool {
	if d == 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// discardWriter discards the response of a call whose caller must not see it.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardWriter) WriteHeader(int)             {}
