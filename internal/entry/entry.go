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

	self            member.Member
	loop            *loop.Loop
	store           *store.Client
	targetListStore *store.Client
	peerNode        *peer.Node
	group           *member.Group
	configFeed      *feed.Feed
	targetListFeed  *feed.Feed
	targetClient    *target.Client
	table           *route.Table
	ledger          *route.Ledger
	opLog           *oplog.Log
	sweeper         *sweep.Sweeper
	reconciler      *order.Reconciler
	prompts         *flow.Prompts
	calls           *flow.Calls
	frontServer     *front.Server
	activeConfig    atomic.Pointer[config.Config]
	activeRoster    atomic.Pointer[roster.Roster]
	draining        atomic.Bool
	rejecting       atomic.Bool // callers have had time to learn of other addresses
	startedAt       clock.Millis
	drained         chan struct{}
}

// Run starts the instance and serves until the context ends or a drain is complete.
func (e *Instance) Run(ctx context.Context) error {
	callers, admin, err := e.listen()
	if err != nil {
		return err
	}
	// Operations that were dispatched are recorded also after the context has ended.
	logCtx, cancelLog := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelLog()
	if err := e.prepare(logCtx); err != nil {
		return err
	}
	slog.Info("instance started", "name", e.self.Name, "zone", e.self.Zone, "listen", e.self.Addr,
		"peer", e.peerNode.LocalAddr(), "admin", admin.Addr().String())

	var g run.Group
	for _, slice := range e.components() {
		serve.Add(&g, slice)
	}
	serve.Add(&g, func(ctx context.Context) error { return e.register(ctx, admin.Addr().String()) })
	if callers, err = e.wrapTLS(&g, callers); err != nil {
		return err
	}
	e.serve(&g, callers, e.frontServer.Handler())
	e.serve(&g, admin, e.adminHandler())
	serve.Add(&g, func(own context.Context) error {
		select {
		case <-own.Done():
		case <-ctx.Done():
		case <-e.drained:
		}
		return nil
	})
	return g.Run()
}

// prepare connects the slices and opens the peer port.
func (e *Instance) prepare(logCtx context.Context) error {
	policy, _ := route.PolicyNamed(e.Settings.RoutingPolicy)
	e.drained = make(chan struct{})
	e.loop = loop.New()
	e.assemble(policy)
	e.opLog.Start(logCtx)
	e.registerPeerHandlers()
	if err := e.peerNode.Listen(); err != nil {
		return err
	}
	e.self.Peer = e.peerNode.LocalAddr()
	if e.Settings.AdvertisedPeerAddr != "" {
		e.self.Peer = e.Settings.AdvertisedPeerAddr
	}
	e.group.Self = e.self
	e.group.Init()
	return nil
}

// components returns the parts that run until the instance ends.
func (e *Instance) components() []func(context.Context) error {
	return []func(context.Context) error{
		e.loop.Run, e.peerNode.Run, e.group.Run, e.configFeed.Run, e.targetListFeed.Run,
		e.table.Run, e.ledger.Run, e.sweeper.Run, e.reconciler.Run,
	}
}

func (e *Instance) listen() (callers, admin net.Listener, err error) {
	if callers, err = net.Listen("tcp", e.Settings.CallersAddr); err != nil {
		return nil, nil, eris.Wrap(err, "listen for callers")
	}
	if admin, err = net.Listen("tcp", e.Settings.AdminAddr); err != nil {
		return nil, nil, eris.Wrap(err, "listen for operators")
	}
	e.startedAt = clock.Now()
	incarnation := uint64(e.startedAt)
	e.self = member.Member{
		Name: e.Settings.Name, Zone: e.Settings.Zone, Addr: callers.Addr().String(), Incarnation: incarnation, FirstIncarnation: incarnation,
	}
	return callers, admin, nil
}

func (e *Instance) applyConfig(o store.Object) error {
	parsed, problems := config.Parse(o.Value)
	if len(problems) > 0 {
		return eris.New(problems[0].String())
	}
	e.activeConfig.Store(&parsed)
	return nil
}

func (e *Instance) applyRoster(o store.Object) error {
	r, err := roster.Parse(o.Value)
	if err != nil {
		return err
	}
	e.activeRoster.Store(&r)
	e.table.ReplaceTargets(r)
	return nil
}

func (e *Instance) config() config.Config {
	if c := e.activeConfig.Load(); c != nil {
		return *c
	}
	return config.Config{}
}

// unavailable says why the instance takes no requests now.
func (e *Instance) unavailable() (wire.Reason, bool) {
	switch {
	case e.rejecting.Load():
		return wire.ReasonDraining, true
	case e.configFeed.Current().Version == 0 || e.targetListFeed.Current().Version == 0:
		return wire.ReasonNotReady, true
	case e.isolated():
		return wire.ReasonIsolated, true
	default:
		return "", false
	}
}

// isolated reports whether nothing has been heard of the object API and the known peers for too long, or a newer
// configuration is known and cannot be had.
func (e *Instance) isolated() bool {
	if e.configFeed.StaleFor() > isolationTimeout {
		return true
	}
	if len(e.group.View().Members) < 2 {
		return false
	}
	last := max(e.configFeed.LastSuccess(), e.group.LastHeard(), e.targetListFeed.LastSuccess())
	return clock.Now()-last > isolationTimeout && clock.Now()-e.startedAt > isolationTimeout
}

// wrapTLS puts TLS on the callers' listener if there is a certificate.
func (e *Instance) wrapTLS(g *run.Group, callers net.Listener) (net.Listener, error) {
	if e.Settings.CertFile == "" {
		return callers, nil
	}
	source := &certs.Source{CertFile: e.Settings.CertFile, KeyFile: e.Settings.CertKeyFile}
	if err := source.Load(); err != nil {
		return nil, err
	}
	serve.Add(g, source.Run)
	return tls.NewListener(callers, source.TLSConfig()), nil
}

func (e *Instance) serve(g *run.Group, l net.Listener, h http.Handler) {
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
