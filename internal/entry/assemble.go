package entry

import (
	"context"
	"encoding/hex"
	"net"
	"strconv"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/config"
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

// assemble connects the slices.
func (e *Instance) assemble(policy route.Policy) {
	owner := e.self.Owner()
	key, _ := hex.DecodeString(e.Settings.ClusterKey)
	e.store = &store.Client{BaseURL: e.Settings.StoreURL}
	e.targetListStore = &store.Client{BaseURL: e.Settings.TargetListURL}
	e.targetClient = &target.Client{}
	e.targetClient.Init()
	e.assembleGroup(key)
	e.configFeed = e.newFeed("config", e.store, config.ObjectName, callConfig, e.applyConfig)
	e.targetListFeed = e.newFeed("targets", e.targetListStore, roster.ObjectName, callTargets, e.applyRoster)
	e.table = &route.Table{
		Loop: e.loop, Policy: policy, Self: e.self.Name, Config: e.config, View: e.group.View,
		FetchLoad: e.targetClient.Load, OnLeaving: e.group.MarkLeaving,
	}
	e.table.Start()
	e.ledger = &route.Ledger{Loop: e.loop, Table: e.table, Config: e.config, View: e.group.View, Holdings: e.targetClient.Holdings}
	e.ledger.Start()
	opLogClient := &oplog.Client{
		Self: owner, ShardCount: func() int { return e.config().Operations.ShardCount },
		Rank: func(key string) []member.Member { return e.group.View().Rank(key) },
		Open: e.openShardOn, Submit: e.submitTo,
	}
	e.calls = &flow.Calls{Table: e.table, TargetClient: e.targetClient, OpLog: opLogClient}
	e.opLog = &oplog.Log{
		Self: owner, Settings: func() config.Operations { return e.config().Operations },
		Get: e.store.Get, Put: e.store.Put, Delete: e.store.Delete,
		Dispatch: e.calls.Dispatch, Forward: e.forwardSettlement,
		WriterAlive: func(writer string) bool { return e.group.View().HasOwner(writer) },
	}
	e.sweeper = &sweep.Sweeper{
		Self: e.self.Name, View: e.group.View, Targets: e.engineTargets, LongestDeadline: e.longestDeadline,
		Holdings: e.targetClient.Holdings, Release: e.targetClient.Release, StreamAttached: e.streamAttached,
	}
	e.sweeper.Init()
	e.reconciler = &order.Reconciler{
		Self: owner, Store: fence.Store{Get: e.store.Get, Put: e.store.Put}, Config: e.config, Targets: e.table.Targets,
		IsHome:    func(key string) bool { return e.group.View().RankedWithin(e.self.Name, key, 1) },
		ReadState: e.targetClient.State, SendOrder: e.targetClient.Order,
	}
	e.prompts = &flow.Prompts{
		Owner: owner, Table: e.table, TargetClient: e.targetClient, Config: e.config, View: e.group.View,
		ReleaseHolding: e.sweeper.Free, RequestGrant: e.reserveMemory, ReleaseGrant: e.releaseMemory,
	}
	e.frontServer = &front.Server{
		Self: e.self.Name, View: e.group.View, Unavailable: e.unavailable, Prompts: e.prompts, Calls: e.calls,
		Config:      func() (config.Config, uint64) { return e.config(), e.configFeed.Current().Version },
		Incarnation: strconv.FormatInt(int64(e.startedAt), 36),
	}
}

func (e *Instance) assembleGroup(key []byte) {
	e.group = &member.Group{Loop: e.loop}
	e.peerNode = &peer.Node{Addr: e.Settings.PeerAddr, Key: key}
	e.peerNode.OnPacket = func(_ net.Addr, plain []byte) { e.group.Receive(plain) }
	e.group.Send = e.peerNode.Send
	e.group.ProbeDirect = func(ctx context.Context, addr string) error {
		return e.peerNode.Call(ctx, addr, callPing, empty{}, &empty{})
	}
	e.group.SyncLists = func(ctx context.Context, addr string, l member.List) (member.List, error) {
		var theirs member.List
		err := e.peerNode.Call(ctx, addr, callSync, l, &theirs)
		return theirs, err
	}
	e.group.Versions = func() member.Versions {
		return member.Versions{Config: e.configFeed.Current().Version, Targets: e.targetListFeed.Current().Version}
	}
	e.group.OnVersion = func(from member.Member, v member.Versions) {
		e.configFeed.Hint(v.Config, from.Peer)
		e.targetListFeed.Hint(v.Targets, from.Peer)
	}
	e.group.OnTargetLeaving = func(id string) { e.table.MarkLeaving(id) }
}

// newFeed follows an object of a source that speaks the protocol of the object API.
func (e *Instance) newFeed(name string, source *store.Client, object, call string, accept func(store.Object) error) *feed.Feed {
	f := &feed.Feed{
		Name: name,
		Read: func(ctx context.Context) (store.Object, error) { return source.Get(ctx, object) },
		Watch: func(ctx context.Context, above uint64, wait clock.Millis) (store.Object, error) {
			return source.Watch(ctx, object, above, wait)
		},
		Fetch: func(ctx context.Context, addr string) (store.Object, error) {
			var o store.Object
			err := e.peerNode.Call(ctx, addr, call, empty{}, &o)
			return o, err
		},
		Peers:       e.peerAddrs,
		ShouldWatch: func() bool { return e.group.View().RankedWithin(e.self.Name, "watch/"+name, watchersPerObject) },
		PollInterval: func() clock.Millis {
			return max(minPollInterval, clock.Millis(len(e.group.View().Members))*pollIntervalPerInstance)
		},
		Apply: accept,
	}
	f.Init()
	return f
}

func (e *Instance) peerAddrs() []string {
	addrs := e.Settings.seedAddrs()
	for _, m := range e.group.View().Live() {
		if !e.isSelf(m) {
			addrs = append(addrs, m.Peer)
		}
	}
	return addrs
}

func (e *Instance) engineTargets() []roster.Target {
	var all []roster.Target
	r := e.activeRoster.Load()
	if r == nil {
		return nil
	}
	for _, s := range e.config().Services {
		if s.Kind == config.Engine {
			all = append(all, r.ForService(s.Name)...)
		}
	}
	return all
}

func (e *Instance) longestDeadline() clock.Millis {
	longest := clock.Minute
	for _, p := range e.config().Profiles {
		longest = max(longest, p.Deadline)
	}
	return longest
}

func (e *Instance) streamAttached(ctx context.Context, addr, attempt string) bool {
	held, err := e.targetClient.Holdings(ctx, addr)
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
