package proof

import (
	"io"
	"strings"
	"sync"
	"testing"

	"github.com/Shopify/toxiproxy"
	"github.com/sirupsen/logrus"
)

// faultProxy is a TCP proxy that a test can stop or stall.
type faultProxy struct {
	t     testing.TB
	proxy *toxiproxy.Proxy
}

var discardProxyLog sync.Once

// newFaultProxy starts a proxy to an address. It stops at the end of the test.
func newFaultProxy(t testing.TB, upstream string) *faultProxy {
	t.Helper()
	discardProxyLog.Do(func() { logrus.SetOutput(io.Discard) })
	p := toxiproxy.NewProxy()
	p.Name, p.Upstream = upstream, upstream
	p.Listen = "127.0.0.1:0" // replaced by the port that it gets
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return &faultProxy{t: t, proxy: p}
}

func (f *faultProxy) addr() string { return f.proxy.Listen }

// stall keeps connections open, also new ones, and forwards nothing in the given
// direction, upstream or downstream.
func (f *faultProxy) stall(stream string) {
	f.t.Helper()
	_, err := f.proxy.Toxics.AddToxicJson(strings.NewReader(`{"name":"silent-` + stream + `","type":"timeout","stream":"` + stream + `","attributes":{"timeout":0}}`))
	if err != nil {
		f.t.Fatal(err)
	}
}

// cut closes all connections and refuses new ones.
func (f *faultProxy) cut() { f.proxy.Stop() }

// heal removes all faults.
func (f *faultProxy) heal() {
	f.t.Helper()
	f.proxy.Toxics.ResetToxics()
	if !f.proxy.Enabled {
		if err := f.proxy.Start(); err != nil {
			f.t.Fatal(err)
		}
	}
}
