package order

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/engine"
	"github.com/corianderpier/corianderpier/internal/fence"
	"github.com/corianderpier/corianderpier/internal/roster"
	"github.com/corianderpier/corianderpier/internal/store"
)

// Guards against: an order that is not sent, as the object API confirms the writer too slowly, is reported as another instance's
// takeover and counted as an engine's refusal.
func TestLateConfirmation(t *testing.T) {
	is := is.New(t)
	sent := 0
	r := &Reconciler{
		Store: fence.Store{Get: func(context.Context, string) (store.Object, error) {
			time.Sleep(maxConfirmationAge.Duration() + 50*time.Millisecond)
			return store.Object{Version: 3}, nil
		}},
		SendOrder: func(context.Context, string, engine.Order) error {
			sent++
			return nil
		},
	}
	want := engine.State{Model: "small", Version: "v2"}
	orders := &serviceOrders{name: "orders/read", version: 3, stored: storedOrders{Orders: map[string]engine.State{"a": want}}}
	refused := metrics.GetOrCreateCounter(`pier_order_events_total{event="refused"}`).Get()
	target := roster.Target{ID: "a"}
	err := r.sendOrders(context.Background(), config.Service{Fenced: true}, orders, []roster.Target{target}, map[string]engine.State{"a": {}})
	is.NoErr(err)
	is.Equal(sent, 0)
	is.Equal(metrics.GetOrCreateCounter(`pier_order_events_total{event="refused"}`).Get(), refused)
	is.Equal(metrics.GetOrCreateCounter(`pier_order_events_total{event="late"}`).Get(), uint64(1))
	var e *Error
	is.True(eris.As(r.sendOrder(context.Background(), orders, target, want), &e))
	is.True(e.Kind != Superseded)
}
