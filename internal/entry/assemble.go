package entry

import (
	"context"
	"encoding/hex"
	"net"
	"runtime"
	"strconv"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/detour"
	"github.com/corianderpier/corianderpier/internal/feed"
	"github.com/corianderpier/corianderpier/internal/fence"
	"github.com/corianderpier/corianderpier/internal/flow"
	"github.com/corianderpier/corianderpier/internal/front"
	"github.com/corianderpier/corianderpier/internal/member"
	"github.com/corianderpier/corianderpier/internal/oplog"
	"github.com/corianderpier/corianderpier/internal/order"
	"github.com/corianderpier/corianderpier/internal/peer"
	"github.com/corianderpier/corianderpier/internal/roster"
	"github.com/corianderpier/corianderpier/internal/route"
	"github.com/corianderpier/corianderpier/internal/store"
	"github.com/corianderpier/corianderpier/internal/sweep"
	"github.com/corianderpier/corianderpier/internal/target"
)

// assemble creates the components of the instance and connects them.
func (i *Instance) assemble(policy route.Policy) {
	owner := i.self.Owner()
	key, _ := hex.DecodeString(i.Settings.ClusterKey)
	i.store = &store.Client{BaseURL: i.Settings.StoreURL}
	i.instanceListClient = &store.Client{BaseURL: i.Settings.InstanceListURL}
	i.targetClient = &target.Client{Dial: func(ctx context.Context, t detour.Target) (net.Conn, error) { return i.dialer.Dial(ctx, t) }}
	i.targetClient.Init()
	i.assembleGroup(key)
	i.configFeed = i.newFeed("config", i.store, config.ObjectName, callConfig, i.applyConfig)
	i.instanceListFeed = i.newFeed("targets", i.instanceListClient, roster.ObjectName, callTargets, i.applyRoster)
	i.table = &route.Table{
		Loop: i.loop, Policy: policy, Self: i.self.Name, Config: i.config, View: i.group.View,
		FetchLoad: i.targetClient.Load, OnLeaving: i.group.MarkTargetLeaving,
	}
	i.table.Init()
	i.assembleDetour()
	i.targetClient.OnNotice = i.table.RecordNotice
	i.ledger = &route.Ledger{Loop: i.loop, Table: i.table, Config: i.config, View: i.group.View, Holdings: i.targetClient.Holdings}
	i.ledger.Init()
	opLogClient := &oplog.Client{
		Self: owner, ShardCount: func() int { return i.config().Operations.ShardCount },
		Rank: func(key string) []member.Member { return i.group.View().Rank(key) },
		Open: i.openShardOn, Submit: i.submitTo,
	}
	i.calls = &flow.Calls{Table: i.table, TargetClient: i.targetClient, OpLog: opLogClient}
	i.opLog = &oplog.Log{
		Self: owner, Settings: func() config.Operations { return i.config().Operations },
		Get: i.store.Get, Put: i.store.Put, Delete: i.store.Delete,
		Dispatch: i.calls.Dispatch, Forward: i.forwardSettlement,
		WriterAlive: func(writer string) bool { return i.group.View().HasOwner(writer) },
	}
	i.sweeper = &sweep.Sweeper{
		Self: i.self.Name, View: i.group.View, Targets: i.engineTargets, LongestDeadline: i.longestDeadline,
		Holdings: i.targetClient.Holdings, Release: i.targetClient.Release, StreamAttached: i.streamAttached,
	}
	i.sweeper.Init()
	i.reconciler = &order.Reconciler{
		Self: owner, Store: fence.Store{Get: i.store.Get, Put: i.store.Put}, Config: i.config, Targets: i.table.Targets,
		IsHome:    func(key string) bool { return i.group.View().RankedWithin(i.self.Name, key, 1) },
		ReadState: i.targetClient.State, SendOrder: i.targetClient.Order,
	}
	i.prompts = &flow.Prompts{
		Owner: owner, Table: i.table, TargetClient: i.targetClient, Config: i.config, View: i.group.View,
		ReleaseHolding: i.sweeper.ReleaseHolding, RequestGrant: i.reserveMemory, ReleaseGrant: i.releaseMemory,
	}
	i.frontServer = &front.Server{
		Self: i.self.Name, View: i.group.View, Unavailable: i.unavailable, Prompts: i.prompts, Calls: i.calls,
		Config:      func() (config.Config, uint64) { return i.config(), i.configFeed.Current().Version.Number },
		Incarnation: strconv.FormatInt(int64(i.startedAt), 36),
	}
}

