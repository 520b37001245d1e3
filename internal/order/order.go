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

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/engine"
	"github.com/corianderpier/corianderpier/internal/fence"
	"github.com/corianderpier/corianderpier/internal/roster"
	"github.com/corianderpier/corianderpier/internal/store"
)

// ConvergenceLimit is how long an engine may stay in a state that the configuration does
// not want, beyond the time that the engine itself needs and the detection of a
// lost instance.
const ConvergenceLimit = 5 * clock.Second

const (
	period    = clock.Second / 2 // between looks at the engines
	orderLife = clock.Second     // from the confirmation of the writer to the end of an order's call
	freshness = clock.Second / 4 // of the confirmation, right before an order is sent
	storeTime = 5 * clock.Second
)

// Kind classifies a failure.
type Kind string

// The kinds of failure.
const (
	Unavailable Kind = "unavailable"
	Superseded  Kind = "superseded" // another instance writes the orders
	Corrupt     Kind = "corrupt"
)

// Error is a failure to write or send orders.
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

// page is the value of a service's object.
type page struct {
	Term   uint64                  `cbor:"1,keyasint"`
	Token  string                  `cbor:"2,keyasint"`
	Orders map[string]engine.State `cbor:"3,keyasint"` // by target
}

// Reconciler orders the engines of the services whose home this instance is.
type Reconciler struct {
	Self      string // instance and incarnation
	Store     fence.Store
	Config    func() config.Config
	Targets   func(service string) []roster.Target
	IsHome    func(key string) bool // whether this instance is the home for a key
	ReadState func(ctx context.Context, addr string) (engine.State, error)
	SendOrder func(ctx context.Context, addr string, o engine.Order) error

	cells  map[string]*cell
	serial uint64
}

// cell is the orders for the engines of one service.
type cell struct {
	name    string
	page    page
	version uint64
	taken   time.Time // when this instance became the writer
	checked time.Time // when it last confirmed that it is
}

// Run orders until the context ends.
func (w *Reconciler) Run(ctx context.Context) error {
	w.cells = make(map[string]*cell)
	ticker := time.NewTicker(period.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, s := range w.Config().Services {
			if len(s.Models) == 0 {
				continue
			}
			if err := w.reconcile(ctx, s); err != nil {
				count("failed")
				slog.Warn("orders not carried out", "service", s.Name, "error", err)
			}
		}
	}
}

// reconcile brings the engines of a service closer to what is wanted.
func (w *Reconciler) reconcile(ctx context.Context, s config.Service) error {
	name := "orders/" + s.Name
	if !w.IsHome(name) {
		delete(w.cells, name)
		return nil
	}
	targets := w.Targets(s.Name)
	states := w.readAll(ctx, targets)
	c := w.cells[name]
	if c == nil {
		var err error
		if c, err = w.takeOver(ctx, name); err != nil {
			return err
		}
		w.cells[name] = c
	}
	wanted := assign(s.Models, targets, states)
	if !equal(wanted, c.page.Orders) {
		if err := w.record(ctx, c, wanted); err != nil {
			delete(w.cells, name)
			return err
		}
	}
	return w.sendAll(ctx, s, c, targets, states)
}

