package detour

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	maxCarriers    = 3                    // asked for one connection; an unlinked instance asks more, as others may be unlinked too
	maxUnlinked    = 8                    // asked for one connection by an unlinked instance
	carrierStagger = 60 * clock.Millis(1) // until the next one is asked beside those that have not answered
	enoughMisses   = 2                    // carriers that do not reach a target, after which it counts as unreachable
)

// answer is what one carrier made of a connection.
type answer struct {
	peer  Peer
	conn  net.Conn
	reply Reply
	err   error
}

// carriedDial is one connection that carriers are asked for.
type carriedDial struct {
	dialer  *Dialer
	target  Target
	peers   []Peer // that are not asked yet, the best one first
	answers chan answer
	asked   map[string]clock.Millis // when the carriers were asked that have not answered, by name
	missed  []Peer                  // that do not reach the target
	barred  bool                    // a carrier would not send the target a request
}

// open has a connection to a target carried. It asks carriers one after the other, the next one also when one takes long.
func (c *carriers) open(ctx context.Context, d *Dialer, t Target) (net.Conn, error) {
	most, enough := maxCarriers, enoughMisses
	if d.Unlinked() {
		most, enough = maxUnlinked, maxUnlinked
	}
	peers := c.choose(d.Peers(), d.Zone, most, clock.Now())
	ctx, cancel := context.WithCancel(ctx)
	dial := &carriedDial{dialer: d, target: t, peers: peers, answers: make(chan answer, len(peers)), asked: make(map[string]clock.Millis)}
	defer func() {
		cancel()
		go dial.closeLate()
	}()
	for len(dial.missed) < enough {
		dial.askNext(ctx)
		if len(dial.asked) == 0 || ctx.Err() != nil {
			break
		}
		a, ok := dial.next(ctx)
		if !ok {
			continue // it takes long
		}
		if a.err == nil && a.reply.Result == Joined {
			c.noteJoined(a.peer, append(dial.missed, dial.silent()...))
			return c.track(a, t.Addr), nil
		}
		if !dial.recordRefusal(a) {
			c.avoid(a.peer)
		}
	}
	return nil, &Error{Op: "carry", Kind: dial.kind(), Err: ctx.Err()}
}

// askNext asks the next carrier, if there is one.
func (d *carriedDial) askNext(ctx context.Context) {
	if len(d.peers) == 0 {
		return
	}
	peer := d.peers[0]
	d.peers = d.peers[1:]
	d.asked[peer.Name] = clock.Now()
	go func() {
		conn, reply, err := d.dialer.Open(ctx, peer, d.target)
		d.answers <- answer{peer, conn, reply, err}
	}()
}

// next waits for an answer, and if there is another carrier to ask not for long.
func (d *carriedDial) next(ctx context.Context) (answer, bool) {
	var long <-chan time.Time
	if len(d.peers) > 0 {
		timer := time.NewTimer(carrierStagger.Duration())
		defer timer.Stop()
		long = timer.C
	}
	select {
	case a := <-d.answers:
		delete(d.asked, a.peer.Name)
		return a, true
	case <-long:
		return answer{}, false
	case <-ctx.Done():
		return answer{}, false
	}
}

// silent returns the carriers that have not answered for longer than they may.
func (d *carriedDial) silent() []Peer {
	var silent []Peer
	for name, at := range d.asked {
		if clock.Now()-at >= carrierStagger {
			silent = append(silent, Peer{Name: name})
		}
	}
	return silent
}

// recordRefusal records that a carrier has not joined the connection. It reports false if that tells of the carrier and not of the
// target.
func (d *carriedDial) recordRefusal(a answer) bool {
	switch a.reply.Result {
	case NotReached:
		d.missed = append(d.missed, a.peer)
		return true
	case NotAllowed:
		d.barred = true
		return true
	default:
		slog.Info("instance does not carry", "peer", a.peer.Name, "target", d.target.ID, "result", a.reply.Result, "error", a.err)
		return false
	}
}

// kind returns the kind of failure when no carrier has joined the connection.
func (d *carriedDial) kind() Kind {
	switch {
	case len(d.missed) > 0:
		return Unreachable
	case d.barred:
		return Closed
	default:
		return NoCarrier
	}
}

// closeLate closes connections that carriers join too late.
func (d *carriedDial) closeLate() {
	for range d.asked {
		if a := <-d.answers; a.conn != nil {
			_ = a.conn.Close()
		}
	}
}
