package entry

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/feed"
	"github.com/corianderpier/corianderpier/internal/member"
	"github.com/corianderpier/corianderpier/internal/oplog"
	"github.com/corianderpier/corianderpier/internal/peer"
	"github.com/corianderpier/corianderpier/internal/route"
	"github.com/corianderpier/corianderpier/internal/store"
)

// The kinds of call between instances.
const (
	callPing    = "ping"
	callSync    = "sync"
	callConfig  = "config"
	callTargets = "targets"
	callOpen    = "open"
	callSubmit  = "submit"
	callSettle  = "settle"
	callFind    = "find"
	callReserve = "reserve"
	callRelease = "release"
)

type empty struct{}

type openRequest struct {
	Shard int  `cbor:"1,keyasint"`
	Force bool `cbor:"2,keyasint"` // the instances before in the rank do not answer
}

type openReply struct {
	Term uint64 `cbor:"1,keyasint"`
}

// submitRequest carries the time left, since clocks of instances differ.
type submitRequest struct {
	Attempt  oplog.Attempt `cbor:"1,keyasint"`
	TimeLeft clock.Millis  `cbor:"2,keyasint"`
}

type reserveRequest struct {
	Memory   route.MemoryRequest `cbor:"1,keyasint"`
	TimeLeft clock.Millis        `cbor:"2,keyasint"`
}

type findRequest struct {
	Key string `cbor:"1,keyasint"`
}

type findReply struct {
	Record oplog.Record `cbor:"1,keyasint"`
	Found  bool         `cbor:"2,keyasint"`
	Term   uint64       `cbor:"3,keyasint"`
}

type settleReply struct {
	Accepted bool `cbor:"1,keyasint"`
}

// registerPeerHandlers registers what this instance answers to others.
func (e *Instance) registerPeerHandlers() {
	peer.HandleFunc(e.peerNode, callPing, func(context.Context, string, empty) (empty, error) { return empty{}, nil })
	peer.HandleFunc(e.peerNode, callSync, func(_ context.Context, _ string, l member.List) (member.List, error) {
		return e.group.Exchange(l), nil
	})
	peer.HandleFunc(e.peerNode, callConfig, currentObjectHandler(e.configFeed))
	peer.HandleFunc(e.peerNode, callTargets, currentObjectHandler(e.targetListFeed))
	peer.HandleFunc(e.peerNode, callOpen, func(ctx context.Context, _ string, r openRequest) (openReply, error) {
		term, err := e.openShard(ctx, r.Shard, r.Force)
		return openReply{Term: term}, err
	})
	peer.HandleFunc(e.peerNode, callSubmit, func(ctx context.Context, _ string, r submitRequest) (oplog.Reply, error) {
		r.Attempt.Op.Deadline = clock.Now() + r.TimeLeft
		return e.opLog.Submit(ctx, r.Attempt)
	})
	peer.HandleFunc(e.peerNode, callSettle, func(_ context.Context, _ string, s oplog.Settlement) (settleReply, error) {
		return settleReply{Accepted: e.opLog.Settle(s)}, nil
	})
	peer.HandleFunc(e.peerNode, callFind, func(ctx context.Context, _ string, r findRequest) (findReply, error) {
		return e.findLocal(ctx, r.Key)
	})
	peer.HandleFunc(e.peerNode, callReserve, func(ctx context.Context, _ string, r reserveRequest) (route.Grant, error) {
		r.Memory.Deadline = clock.Now() + r.TimeLeft
		return e.ledger.Reserve(ctx, r.Memory)
	})
	peer.HandleFunc(e.peerNode, callRelease, func(_ context.Context, _ string, a route.MemoryRequest) (empty, error) {
		e.ledger.Release(a.Service, a.Cell, a.ID)
		return empty{}, nil
	})
}

func currentObjectHandler(f *feed.Feed) func(context.Context, string, empty) (store.Object, error) {
	return func(context.Context, string, empty) (store.Object, error) { return f.Current(), nil }
}

func (e *Instance) isSelf(m member.Member) bool { return m.Name == e.self.Name }

