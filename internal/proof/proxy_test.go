package proof

import (
	"io"
	"net"
	"strings"

	"sync"
	"testing"

	"github.com/Shopify/toxiproxy"
	"github.com/sirupsen/logrus"
)

// faultProxy is a TCP connection path that a test can cut or silence.
type faultProxy struct {
	t     testing.TB
	proxy *toxiproxy.Proxy
}

var discardProxyLog sync.Once

func newFaultProxy(t testing.TB, upstream string) *faultProxy {
	t.Helper()
	discardProxyLog.Do(func() { logrus.SetOutput(io.Discard) })
	p := toxiproxy.NewProxy()
	p.Name, p.Upstream = upstream, upstream
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.Listen = l.Addr().String()
	_ = l.Close()
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	return &faultProxy{t: t, proxy: p}
}

func (f *faultProxy) addr() string { return f.proxy.Listen }

// stall keeps connections open and passes nothing on, in the given direction.
func (f *faultProxy) stall(stream string) {
	f.t.Helper()
	_, err := f.proxy.Toxics.AddToxicJson(strings.NewReader(`{"name":"silent-` + stream + `","type":"timeout","stream":"` + stream + `","attributes":{"timeout":0}}`))
	if err != nil {
		f.t.Fatal(err)
	}
}

// cut refuses new connections and closes the old ones.
func (f *faultProxy) cut() { f.proxy.Stop() }

// heal passes everything on again.
func (f *faultProxy) heal() {
	f.t.Helper()
	f.proxy.Toxics.ResetToxics()
	if !f.proxy.Enabled {
		if err := f.proxy.Start(); err != nil {
			f.t.Fatal(err)
		}
	}
}