func (w *Reconciler) readAll(ctx context.Context, targets []roster.Target) map[string]engine.State {
	states := make(map[string]engine.State, len(targets))
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, t := range targets {
		group.Go(func() {
			state, err := w.ReadState(ctx, t.Addr)
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

// sendAll orders the engines that differ, no more at once than the weight store allows.
func (w *Reconciler) sendAll(ctx context.Context, s config.Service, c *cell, targets []roster.Target, states map[string]engine.State) error {
	if !s.Fenced && time.Since(c.taken) < orderLife.Duration() {
		return nil // an order of the former writer may still be on its way
	}
	loading := 0
	for _, state := range states {
		if state.Loading {
			loading++
		}
	}
	for _, t := range targets {
		state, known := states[t.ID]
		want, ordered := c.page.Orders[t.ID]
		if !known || !ordered || state.Loading || state.Matches(want) || loading >= max(s.Loads, 1) {
			continue
		}
		if err := w.confirm(ctx, c); err != nil {
			delete(w.cells, c.name)
			return err
		}
		if err := w.send(ctx, c, t, want); err != nil {
			count("refused")
			slog.Warn("order refused", "target", t.ID, "error", err)
			continue
		}
		loading++
	}
	return nil
}

// send gives one order, if the confirmation is still fresh.
func (w *Reconciler) send(ctx context.Context, c *cell, t roster.Target, want engine.State) error {
	ctx, cancel := context.WithDeadline(ctx, c.checked.Add(orderLife.Duration()))
	defer cancel()
	if time.Since(c.checked) > freshness.Duration() {
		return &Error{Op: "send", Kind: Superseded}
	}
	count("sent")
	slog.Info("order", "target", t.ID, "model", want.Model, "version", want.Version, "role", want.Role, "fence", c.page.Term)
	return w.SendOrder(ctx, t.Addr, engine.Order{Fence: c.page.Term, State: want})
}

// confirm reads back that this instance is still the writer.
func (w *Reconciler) confirm(ctx context.Context, c *cell) error {
	if time.Since(c.checked) < freshness.Duration()/2 {
		return nil
	}
	asked := time.Now()
	o, err := w.Store.Get(ctx, c.name)
	if err != nil {
		return &Error{Op: "confirm", Kind: Unavailable, Err: err}
	}
	if o.Version != c.version {
		return &Error{Op: "confirm", Kind: Superseded}
	}
	c.checked = asked
	return nil
}

func (w *Reconciler) takeOver(ctx context.Context, name string) (*cell, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTime.Duration())
	defer cancel()
	o, err := w.Store.Get(ctx, name)
	if err != nil && !store.Is(err, store.NotFound) {
		return nil, &Error{Op: "take over", Kind: Unavailable, Err: err}
	}
	c := &cell{name: name, version: o.Version}
	if o.Version != 0 {
		if err := cbor.Unmarshal(o.Value, &c.page); err != nil {
			return nil, &Error{Op: "take over", Kind: Corrupt, Err: err}
		}
	}
	c.page.Term++
	if err := w.record(ctx, c, c.page.Orders); err != nil {
		return nil, err
	}
	c.taken = time.Now()
	count("takeovers")
	return c, nil
}

// record writes the wanted states before any order is sent.
func (w *Reconciler) record(ctx context.Context, c *cell, wanted map[string]engine.State) error {
	ctx, cancel := context.WithTimeout(ctx, storeTime.Duration())
	defer cancel()
	w.serial++
	next := page{Term: c.page.Term, Token: w.Self + "/" + strconv.FormatUint(w.serial, 10), Orders: wanted}
	value, err := cbor.Marshal(next)
	if err != nil {
		return &Error{Op: "record", Kind: Corrupt, Err: err}
	}
	version, err := w.Store.Apply(ctx, fence.Change{
		Name: c.name, Version: c.version, Value: value,
		IsOwn: func(stored []byte) bool {
			var found page
			return cbor.Unmarshal(stored, &found) == nil && found.Token == next.Token
		},
	})
	if err != nil {
		return &Error{Op: "record", Kind: Unavailable, Err: err}
	}
	if version == 0 {
		return &Error{Op: "record", Kind: Superseded}
	}
	c.page, c.version = next, version
	return nil
}

// assign shares the engines out among the wanted models: those that are as wanted stay, then those that have the
// weights are taken, then any.
func assign(models []config.Model, targets []roster.Target, states map[string]engine.State) map[string]engine.State {
	wanted := make(map[string]engine.State, len(targets))
	for round := range 3 {
		for _, m := range models {
			want := engine.State{Model: m.Name, Version: m.Version, Adapter: m.Adapter, Role: m.Role}
			for _, t := range ranked(targets, m.Name) {
				if _, taken := wanted[t.ID]; taken || holders(wanted, want) >= m.Engines {
					continue
				}
				if suits(round, states[t.ID], want) {
					wanted[t.ID] = want
				}
			}
		}
	}
	return wanted
}

func suits(round int, state, want engine.State) bool {
	switch round {
	case 0:
		return state.Matches(want)
	case 1:
		return state.Model == want.Model && state.Version == want.Version
	default:
		return true
	}
}

func holders(wanted map[string]engine.State, want engine.State) int {
	n := 0
	for _, state := range wanted {
		if state.Matches(want) {
			n++
		}
	}
	return n
}

func ranked(targets []roster.Target, key string) []roster.Target {
	out := append([]roster.Target(nil), targets...)
	sort.Slice(out, func(i, j int) bool {
		return xxhash.Sum64String(key+out[i].ID) > xxhash.Sum64String(key+out[j].ID)
	})
	return out
}

func equal(a, b map[string]engine.State) bool {
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

func count(event string) {
	metrics.GetOrCreateCounter(`pier_order_events_total{event="` + event + `"}`).Inc()
}
