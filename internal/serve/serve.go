package serve

import (
	"context"
	"log/slog"
	"net"
	"net/http"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// Add adds a function to the group. Its context is cancelled when the group stops.
func Add(g *run.Group, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// HTTP adds an HTTP server to the group. When the group stops, the server accepts no more connections and waits up to
// shutdownTimeout for the open ones to become idle; those that do not are cut off.
func HTTP(g *run.Group, l net.Listener, server *http.Server, shutdownTimeout clock.Millis) {
	server.Handler = logPanics(server.Handler)
	server.ErrorLog = slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug)
	g.Add(func() error {
		err := server.Serve(l)
		if eris.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout.Duration())
		defer cancel()
		if err := server.Shutdown(ctx); err != nil {
			slog.Info("shutdown with active connections", "error", err.Error())
		}
	})
}
