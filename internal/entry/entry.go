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
	watchersPerObject       = 3                // instances that watch each shared object
	isolationTimeout        = 5 * clock.Second // without an answer from the object API or a peer
	minPollInterval         = 2 * clock.Second
	pollIntervalPerInstance = 10 * clock.Millis(1) // of the poll period for each instance: a hundred reads a second in all
	readHeaderTimeout       = 5 * time.Second
	maxHeaderBytes          = 16 << 10 // bytes
	idleTimeout             = 60 * time.Second
)

// Instance is one entry instance.
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
	rejecting          atomic.Bool // callers have had time to learn of other addresses
	startedAt          clock.Millis
	drained            chan struct{}
}

// Run starts the instance and serves until the context ends or a drain is complete.
func (i *Instance) Run(ctx context.Context) error {
	callers, admin, err := i.listen()
	if err != nil {
		return err
	}
	// Operations that were dispatched are recorded also after the context has ended.
	logCtx, cancelLog := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelLog()
	if err := i.prepare(logCtx); err != nil {
		return err
	}
	slog.Info("instance started", "name", i.self.Name, "zone", i.self.Zone, "listen", i.self.Addr,
		"peer", i.peerNode.LocalAddr(), "admin", admin.Addr().String())

	var g run.Group
	for _, slice := range i.components() {
		serve.Add(&g, slice)
	}
	serve.Add(&g, func(ctx context.Context) error { return i.register(ctx, admin.Addr().String()) })
	if callers, err = i.wrapTLS(&g, callers); err != nil {
		return err
	}
	i.serve(&g, callers, i.frontServer.Handler())
	i.serve(&g, admin, i.adminHandler())
	serve.Add(&g, func(own context.Context) error {
		select {
		case <-own.Done():
		case <-ctx.Done():
		case <-i.drained:
		}
		return nil
	})
	return g.Run()
}

// prepare connects the slices and opens the peer port.
func (i *Instance) prepare(logCtx context.Context) error {
	policy, _ := route.PolicyNamed(i.Settings.RoutingPolicy)
	i.drained = make(chan struct{})
	i.loop = loop.New()
	i.assemble(policy)
	i.opLog.Start(logCtx)
	i.registerPeerHandlers()
	if err := i.peerNode.Listen(); err != nil {
		return err
	}
	i.self.Peer = i.peerNode.LocalAddr()
	if i.Settings.AdvertisedPeerAddr != "" {
		i.self.Peer = i.Settings.AdvertisedPeerAddr
	}
	i.group.Self = i.self
	i.group.Init()
	return nil
}

// components returns the parts that run until the instance ends.
func (i *Instance) components() []func(context.Context) error {
	return []func(context.Context) error{
		i.loop.Run, i.peerNode.Run, i.group.Run, i.configFeed.Run, i.instanceListFeed.Run,
		i.table.Run, i.ledger.Run, i.sweeper.Run, i.reconciler.Run,
	}
}

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

func (i *Instance) applyConfig(o store.Object) error {
	parsed, problems := config.Parse(o.Value)
	if len(problems) > 0 {
		return eris.New(problems[0].String())
	}
	i.activeConfig.Store(&parsed)
	return nil
}

func (i *Instance) applyRoster(o store.Object) error {
	r, err := roster.Parse(o.Value)
	if err != nil {
		return err
	}
	i.activeRoster.Store(&r)
	i.table.ReplaceTargets(r)
	return nil
}

func (i *Instance) config() config.Config {
	if c := i.activeConfig.Load(); c != nil {
		return *c
	}
	return config.Config{}
}

// unavailable says why the instance takes no requests now.
func (i *Instance) unavailable() (wire.Reason, bool) {
	switch {
	case i.rejecting.Load():
		return wire.ReasonDraining, true
	case i.configFeed.Current().Version == 0 || i.instanceListFeed.Current().Version == 0:
		return wire.ReasonNotReady, true
	case i.isolated():
		return wire.ReasonIsolated, true
	default:
		return "", false
	}
}

// isolated reports whether nothing has been heard of the object API and the known peers for too long, or a newer
// configuration is known and cannot be had.
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

// wrapTLS puts TLS on the callers' listener if there is a certificate.
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

// registration is what the object API holds of an instance.
type registration struct {
	Member member.Member `json:"member"`
	Admin  string        `json:"admin"`
}

func encodeRegistration(r registration) []byte {
	data, _ := json.Marshal(r)
	return data
}
