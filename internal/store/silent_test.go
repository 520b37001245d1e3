package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/stage"
	"github.com/corianderpier/corianderpier/internal/store"
)

// Guards against: a call fails on a connection that has fallen silent, and the next one takes another such connection and fails as well.
func TestSilentConnectionsDropped(t *testing.T) {
	const (
		conns = 2                      // as many as an HTTP client keeps by default
		hold  = 100 * time.Millisecond // of each answer, so that calls do not share a connection
	)
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(hold)
		_, _ = w.Write([]byte("[]"))
	}))
	t.Cleanup(server.Close)
	proxy := stage.NewTCPProxy(t, strings.TrimPrefix(server.URL, "http://"))
	client := &store.Client{BaseURL: "http://" + proxy.Addr(), Timeout: callTimeout}
	list := func() error {
		_, err := client.List(context.Background(), "config")
		return err
	}
	var group sync.WaitGroup
	for range conns {
		group.Go(func() { _ = list() })
	}
	group.Wait()
	is.Equal(proxy.OpenCount(), conns)
	proxy.StallBoth()
	is.True(list() != nil)
	is.NoErr(list())
}
