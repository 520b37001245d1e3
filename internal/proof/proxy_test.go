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

var silenceLog sync.Once

func newProxy(t testing.TB, upstream string) *faultProxy {
	t.Helper()
	silenceLog.Do(func() { logrus.SetOutput(io.Discard) })
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

// silence keeps connections open and passes nothing on, in the given direction.
func (f *faultProxy) silence(stream string) {
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

// hushProxy passes TCP connections on; hush makes those that are open silent for good in both directions, while new ones work.
type hushProxy struct {
	listener net.Listener
	upstream string
	mu       sync.Mutex
	epoch    int
}

func newHushProxy(t testing.TB, upstream string) *hushProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &hushProxy{listener: l, upstream: upstream}
	t.Cleanup(func() { _ = l.Close() })
	go p.run()
	return p
}

func (p *hushProxy) addr() string { return p.listener.Addr().String() }

func (p *hushProxy) hush() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.epoch++
}

func (p *hushProxy) now() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch
}

func (p *hushProxy) run() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.upstream)
		if err != nil {
			_ = in.Close()
			continue
		}
		epoch := p.now()
		go p.pass(in, out, epoch)
		go p.pass(out, in, epoch)
	}
}

// pass copies until the connections are hushed; from then on it reads nothing and closes nothing.
func (p *hushProxy) pass(from, to net.Conn, epoch int) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if p.now() != epoch {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
}
