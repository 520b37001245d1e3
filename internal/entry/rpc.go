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
)

// Names of the calls between instances.
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
	Force bool `cbor:"2,keyasint"` // open it also if not its home, since the instances ranked before do not answer
}

type openReply struct {
	Term uint64 `cbor:"1,keyasint"`
}

// submitRequest carries the time left instead of the deadline, since the clocks of instances differ.
type submitRequest struct {
	Attempt  oplog.Attempt `cbor:"1,keyasint"`
	TimeLeft clock.Millis  `cbor:"2,keyasint"`
}

// reserveRequest carries the time left for the same reason as submitRequest.
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

// registerPeerHandlers registers the handlers of calls from other instances.
func (i *Instance) registerPeerHandlers() {
	peer.HandleFunc(i.peerNode, callPing, func(context.Context, string, empty) (empty, error) { return empty{}, nil })
	peer.HandleFunc(i.peerNode, callSync, func(_ context.Context, _ string, l member.List) (member.List, error) {
		return i.group.ExchangeLists(l), nil
	})
	peer.HandleFunc(i.peerNode, callConfig, currentObjectHandler(i.configFeed))
	peer.HandleFunc(i.peerNode, callTargets, currentObjectHandler(i.instanceListFeed))
	peer.HandleFunc(i.peerNode, callOpen, func(ctx context.Context, _ string, r openRequest) (openReply, error) {
		term, err := i.openShard(ctx, r.Shard, r.Force)
		return openReply{Term: term}, err
	})
	peer.HandleFunc(i.peerNode, callSubmit, func(ctx context.Context, _ string, r submitRequest) (oplog.Reply, error) {
		r.Attempt.Op.Deadline = clock.Now() + r.TimeLeft
		return i.opLog.Submit(ctx, r.Attempt)
	})
	peer.HandleFunc(i.peerNode, callSettle, func(_ context.Context, _ string, s oplog.Settlement) (settleReply, error) {
		return settleReply{Accepted: i.opLog.Settle(s)}, nil
	})
	peer.HandleFunc(i.peerNode, callFind, func(ctx context.Context, _ string, r findRequest) (findReply, error) {
		return i.findLocal(ctx, r.Key)
	})
	peer.HandleFunc(i.peerNode, callReserve, func(ctx context.Context, _ string, r reserveRequest) (route.Grant, error) {
		r.Memory.Deadline = clock.Now() + r.TimeLeft
		return i.ledger.Reserve(ctx, r.Memory)
	})
	peer.HandleFunc(i.peerNode, callRelease, func(_ context.Context, _ string, a route.MemoryRequest) (empty, error) {
		i.ledger.Release(a.Service, a.Cell, a.ID)
		return empty{}, nil
	})
}

// currentObjectHandler returns a handler that answers with a feed's active object.
func currentObjectHandler(f *feed.Feed) func(context.Context, string, empty) (feed.Object, error) {
	return func(context.Context, string, empty) (feed.Object, error) { return f.Current(), nil }
}

func (i *Instance) isSelf(m member.Member) bool { return m.Name == i.self.Name }

// openShard makes this instance the writer of a shard if it is the shard's home, or if force is set because the
// instances ranked before it do not answer.
func (i *Instance) openShard(ctx context.Context, shard int, force bool) (uint64, error) {
	if !force && !i.group.View().RankedWithin(i.self.Name, oplog.HomeKey(shard), 1) {
		return 0, &oplog.Error{Op: "open", Kind: oplog.NotOwner}
	}
	return i.opLog.Open(ctx, shard)
}

// openShardOn makes an instance the writer of a shard, as openShard, and returns the term.
func (i *Instance) openShardOn(ctx context.Context, to member.Member, shard int, force bool) (uint64, error) {
	if i.isSelf(to) {
		term, err := i.openShard(ctx, shard, force)
		if err != nil {
			return 0, &peer.Error{Op: "open", Kind: peer.Failed, Err: err}
		}
		return term, nil
	}
	var reply openReply
	err := i.peerNode.Call(ctx, to.PeerAddr, callOpen, openRequest{Shard: shard, Force: force}, &reply)
	return reply.Term, err
}

// submitTo submits an attempt to the operation log of an instance.
func (i *Instance) submitTo(ctx context.Context, to member.Member, a oplog.Attempt) (oplog.Reply, error) {
	if i.isSelf(to) {
		return i.opLog.Submit(ctx, a)
	}
	var reply oplog.Reply
	request := submitRequest{Attempt: a, TimeLeft: a.Op.Deadline - clock.Now()}
	err := i.peerNode.Call(ctx, to.PeerAddr, callSubmit, request, &reply)
	return reply, err
}

// forwardSettlement sends a late outcome to the current writer of its shard.
func (i *Instance) forwardSettlement(ctx context.Context, s oplog.Settlement) error {
	rank := i.group.View().Rank(oplog.HomeKey(s.Shard))
	if len(rank) == 0 {
		return eris.Errorf("no live instance to settle shard %d", s.Shard)
	}
	ctx, cancel := context.WithTimeout(ctx, clock.Second.Duration())
	defer cancel()
	if _, err := i.openShardOn(ctx, rank[0], s.Shard, false); err != nil {
		return err
	}
	taken := settleReply{}
	if i.isSelf(rank[0]) {
		taken.Accepted = i.opLog.Settle(s)
	} else if err := i.peerNode.Call(ctx, rank[0].PeerAddr, callSettle, s, &taken); err != nil {
		return err
	}
	if !taken.Accepted {
		return eris.Errorf("%s is not the writer of shard %d", rank[0].Name, s.Shard)
	}
	return nil
}

// reserveMemory requests a grant of engine memory from the home of a cell.
func (i *Instance) reserveMemory(ctx context.Context, home member.Member, a route.MemoryRequest) (route.Grant, error) {
	if i.isSelf(home) {
		return i.ledger.Reserve(ctx, a)
	}
	var grant route.Grant
	request := reserveRequest{Memory: a, TimeLeft: a.Deadline - clock.Now()}
	err := i.peerNode.Call(ctx, home.PeerAddr, callReserve, request, &grant)
	return grant, err
}

// releaseMemory returns a grant to the home of its cell, without waiting for the answer of another instance.
func (i *Instance) releaseMemory(home member.Member, a route.MemoryRequest) {
	if i.isSelf(home) {
		i.ledger.Release(a.Service, a.Cell, a.ID)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), (3 * clock.Second).Duration())
		defer cancel()
		// If the call fails, the grant is freed when it expires.
		_ = i.peerNode.Call(ctx, home.PeerAddr, callRelease, a, &empty{})
	}()
}

// findLocal looks a key up. It opens the shard first, since a former writer's copy may be out of date.
func (i *Instance) findLocal(ctx context.Context, key string) (findReply, error) {
	shard := oplog.ShardOf(key, i.config().Operations.ShardCount)
	term, err := i.openShard(ctx, shard, false)
	if err != nil {
		return findReply{}, err
	}
	record, found := i.opLog.Find(shard, key)
	return findReply{Record: record, Found: found, Term: term}, nil
}

// findOperation looks a key up on the home of its shard.
func (i *Instance) findOperation(ctx context.Context, key string) (findReply, error) {
	shard := oplog.ShardOf(key, i.config().Operations.ShardCount)
	rank := i.group.View().Rank(oplog.HomeKey(shard))
	if len(rank) == 0 || i.isSelf(rank[0]) {
		return i.findLocal(ctx, key)
	}
	var reply findReply
	err := i.peerNode.Call(ctx, rank[0].PeerAddr, callFind, findRequest{Key: key}, &reply)
	return reply, err
}
