package order

import (
	"context"
	"log/slog"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/engine"
	"github.com/corianderpier/corianderpier/internal/fence"
	"github.com/corianderpier/corianderpier/internal/roster"
	"github.com/corianderpier/corianderpier/internal/store"
)

// ConvergenceLimit is the longest time for which an engine may differ from the configuration. The time that the engine
// takes to carry out an order and the time to detect a lost instance come on top.
const ConvergenceLimit = 5 * clock.Second

const (
	reconcileInterval  = clock.Second / 2 // between reads of the engines' states
	orderLifetime      = clock.Second     // from the confirmation that this instance is the writer to the end of an order's call
	maxConfirmationAge = clock.Second / 4 // when an order is sent
	storeTimeout       = 5 * clock.Second // for a takeover or an update
)

// Kind classifies an Error.
type Kind string

// The kinds of failure.
const (
	Unavailable Kind = "unavailable" // the object API does not answer
	Superseded  Kind = "superseded"  // another instance writes the orders, or may do so by now
	Late        Kind = "late"        // the confirmation that this instance is the writer was too old when the order was to be sent
	Corrupt     Kind = "corrupt"     // a value cannot be encoded or decoded
)

// Error reports a failure to store or send orders.
type Error struct {
	Op   string
	Kind Kind
	Err  error
}

func (e *Error) Error() string {
	if e.Err == nil {
		return e.Op + ": " + string(e.Kind)
	}
	return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// storedOrders is the value of a service's object in the object API.
type storedOrders struct {
	Term   uint64                  `cbor:"1,keyasint"` // raised at each takeover; sent as the fencing number
	Token  string                  `cbor:"2,keyasint"` // unique to the update
	Orders map[string]engine.State `cbor:"3,keyasint"` // wanted states by target ID
}

// Reconciler brings the engines of the services whose home is this instance to the configured state.
type Reconciler struct {
	Self      string // instance and incarnation
	Store     fence.Store
	Config    func() config.Config
	Targets   func(service string) []roster.Target
	IsHome    func(key string) bool // reports whether this instance is the home for a key
	ReadState func(ctx context.Context, addr string) (engine.State, error)
	SendOrder func(ctx context.Context, addr string, o engine.Order) error

	services map[string]*serviceOrders // services whose writer is this instance, by object name
	serial   uint64                    // of the last update, for its token
}

// serviceOrders is the writer's state for one service.
type serviceOrders struct {
	name        string       // of the object
	stored      storedOrders // its value
	version     uint64       // its version
	tookOverAt  time.Time    // when this instance became the writer
	confirmedAt time.Time    // when it last read back that it still is
}

// Run reconciles the engines at regular intervals until the context ends.
func (r *Reconciler) Run(ctx context.Context) error {
	r.services = make(map[string]*serviceOrders)
	clock.Every(ctx, reconcileInterval, func() { r.reconcileAll(ctx) })
	return nil
}

// reconcileAll reconciles the engines of all services once.
func (r *Reconciler) reconcileAll(ctx context.Context) {
	for _, s := range r.Config().Services {
		if len(s.Models) == 0 {
			continue
		}
		if err := r.reconcile(ctx, s); err != nil {
			countEvent("failed")
			slog.Warn("cannot reconcile engines", "service", s.Name, "error", err)
		}
	}
}

// reconcile stores the wanted states of a service's engines and sends orders to those that differ.
func (r *Reconciler) reconcile(ctx context.Context, s config.Service) error {
	name := "orders/" + s.Name
	if !r.IsHome(name) {
		delete(r.services, name)
		return nil
	}
	targets := r.Targets(s.Name)
	states := r.readStates(ctx, targets)
	orders := r.services[name]
	if orders == nil {
		var err error
		if orders, err = r.takeOver(ctx, name); err != nil {
			return err
		}
		r.services[name] = orders
	}
	wanted := assignModels(s.Models, targets, states)
	if !equalOrders(wanted, orders.stored.Orders) {
		if err := r.storeOrders(ctx, orders, wanted); err != nil {
			delete(r.services, name)
			return err
		}
	}
	return r.sendOrders(ctx, s, orders, targets, states)
}

// readStates reads the states of all targets in parallel. Targets that do not answer are missing from the result.
func (r *Reconciler) readStates(ctx context.Context, targets []roster.Target) map[string]engine.State {
	states := make(map[string]engine.State, len(targets))
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, t := range targets {
		group.Go(func() {
			state, err := r.ReadState(ctx, t.Addr)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			states[t.ID] = state
		})
	}
	group.Wait()
	return states
}

// sendOrders sends orders to the engines that differ from their wanted state. No more engines load at a time than the
// service's limit for its weight store allows.
func (r *Reconciler) sendOrders(ctx context.Context, s config.Service, orders *serviceOrders, targets []roster.Target, states map[string]engine.State) error {
	if !s.Fenced && time.Since(orders.tookOverAt) < orderLifetime.Duration() {
		return nil // an order of the former writer may still arrive, and these engines do not check the fencing number
	}
	loading := 0
	for _, state := range states {
		if state.Loading {
			loading++
		}
	}
	for _, t := range targets {
		state, known := states[t.ID]
		want, ordered := orders.stored.Orders[t.ID]
		if !known || !ordered || state.Loading || state.Matches(want) || loading >= max(s.MaxConcurrentLoads, 1) {
			continue
		}
		if err := r.confirmWriter(ctx, orders); err != nil {
			delete(r.services, orders.name)
			return err
		}
		if err := r.sendOrder(ctx, orders, t, want); err != nil {
			countEvent(failureEvent(err))
			slog.Warn("cannot send order", "target", t.ID, "error", err)
			continue
		}
		loading++
	}
	return nil
}

// sendOrder sends one order, unless the confirmation that this instance is the writer is too old. The call ends at
// orderLifetime after the confirmation, so that a new writer knows when no order of a former one can arrive any more.
func (r *Reconciler) sendOrder(ctx context.Context, orders *serviceOrders, t roster.Target, want engine.State) error {
	ctx, cancel := context.WithDeadline(ctx, orders.confirmedAt.Add(orderLifetime.Duration()))
	defer cancel()
	if time.Since(orders.confirmedAt) > maxConfirmationAge.Duration() {
		return &Error{Op: "send order", Kind: Late}
	}
	countEvent("sent")
	slog.Info("sending order", "target", t.ID, "model", want.Model, "version", want.Version, "role", want.Role, "fence", orders.stored.Term)
	return r.SendOrder(ctx, t.Addr, engine.Order{Fence: orders.stored.Term, State: want})
}

// failureEvent returns the event to count for an order that failed: late if it was not sent.
func failureEvent(err error) string {
	var e *Error
	if eris.As(err, &e) && e.Kind == Late {
		return "late"
	}
	return "refused"
}

// confirmWriter checks, by the version of the stored object, that this instance is still the writer.
func (r *Reconciler) confirmWriter(ctx context.Context, orders *serviceOrders) error {
	if time.Since(orders.confirmedAt) < maxConfirmationAge.Duration()/2 {
		return nil
	}
	readAt := time.Now()
	o, err := r.Store.Get(ctx, orders.name)
	if err != nil {
		return &Error{Op: "confirm writer", Kind: Unavailable, Err: err}
	}
	if o.Version != orders.version {
		return &Error{Op: "confirm writer", Kind: Superseded}
	}
	orders.confirmedAt = readAt
	return nil
}

// takeOver makes this instance the writer of a service's orders by storing them under the next term.
func (r *Reconciler) takeOver(ctx context.Context, name string) (*serviceOrders, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	o, err := r.Store.Get(ctx, name)
	if err != nil && !store.Is(err, store.NotFound) {
		return nil, &Error{Op: "take over", Kind: Unavailable, Err: err}
	}
	orders := &serviceOrders{name: name, version: o.Version}
	if o.Version != 0 {
		if err := cbor.Unmarshal(o.Value, &orders.stored); err != nil {
			return nil, &Error{Op: "take over", Kind: Corrupt, Err: err}
		}
	}
	orders.stored.Term++
	if err := r.storeOrders(ctx, orders, orders.stored.Orders); err != nil {
		return nil, err
	}
	orders.tookOverAt = time.Now()
	countEvent("takeovers")
	return orders, nil
}

// storeOrders stores the wanted states under the present term. Orders are sent only after it has succeeded.
func (r *Reconciler) storeOrders(ctx context.Context, orders *serviceOrders, wanted map[string]engine.State) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout.Duration())
	defer cancel()
	r.serial++
	next := storedOrders{Term: orders.stored.Term, Token: r.Self + "/" + strconv.FormatUint(r.serial, 10), Orders: wanted}
	value, err := cbor.Marshal(next)
	if err != nil {
		return &Error{Op: "store orders", Kind: Corrupt, Err: err}
	}
	version, err := r.Store.Apply(ctx, fence.Change{
		Name: orders.name, Version: orders.version, Value: value,
		IsOwn: func(stored []byte) bool {
			var found storedOrders
			return cbor.Unmarshal(stored, &found) == nil && found.Token == next.Token
		},
	})
	if err != nil {
		return &Error{Op: "store orders", Kind: Unavailable, Err: err}
	}
	if version == 0 {
		return &Error{Op: "store orders", Kind: Superseded}
	}
	orders.stored, orders.version = next, version
	return nil
}