// assembleDetour creates the ways to targets: this instance's own, and those through others.
func (i *Instance) assembleDetour() {
	i.dialer, i.carrier = detour.Setup{
		Self: i.self.Name, Zone: i.self.Zone, Capacity: float64(runtime.GOMAXPROCS(0)), Node: i.peerNode, Group: i.group,
		Dial:     i.dialTarget,
		Carriers: func() []member.Member { return i.group.View().Reachable(i.self.Name) },
		Targets:  i.dialTargets,
		Allowed:  func(t detour.Target) bool { return i.table.Accepts(t.Addr, t.Control) },
		Draining: i.draining.Load,
		OnUnlinked: func(unlinked bool) {
			if !unlinked {
				i.table.ForgetFailures()
			}
		},
	}.Connect()
}

// dialTargets returns the targets by which this instance finds out whether it has links.
func (i *Instance) dialTargets() []detour.Target {
	var targets []detour.Target
	for _, addr := range i.table.Addrs() {
		targets = append(targets, detour.Target{ID: addr, Addr: addr})
	}
	return targets
}

func (i *Instance) assembleGroup(key []byte) {
	i.group = &member.Group{Loop: i.loop}
	i.peerNode = &peer.Node{Addr: i.Settings.PeerAddr, ClusterKey: key}
	i.peerNode.OnPacket = func(_ net.Addr, plain []byte) { i.group.Receive(plain) }
	i.group.Send = i.peerNode.Send
	i.group.ProbeDirect = func(ctx context.Context, addr string) error {
		return i.peerNode.Call(ctx, addr, callPing, empty{}, &empty{})
	}
	i.group.SyncLists = func(ctx context.Context, addr string, l member.List) (member.List, error) {
		var theirs member.List
		err := i.peerNode.Call(ctx, addr, callSync, l, &theirs)
		return theirs, err
	}
	i.group.Versions = func() member.Versions {
		return member.Versions{Config: i.configFeed.Current().Version, Targets: i.instanceListFeed.Current().Version}
	}
	i.group.OnVersion = func(from member.Member, v member.Versions) {
		i.configFeed.Hint(v.Config, from.PeerAddr)
		i.instanceListFeed.Hint(v.Targets, from.PeerAddr)
	}
	i.group.OnTargetLeaving = func(id string) { i.table.MarkLeaving(id) }
}

// newFeed returns a feed that follows one object of an object API and passes each new version to accept.
func (i *Instance) newFeed(name string, source *store.Client, object, call string, accept func(feed.Object) error) *feed.Feed {
	f := &feed.Feed{
		Name: name,
		Read: func(ctx context.Context) (feed.Object, error) { return feedObject(source.Get(ctx, object)) },
		Watch: func(ctx context.Context, above feed.Version, wait clock.Millis) (feed.Object, error) {
			return feedObject(source.Watch(ctx, object, above.Number, wait))
		},
		Fetch: func(ctx context.Context, addr string) (feed.Object, error) {
			var o feed.Object
			err := i.peerNode.Call(ctx, addr, call, empty{}, &o)
			return o, err
		},
		Peers:       i.peerAddrs,
		ShouldWatch: func() bool { return i.group.View().RankedWithin(i.self.Name, "watch/"+name, watchersPerObject) },
		PollInterval: func() clock.Millis {
			return max(minPollInterval, clock.Millis(len(i.group.View().Members))*pollIntervalPerInstance)
		},
		Apply: accept,
	}
	f.Init()
	return f
}

// feedObject converts an object for a feed. The object API keeps all that it has acknowledged, so that it has no eras.
func feedObject(o store.Object, err error) (feed.Object, error) {
	return feed.Object{Version: feed.Version{Number: o.Version}, Value: o.Value}, err
}

// peerAddrs returns the addresses of the configured seeds and of the other live instances.
func (i *Instance) peerAddrs() []string {
	addrs := i.Settings.seedAddrs()
	for _, m := range i.group.View().Live() {
		if !i.isSelf(m) {
			addrs = append(addrs, m.PeerAddr)
		}
	}
	return addrs
}

// engineTargets returns the targets of all services of kind engine.
func (i *Instance) engineTargets() []roster.Target {
	var all []roster.Target
	r := i.activeRoster.Load()
	if r == nil {
		return nil
	}
	for _, s := range i.config().Services {
		if s.Kind == config.Engine {
			all = append(all, r.ForService(s.Name)...)
		}
	}
	return all
}

// longestDeadline returns the longest deadline of a profile, at least a minute.
func (i *Instance) longestDeadline() clock.Millis {
	longest := clock.Minute
	for _, p := range i.config().Profiles {
		longest = max(longest, p.Deadline)
	}
	return longest
}

// streamAttached reports whether the engine at addr still has a connection for the attempt's stream.
func (i *Instance) streamAttached(ctx context.Context, addr, attempt string) bool {
	holdings, err := i.targetClient.Holdings(ctx, addr)
	if err != nil {
		return false
	}
	for _, h := range holdings {
		if h.ID == attempt {
			return h.Attached
		}
	}
	return false
}
