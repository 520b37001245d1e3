package detour

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// way is one of the two ways to a target.
type way uint8

const (
	direct way = iota
	carried
	ways // number of ways
)

// String names the way.
func (w way) String() string { return [...]string{"direct", "carried"}[w] }

// opened is what came of one way.
type opened struct {
	way
	conn net.Conn
	err  error
}

// dialing is one connection that is being opened.
type dialing struct {
	dialer  *Dialer
	target  Target
	began   clock.Millis
	results chan opened
	started [ways]bool
	running int         // ways that have not ended
	errs    [ways]error // of the ways that have failed
}

// race tries both ways, as the plan says, and returns the first connection.
func (a *dialing) race(ctx context.Context, p plan) (opened, error) {
	wait := time.NewTimer(headStart.Duration())
	defer wait.Stop()
	a.start(ctx, p.first)
	if p.both {
		a.startOther(ctx)
	}
	for a.running > 0 {
		select {
		case <-ctx.Done():
			return opened{}, a.failure(ctx.Err())
		case <-wait.C:
			a.startOther(ctx)
		case o := <-a.results:
			a.running--
			a.record(o)
			if o.err == nil {
				a.learnFrom(o)
				return o, nil
			}
			a.errs[o.way] = o.err
			if p.first == carried && !p.both && a.noWayLeft() {
				return opened{}, a.failure(o.err)
			}
			a.startOther(ctx)
		}
	}
	return opened{}, a.failure(nil)
}

// start begins one way, unless it has begun.
func (a *dialing) start(ctx context.Context, w way) {
	if a.started[w] {
		return
	}
	a.started[w] = true
	a.running++
	go func() {
		if w == direct {
			conn, err := a.dialer.DialDirect(context.WithoutCancel(ctx), a.target) // it is of use also when the other way is faster
			a.results <- opened{direct, conn, err}
			return
		}
		conn, err := a.dialer.carriers.open(ctx, a.dialer, a.target)
		a.results <- opened{carried, conn, err}
	}()
}

// startOther begins the ways that have not begun.
func (a *dialing) startOther(ctx context.Context) {
	for w := range ways {
		a.start(ctx, w)
	}
}

// noWayLeft reports whether this instance is unlinked and there is no carrier, so that nothing can be reached until the links that are
// tried again once a second are back.
func (a *dialing) noWayLeft() bool {
	var e *Error
	return a.dialer.Unlinked() && errors.As(a.errs[carried], &e) && e.Kind == NoCarrier
}

// record counts a way that has ended.
func (a *dialing) record(o opened) {
	result := "ok"
	if o.err != nil {
		result = "failed"
	}
	metrics.GetOrCreateCounter(`pier_detour_dials_total{way="` + o.way.String() + `",result="` + result + `"}`).Inc()
}

// learnFrom marks the link as cut if another instance reaches the target while this one does not.
func (a *dialing) learnFrom(o opened) {
	waited := a.started[direct] && a.errs[direct] == nil && clock.Now()-a.began >= headStart
	if o.way == carried && (a.errs[direct] != nil || waited) {
		a.dialer.noteCut(a.target)
	}
}

// failure returns the error when no way has led to the target.
func (a *dialing) failure(last error) error {
	err := &Error{Op: "dial", Kind: Unreachable, Err: a.errs[direct]}
	var carrier *Error
	switch {
	case errors.As(a.errs[carried], &carrier):
		err.Kind = carrier.Kind
	case a.errs[carried] == nil:
		err.Kind = NoCarrier
	}
	if err.Err == nil {
		err.Err = last
	}
	return err
}

// closeRest waits for the ways that have not ended, and closes their connections.
func (a *dialing) closeRest(reached bool) {
	for ; a.running > 0; a.running-- {
		o := <-a.results
		a.record(o)
		switch {
		case o.err == nil:
			_ = o.conn.Close()
		case o.way == direct && reached:
			a.dialer.noteCut(a.target)
		}
	}
}