// assignModels assigns each model its number of engines. To keep loads few it makes three passes: engines that already
// are in the wanted state, then engines that have the model's weights, then any.
func assignModels(models []config.Model, targets []roster.Target, states map[string]engine.State) map[string]engine.State {
	wanted := make(map[string]engine.State, len(targets))
	for pass := range 3 {
		for _, m := range models {
			want := engine.State{Model: m.Name, Version: m.Version, Adapter: m.Adapter, Role: m.Role}
			for _, t := range rankTargets(targets, m.Name) {
				if _, taken := wanted[t.ID]; taken || countAssigned(wanted, want) >= m.EngineCount {
					continue
				}
				if eligible(pass, states[t.ID], want) {
					wanted[t.ID] = want
				}
			}
		}
	}
	return wanted
}

// eligible reports whether an engine in the given state may be assigned the wanted state in a pass of assignModels.
func eligible(pass int, state, want engine.State) bool {
	switch pass {
	case 0:
		return state.Matches(want)
	case 1:
		return state.Model == want.Model && state.Version == want.Version
	default:
		return true
	}
}

// countAssigned returns the number of engines that are assigned the wanted state.
func countAssigned(wanted map[string]engine.State, want engine.State) int {
	n := 0
	for _, state := range wanted {
		if state.Matches(want) {
			n++
		}
	}
	return n
}

// rankTargets sorts targets by rendezvous hash, so that few assignments change when targets come or go.
func rankTargets(targets []roster.Target, key string) []roster.Target {
	out := append([]roster.Target(nil), targets...)
	sort.Slice(out, func(i, j int) bool {
		return xxhash.Sum64String(key+out[i].ID) > xxhash.Sum64String(key+out[j].ID)
	})
	return out
}

func equalOrders(a, b map[string]engine.State) bool {
	if len(a) != len(b) {
		return false
	}
	for id, state := range a {
		if other, ok := b[id]; !ok || !state.Matches(other) {
			return false
		}
	}
	return true
}

func countEvent(event string) {
	metrics.GetOrCreateCounter(`pier_order_events_total{event="` + event + `"}`).Inc()
}
