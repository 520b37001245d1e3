package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/front"
	"github.com/corianderpier/corianderpier/internal/member"
	"github.com/corianderpier/corianderpier/internal/oplog"
)

const (
	addressTTLMargin = clock.Second // waited beyond the time for which callers cache addresses
	drainTimeout     = 30 * clock.Minute
	findTimeout      = 3 * clock.Second
)

// Status is the answer to GET /status on the operators' port.
type Status struct {
	Name                string          `json:"name"`
	Zone                string          `json:"zone"`
	ConfigVersion       uint64          `json:"config"`  // version of the active configuration
	InstanceListVersion uint64          `json:"targets"` // version of the active instance list
	ActiveRequests      int             `json:"active"`  // requests in progress
	PendingReleases     int             `json:"pending"` // releases of engine memory that the engine has not confirmed
	Draining            bool            `json:"draining"`
	Isolated            bool            `json:"isolated"`
	Ready               bool            `json:"ready"`
	Members             []member.Member `json:"members"`
}

// OperationStatus is the answer to GET /why: the recorded state and outcome of an operation.
type OperationStatus struct {
	Found   bool   `json:"found"`
	State   string `json:"state"`
	Attempt string `json:"attempt,omitempty"`
	Target  string `json:"target,omitempty"`
	Status  int    `json:"status,omitempty"`
	Term    uint64 `json:"term"`
}

func (i *Instance) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, i.status()) })
	mux.HandleFunc("GET /ready", i.handleReady)
	mux.HandleFunc("GET /why", i.handleWhy)
	mux.HandleFunc("POST /drain", func(w http.ResponseWriter, _ *http.Request) {
		i.Drain()
		w.WriteHeader(http.StatusAccepted)
	})
	return mux
}

func (i *Instance) status() Status {
	_, unavailable := i.unavailable()
	return Status{
		Name: i.self.Name, Zone: i.self.Zone, ConfigVersion: i.configFeed.Current().Version.Number, InstanceListVersion: i.instanceListFeed.Current().Version.Number,
		ActiveRequests: i.frontServer.ActiveRequests(), PendingReleases: i.sweeper.PendingReleases(), Draining: i.draining.Load(), Isolated: i.isolated(),
		Ready: !unavailable, Members: i.group.View().Members,
	}
}

func (i *Instance) handleReady(w http.ResponseWriter, _ *http.Request) {
	if reason, unavailable := i.unavailable(); unavailable {
		http.Error(w, string(reason), http.StatusServiceUnavailable)
	}
}

func (i *Instance) handleWhy(w http.ResponseWriter, r *http.Request) {
	key := oplog.Key(r.URL.Query().Get("customer"), r.URL.Query().Get("key"))
	ctx, cancel := context.WithTimeout(r.Context(), findTimeout.Duration())
	defer cancel()
	reply, err := i.findOperation(ctx, key)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	record := reply.Record
	writeJSON(w, http.StatusOK, OperationStatus{
		Found: reply.Found, State: record.State.String(), Attempt: record.Attempt,
		Target: record.Outcome.Target, Status: record.Outcome.Status, Term: reply.Term,
	})
}

// Drain begins a graceful shutdown: callers are sent to other instances, admitted requests are finished, and Run
// returns.
func (i *Instance) Drain() {
	if i.draining.Swap(true) {
		return
	}
	go i.completeDrain()
}

func (i *Instance) completeDrain() {
	slog.Info("drain begun", "active", i.frontServer.ActiveRequests())
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout.Duration())
	defer cancel()
	i.group.Leave()
	i.unregister(ctx)
	// Callers may still send requests here until their cached address expires.
	_ = clock.Sleep(ctx, front.AddressTTL+addressTTLMargin)
	i.rejecting.Store(true)
	if err := i.frontServer.WaitIdle(ctx); err != nil {
		slog.Warn("drain ended with requests in progress", "active", i.frontServer.ActiveRequests())
	}
	if err := i.opLog.WaitIdle(ctx); err != nil {
		slog.Warn("drain ended with operations in progress")
	}
	if err := i.carrier.WaitIdle(ctx); err != nil {
		slog.Warn("drain ended with connections of other instances", "active", i.carrier.Active())
	}
	for i.sweeper.PendingReleases() > 0 && ctx.Err() == nil {
		_ = clock.Sleep(ctx, registerRetryDelay)
	}
	slog.Info("drain complete")
	close(i.drained)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