// openShard takes a shard over if this instance is its home, or the homes before it do not answer.
func (e *Instance) openShard(ctx context.Context, shard int, force bool) (uint64, error) {
	if !force && !e.group.View().RankedWithin(e.self.Name, oplog.HomeKey(shard), 1) {
		return 0, &oplog.Error{Op: "open", Kind: oplog.NotOwner}
	}
	return e.opLog.Open(ctx, shard)
}

func (e *Instance) openShardOn(ctx context.Context, to member.Member, shard int, force bool) (uint64, error) {
	if e.isSelf(to) {
		term, err := e.openShard(ctx, shard, force)
		if err != nil {
			return 0, &peer.Error{Op: "open", Kind: peer.Failed, Err: err}
		}
		return term, nil
	}
	var reply openReply
	err := e.peerNode.Call(ctx, to.Peer, callOpen, openRequest{Shard: shard, Force: force}, &reply)
	return reply.Term, err
}

func (e *Instance) submitTo(ctx context.Context, to member.Member, a oplog.Attempt) (oplog.Reply, error) {
	if e.isSelf(to) {
		return e.opLog.Submit(ctx, a)
	}
	var reply oplog.Reply
	request := submitRequest{Attempt: a, TimeLeft: a.Op.Deadline - clock.Now()}
	err := e.peerNode.Call(ctx, to.Peer, callSubmit, request, &reply)
	return reply, err
}

// forwardSettlement gives a settlement to the present writer of its shard.
func (e *Instance) forwardSettlement(ctx context.Context, s oplog.Settlement) error {
	rank := e.group.View().Rank(oplog.HomeKey(s.Shard))
	if len(rank) == 0 {
		return eris.New("no live instance")
	}
	ctx, cancel := context.WithTimeout(ctx, clock.Second.Duration())
	defer cancel()
	if _, err := e.openShardOn(ctx, rank[0], s.Shard, false); err != nil {
		return err
	}
	taken := settleReply{}
	if e.isSelf(rank[0]) {
		taken.Accepted = e.opLog.Settle(s)
	} else if err := e.peerNode.Call(ctx, rank[0].Peer, callSettle, s, &taken); err != nil {
		return err
	}
	if !taken.Accepted {
		return eris.New("not the writer")
	}
	return nil
}

func (e *Instance) reserveMemory(ctx context.Context, home member.Member, a route.MemoryRequest) (route.Grant, error) {
	if e.isSelf(home) {
		return e.ledger.Reserve(ctx, a)
	}
	var grant route.Grant
	request := reserveRequest{Memory: a, TimeLeft: a.Deadline - clock.Now()}
	err := e.peerNode.Call(ctx, home.Peer, callReserve, request, &grant)
	return grant, err
}

func (e *Instance) releaseMemory(home member.Member, a route.MemoryRequest) {
	if e.isSelf(home) {
		e.ledger.Release(a.Service, a.Cell, a.ID)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), (3 * clock.Second).Duration())
		defer cancel()
		// A lost release is made up for by the expiry of the grant.
		_ = e.peerNode.Call(ctx, home.Peer, callRelease, a, &empty{})
	}()
}

// findLocal opens the shard of a key, so that the answer is not an old one, and looks the key up.
func (e *Instance) findLocal(ctx context.Context, key string) (findReply, error) {
	shard := oplog.ShardOf(key, e.config().Operations.ShardCount)
	term, err := e.openShard(ctx, shard, false)
	if err != nil {
		return findReply{}, err
	}
	record, found := e.opLog.Find(shard, key)
	return findReply{Record: record, Found: found, Term: term}, nil
}

// findOperation asks the home of a key's shard.
func (e *Instance) findOperation(ctx context.Context, key string) (findReply, error) {
	shard := oplog.ShardOf(key, e.config().Operations.ShardCount)
	rank := e.group.View().Rank(oplog.HomeKey(shard))
	if len(rank) == 0 || e.isSelf(rank[0]) {
		return e.findLocal(ctx, key)
	}
	var reply findReply
	err := e.peerNode.Call(ctx, rank[0].Peer, callFind, findRequest{Key: key}, &reply)
	return reply, err
}
