package entry

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/certs"
	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/detour"
	"github.com/corianderpier/corianderpier/internal/feed"
	"github.com/corianderpier/corianderpier/internal/flow"
	"github.com/corianderpier/corianderpier/internal/front"
	"github.com/corianderpier/corianderpier/internal/loop"
	"github.com/corianderpier/corianderpier/internal/member"
	"github.com/corianderpier/corianderpier/internal/oplog"
	"github.com/corianderpier/corianderpier/internal/order"
	"github.com/corianderpier/corianderpier/internal/peer"
	"github.com/corianderpier/corianderpier/internal/roster"
	"github.com/corianderpier/corianderpier/internal/route"
	"github.com/corianderpier/corianderpier/internal/serve"
	"github.com/corianderpier/corianderpier/internal/store"
	"github.com/corianderpier/corianderpier/internal/sweep"
	"github.com/corianderpier/corianderpier/internal/target"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

const (
	watchersPerObject       = 3                // instances that watch an object; the others learn of changes from peers and by polling
	isolationTimeout        = 5 * clock.Second // without contact, after which the instance takes no requests
	minPollInterval         = 2 * clock.Second
	pollIntervalPerInstance = 10 * clock.Millis(1) // the poll interval grows with the instances, which keeps all of them at 100 reads/s together
	readHeaderTimeout       = 5 * time.Second
	maxHeaderBytes          = 16 << 10
	idleTimeout             = 60 * time.Second
)

// Instance is an entry instance: set Settings, then call Run.
type Instance struct {
	Settings Settings

	self               member.Member
	loop               *loop.Loop
	store              *store.Client
	instanceListClient *store.Client
	peerNode           *peer.Node
	group              *member.Group
	configFeed         *feed.Feed
	instanceListFeed   *feed.Feed
	targetClient       *target.Client
	dialTarget         func(ctx context.Context, network, addr string) (net.Conn, error) // opens a connection to a target; nil for the network's way
	dialer             *detour.Dialer
	carrier            *detour.Carrier
	table              *route.Table
	ledger             *route.Ledger
	opLog              *oplog.Log
	sweeper            *sweep.Sweeper
	reconciler         *order.Reconciler
	prompts            *flow.Prompts
	calls              *flow.Calls
	frontServer        *front.Server
	activeConfig       atomic.Pointer[config.Config]
	activeRoster       atomic.Pointer[roster.Roster]
	draining           atomic.Bool
	rejecting          atomic.Bool // new requests are rejected: callers have had time to learn of other instances
	startedAt          clock.Millis
	drained            chan struct{} // closed when a drain is complete
}

// Run starts the instance and serves until the context ends or a drain is complete.
func (i *Instance) Run(ctx context.Context) error {
	callers, admin, err := i.listen()
	if err != nil {
		return err
	}
	// The log must still record the outcomes of dispatched operations after the context is cancelled.
	logCtx, cancelLog := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelLog()
	if err := i.prepare(logCtx); err != nil {
		return err
	}
	slog.Info("instance started", "name", i.self.Name, "zone", i.self.Zone, "listen", i.self.Addr,
		"peer", i.peerNode.LocalAddr(), "admin", admin.Addr().String())

	var g run.Group
	for _, component := range i.components() {
		serve.Add(&g, component)
	}
	serve.Add(&g, func(ctx context.Context) error { return i.register(ctx, admin.Addr().String()) })
	if callers, err = i.wrapTLS(&g, callers); err != nil {
		return err
	}
	i.serve(&g, callers, i.frontServer.Handler())
	i.serve(&g, admin, i.adminHandler())
	serve.Add(&g, func(groupCtx context.Context) error {
		select {
		case <-groupCtx.Done():
		case <-ctx.Done():
		case <-i.drained:
		}
		return nil
	})
	return g.Run()
}

// prepare creates and connects the components, and opens the port for other instances.
func (i *Instance) prepare(logCtx context.Context) error {
	policy, _ := route.PolicyNamed(i.Settings.RoutingPolicy)
	i.drained = make(chan struct{})
	i.loop = loop.New()
	i.assemble(policy)
	i.opLog.Init(logCtx)
	i.registerPeerHandlers()
	if err := i.peerNode.Listen(); err != nil {
		return err
	}
	i.self.PeerAddr = i.peerNode.LocalAddr()
	if i.Settings.AdvertisedPeerAddr != "" {
		i.self.PeerAddr = i.Settings.AdvertisedPeerAddr
	}
	i.group.Self = i.self
	i.group.Init()
	return nil
}

