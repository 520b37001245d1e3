package detour

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/quota"
)

// Guards against: connections that are carried for other instances use memory that the account does not have, stay charged after their
// end, or are refused without being counted.
func TestCarriedConnectionsCharged(t *testing.T) {
	is := is.New(t)
	reached := true
	c := &Carrier{
		Direct: func(context.Context, Target) (net.Conn, error) {
			if !reached {
				return nil, net.ErrClosed
			}
			conn, _ := net.Pipe()
			return conn, nil
		},
		Allowed: func(Target) bool { return true }, Closed: func() bool { return false }, Capacity: 1,
		Account: &quota.Account{Max: 2 * carriedBytes, Now: clock.Now},
	}
	first, result := c.open(t.Context(), Target{})
	is.Equal(result, Joined)
	second, result := c.open(t.Context(), Target{})
	is.Equal(result, Joined)
	before := carriedRefusals.Get()
	_, result = c.open(t.Context(), Target{})
	is.Equal(result, Busy)
	is.Equal(carriedRefusals.Get(), before+1)
	is.NoErr(first.Close())
	reached = false
	_, result = c.open(t.Context(), Target{})
	is.Equal(result, NotReached)
	is.NoErr(second.Close())
	is.Equal(c.Account.Used(), int64(0))
	is.Equal(c.Active(), 0)
}
