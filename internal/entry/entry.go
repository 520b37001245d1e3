package entry

import (
	"context"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/certs"
	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/feed"
	"github.com/corianderpier/corianderpier/internal/fence"
	"github.com/corianderpier/corianderpier/internal/flow"
	"github.com/corianderpier/corianderpier/internal/front"
	"github.com/corianderpier/corianderpier/internal/loop"
	"github.com/corianderpier/corianderpier/internal/member"
	"github.com/corianderpier/corianderpier/internal/oplog"
	"github.com/corianderpier/corianderpier/internal/order"
	"github.com/corianderpier/corianderpier/internal/peer"
	"github.com/corianderpier/corianderpier/internal/roster"
	"github.com/corianderpier/corianderpier/internal/route"
	"github.com/corianderpier/corianderpier/internal/store"
	"github.com/corianderpier/corianderpier/internal/sweep"
	"github.com/corianderpier/corianderpier/internal/target"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

const (
	watchers      = 3                // instances that watch each shared object
	isolatedAfter = 5 * clock.Second // without an answer from the object API or a peer
	minPoll       = 2 * clock.Second
	pollShare     = 10 * clock.Millis(1) // of the poll period for each instance: a hundred reads a second in all
	headerTime    = 5 * time.Second
	maxHeader     = 16 << 10 // bytes
	idleTime      = 60 * time.Second
)

// Entry is one entry instance.
type Entry struct {
	Settings Settings

	self     member.Member
	loop     *loop.Loop
	store    *store.Client
	list     *store.Client
	peers    *peer.Node
	group    *member.Group
	configs  *feed.Feed
	targets  *feed.Feed
	links    *target.Links
	table    *route.Table
	ledger   *route.Ledger
	log      *oplog.Log
	sweeper  *sweep.Sweeper
	orders   *order.Writer
	prompts  *flow.Prompts
	calls    *flow.Calls
	front    *front.Front
	parsed   atomic.Pointer[config.Config]
	roster   atomic.Pointer[roster.Roster]
	draining atomic.Bool
	closing  atomic.Bool // callers have had time to learn of other addresses
	started  clock.Millis
	stop     chan struct{}
}

// Run starts the instance and serves until the context ends or a drain is complete.
func (e *Entry) Run(ctx context.Context) error {
	policy, _ := route.PolicyNamed(e.Settings.Policy)
	e.started = clock.Now()
	e.stop = make(chan struct{})
	e.loop = loop.New()
	callers, admin, err := e.listen()
	if err != nil {
		return err
	}
	e.assemble(policy)
	logCtx, cancelLog := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelLog()
	e.log.Start(logCtx)
	e.handle()
	if err := e.peers.Listen(); err != nil {
		return err
	}
	e.self.Peer = e.peers.Local()
	if e.Settings.Advertise != "" {
		e.self.Peer = e.Settings.Advertise
	}
	e.group.Self = e.self
	e.group.Start()
	slog.Info("instance started", "name", e.self.Name, "zone", e.self.Zone, "listen", e.self.Addr,
		"peer", e.peers.Local(), "admin", admin.Addr().String())

	var g run.Group
	e.add(&g, e.loop.Run)
	e.add(&g, e.peers.Run)
	e.add(&g, e.group.Run)
	e.add(&g, e.configs.Run)
	e.add(&g, e.targets.Run)
	e.add(&g, e.table.Run)
	e.add(&g, e.ledger.Run)
	e.add(&g, e.sweeper.Run)
	e.add(&g, e.orders.Run)
	e.add(&g, func(ctx context.Context) error { return e.register(ctx, admin.Addr().String()) })
	if callers, err = e.secure(&g, callers); err != nil {
		return err
	}
	e.serve(&g, callers, e.front.Handler())
	e.serve(&g, admin, e.adminHandler())
	e.add(&g, func(ctx context.Context) error {
		select {
		case <-ctx.Done():
		case <-e.stop:
		}
		return nil
	})
	stopped, cancel := context.WithCancel(ctx)
	g.Add(func() error { <-stopped.Done(); return nil }, func(error) { cancel() })
	return g.Run()
}

func (e *Entry) listen() (callers, admin net.Listener, err error) {
	if callers, err = net.Listen("tcp", e.Settings.Listen); err != nil {
		return nil, nil, eris.Wrap(err, "listen for callers")
	}
	if admin, err = net.Listen("tcp", e.Settings.Admin); err != nil {
		return nil, nil, eris.Wrap(err, "listen for operators")
	}
	born := uint64(e.started)
	e.self = member.Member{
		Name: e.Settings.Name, Zone: e.Settings.Zone, Addr: callers.Addr().String(), Incarnation: born, Born: born,
	}
	return callers, admin, nil
}

// assemble connects the slices.
func (e *Entry) assemble(policy route.Policy) {
	owner := e.self.Owner()
	key, _ := hex.DecodeString(e.Settings.Key)
	e.store = &store.Client{Base: e.Settings.Store}
	e.list = &store.Client{Base: e.Settings.Instances}
	e.links = &target.Links{}
	e.links.Start()
	e.assembleGroup(key)
	e.configs = e.feed("config", e.store, config.ObjectName, callConfig, e.acceptConfig)
	e.targets = e.feed("targets", e.list, roster.ObjectName, callTargets, e.acceptRoster)
	e.table = &route.Table{
		Loop: e.loop, Policy: policy, Self: e.self.Name, Config: e.config, View: e.group.View,
		Report: e.links.Load, OnGone: e.group.MarkLeaving,
	}
	e.table.Start()
	e.ledger = &route.Ledger{Loop: e.loop, Table: e.table, Config: e.config, View: e.group.View, Held: e.links.Held}
	e.ledger.Start()
	caller := &oplog.Caller{
		Self: owner, Shards: func() int { return e.config().Operations.Shards },
		Rank: func(key string) []member.Member { return e.group.View().Rank(key) },
		Open: e.open, Submit: e.submit,
	}
	e.calls = &flow.Calls{Table: e.table, Links: e.links, Log: caller}
	e.log = &oplog.Log{
		Self: owner, Settings: func() config.Operations { return e.config().Operations },
		Get: e.store.Get, Put: e.store.Put, Delete: e.store.Delete,
		Dispatch: e.calls.Dispatch, Forward: e.settle,
		Alive: func(writer string) bool { return e.group.View().Has(writer) },
	}
	e.sweeper = &sweep.Sweeper{
		Self: e.self.Name, View: e.group.View, Targets: e.engines, Longest: e.longestDeadline,
		Held: e.links.Held, Release: e.links.Release, Attached: e.attached,
	}
	e.sweeper.Start()
	e.orders = &order.Writer{
		Self: owner, Store: fence.Store{Get: e.store.Get, Put: e.store.Put}, Config: e.config, Targets: e.table.Targets,
		Home: func(key string) bool { return e.group.View().Home(e.self.Name, key, 1) },
		Read: e.links.State, Send: e.links.Order,
	}
	e.prompts = &flow.Prompts{
		Owner: owner, Table: e.table, Links: e.links, Config: e.config, View: e.group.View,
		Free: e.sweeper.Free, Reserve: e.reserve, Release: e.release,
	}
	e.front = &front.Front{
		Self: e.self.Name, View: e.group.View, Refuse: e.refuse, Prompts: e.prompts, Calls: e.calls,
		Config:      func() (config.Config, uint64) { return e.config(), e.configs.Current().Version },
		Incarnation: strconv.FormatInt(int64(e.started), 36),
	}
}

func (e *Entry) assembleGroup(key []byte) {
	e.group = &member.Group{Loop: e.loop}
	e.peers = &peer.Node{Addr: e.Settings.Peer, Key: key}
	e.peers.OnPacket = func(_ net.Addr, plain []byte) { e.group.Receive(plain) }
	e.group.Send = e.peers.Send
	e.group.Direct = func(ctx context.Context, addr string) error {
		return e.peers.Call(ctx, addr, callPing, none{}, &none{})
	}
	e.group.Sync = func(ctx context.Context, addr string, l member.List) (member.List, error) {
		var theirs member.List
		err := e.peers.Call(ctx, addr, callSync, l, &theirs)
		return theirs, err
	}
	e.group.Versions = func() member.Versions {
		return member.Versions{Config: e.configs.Current().Version, Targets: e.targets.Current().Version}
	}
	e.group.OnVersion = func(from member.Member, v member.Versions) {
		e.configs.Hint(v.Config, from.Peer)
		e.targets.Hint(v.Targets, from.Peer)
	}
	e.group.OnMark = func(id string) { e.table.Mark(id) }
}

// feed follows an object of a source that speaks the protocol of the object API.
func (e *Entry) feed(name string, source *store.Client, object, call string, accept func(store.Object) error) *feed.Feed {
	f := &feed.Feed{
		Name: name,
		Read: func(ctx context.Context) (store.Object, error) { return source.Get(ctx, object) },
		Watch: func(ctx context.Context, above uint64, wait clock.Millis) (store.Object, error) {
			return source.Watch(ctx, object, above, wait)
		},
		Fetch: func(ctx context.Context, addr string) (store.Object, error) {
			var o store.Object
			err := e.peers.Call(ctx, addr, call, none{}, &o)
			return o, err
		},
		Peers:    e.peerAddrs,
		Watching: func() bool { return e.group.View().Home(e.self.Name, "watch/"+name, watchers) },
		Period:   func() clock.Millis { return max(minPoll, clock.Millis(len(e.group.View().Members))*pollShare) },
		Accept:   accept,
	}
	f.Start()
	return f
}

func (e *Entry) peerAddrs() []string {
	addrs := e.Settings.seeds()
	for _, m := range e.group.View().Live() {
		if !e.local(m) {
			addrs = append(addrs, m.Peer)
		}
	}
	return addrs
}

func (e *Entry) acceptConfig(o store.Object) error {
	parsed, problems := config.Parse(o.Value)
	if len(problems) > 0 {
		return eris.New(problems[0].String())
	}
	e.parsed.Store(&parsed)
	return nil
}

func (e *Entry) acceptRoster(o store.Object) error {
	r, err := roster.Parse(o.Value)
	if err != nil {
		return err
	}
	e.roster.Store(&r)
	e.table.Replace(r)
	return nil
}

func (e *Entry) config() config.Config {
	if c := e.parsed.Load(); c != nil {
		return *c
	}
	return config.Config{}
}

func (e *Entry) engines() []roster.Target {
	var all []roster.Target
	r := e.roster.Load()
	if r == nil {
		return nil
	}
	for _, s := range e.config().Services {
		if s.Kind == config.Engine {
			all = append(all, r.Of(s.Name)...)
		}
	}
	return all
}

func (e *Entry) longestDeadline() clock.Millis {
	longest := clock.Minute
	for _, p := range e.config().Profiles {
		longest = max(longest, p.Deadline)
	}
	return longest
}

func (e *Entry) attached(ctx context.Context, addr, attempt string) bool {
	held, err := e.links.Held(ctx, addr)
	if err != nil {
		return false
	}
	for _, h := range held {
		if h.ID == attempt {
			return h.Attached
		}
	}
	return false
}

// refuse says why the instance takes no requests now.
func (e *Entry) refuse() (wire.Reason, bool) {
	switch {
	case e.closing.Load():
		return wire.ReasonDraining, true
	case e.configs.Current().Version == 0 || e.targets.Current().Version == 0:
		return wire.ReasonNotReady, true
	case e.isolated():
		return wire.ReasonIsolated, true
	default:
		return "", false
	}
}

// isolated reports whether nothing has been heard of the object API and the known peers for too long, or a newer
// configuration is known and cannot be had.
func (e *Entry) isolated() bool {
	if e.configs.Behind() > isolatedAfter {
		return true
	}
	if len(e.group.View().Members) < 2 {
		return false
	}
	last := max(e.configs.Reached(), e.group.Heard(), e.targets.Reached())
	return clock.Now()-last > isolatedAfter && clock.Now()-e.started > isolatedAfter
}

func (e *Entry) add(g *run.Group, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// secure puts TLS on the callers' listener if there is a certificate.
func (e *Entry) secure(g *run.Group, callers net.Listener) (net.Listener, error) {
	if e.Settings.Cert == "" {
		return callers, nil
	}
	source := &certs.Source{CertFile: e.Settings.Cert, KeyFile: e.Settings.CertKey}
	if err := source.Load(); err != nil {
		return nil, err
	}
	e.add(g, source.Run)
	return tls.NewListener(callers, source.Config()), nil
}

func (e *Entry) serve(g *run.Group, l net.Listener, h http.Handler) {
	server := &http.Server{
		Handler: h, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeader,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelDebug),
	}
	g.Add(func() error {
		err := server.Serve(l)
		if eris.Is(err, http.ErrServerClosed) {
			return nil
		}
		return err
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), clock.Second.Duration())
		defer cancel()
		_ = server.Shutdown(ctx)
	})
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