// components returns the Run functions of the components that run until the instance ends.
func (i *Instance) components() []func(context.Context) error {
	return []func(context.Context) error{
		i.loop.Run, i.peerNode.Run, i.group.Run, i.configFeed.Run, i.instanceListFeed.Run,
		i.table.Run, i.dialer.Run, i.ledger.Run, i.sweeper.Run, i.reconciler.Run,
	}
}

// listen opens the ports for callers and operators, and identifies the instance by its address and start time.
func (i *Instance) listen() (callers, admin net.Listener, err error) {
	if callers, err = net.Listen("tcp", i.Settings.CallersAddr); err != nil {
		return nil, nil, eris.Wrap(err, "listen for callers")
	}
	if admin, err = net.Listen("tcp", i.Settings.AdminAddr); err != nil {
		return nil, nil, eris.Wrap(err, "listen for operators")
	}
	i.startedAt = clock.Now()
	incarnation := uint64(i.startedAt)
	i.self = member.Member{
		Name: i.Settings.Name, Zone: i.Settings.Zone, Addr: callers.Addr().String(), Incarnation: incarnation, FirstIncarnation: incarnation,
	}
	return callers, admin, nil
}

// applyConfig activates a configuration unless it is invalid.
func (i *Instance) applyConfig(o feed.Object) error {
	parsed, problems := config.Parse(o.Value)
	if len(problems) > 0 {
		return eris.New(problems[0].String())
	}
	i.activeConfig.Store(&parsed)
	return nil
}

// applyRoster activates an instance list and gives its targets to the routing table.
func (i *Instance) applyRoster(o feed.Object) error {
	r, err := roster.Parse(o.Value)
	if err != nil {
		return err
	}
	i.activeRoster.Store(&r)
	i.table.ReplaceTargets(r)
	return nil
}

// config returns the active configuration, which is empty before the first one.
func (i *Instance) config() config.Config {
	if c := i.activeConfig.Load(); c != nil {
		return *c
	}
	return config.Config{}
}

// unavailable reports whether the instance takes no requests now, and why.
func (i *Instance) unavailable() (wire.Reason, bool) {
	switch {
	case i.rejecting.Load():
		return wire.ReasonDraining, true
	case i.configFeed.Current().IsZero() || i.instanceListFeed.Current().IsZero():
		return wire.ReasonNotReady, true
	case i.isolated():
		return wire.ReasonIsolated, true
	default:
		return "", false
	}
}

// isolated reports whether the instance may be acting on an outdated configuration: for isolationTimeout it has known of
// a newer one without being able to read it, or it has heard neither of its sources nor any peer. An instance without
// peers counts as isolated only in the first case.
func (i *Instance) isolated() bool {
	if i.configFeed.StaleFor() > isolationTimeout {
		return true
	}
	if len(i.group.View().Members) < 2 {
		return false
	}
	last := max(i.configFeed.LastSuccess(), i.group.LastHeard(), i.instanceListFeed.LastSuccess())
	return clock.Now()-last > isolationTimeout && clock.Now()-i.startedAt > isolationTimeout
}

// wrapTLS serves TLS on the callers' listener if a certificate is configured.
func (i *Instance) wrapTLS(g *run.Group, callers net.Listener) (net.Listener, error) {
	if i.Settings.CertFile == "" {
		return callers, nil
	}
	source := &certs.Source{CertFile: i.Settings.CertFile, KeyFile: i.Settings.CertKeyFile}
	if err := source.Load(); err != nil {
		return nil, err
	}
	serve.Add(g, source.Run)
	return tls.NewListener(callers, source.TLSConfig()), nil
}

func (i *Instance) serve(g *run.Group, l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	serve.HTTP(g, l, server, clock.Second)
}

// registration is the stored object under which operators and other instances find this one.
type registration struct {
	Member member.Member `json:"member"`
	Admin  string        `json:"admin"`
}

func encodeRegistration(r registration) []byte {
	data, _ := json.Marshal(r)
	return data
}
