package board

import (
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// Pattern: requests wait for room that others free. Guards against: nobody tells them that a request of this or another instance has
// ended, that a helper has done its part, or that an instance which has died no longer uses a target.
func TestRoomSignalled(t *testing.T) {
	is := is.New(t)
	boards := newBoards(t, 2, 16)
	var models, others atomic.Int64
	boards[0].Loop.Call(func() {
		boards[0].OnRoom = func(service string) {
			if service == "models" {
				models.Add(1)
			} else {
				others.Add(1)
			}
		}
	})
	place(t, boards[0], short).End(Succeeded)
	waitUntil(t, func() bool { return models.Load() == 1 })
	remote := place(t, boards[1], short)
	waitDelivered(boards)
	is.Equal(models.Load(), int64(1)) // a placement is no room
	remote.End(Failed)
	waitUntil(t, func() bool { return models.Load() == 2 })
	divided := place(t, boards[0], long)
	is.True(len(divided.Helpers) > 0)
	divided.RecordFirstEvent()
	waitUntil(t, func() bool { return models.Load() == 2+int64(len(divided.Helpers)) })
	place(t, boards[1], Requirements{Service: "desk"})
	waitDelivered(boards)
	boards[0].Loop.Call(func() {
		for k, r := range boards[0].requests {
			if k.owner != boards[0].Self {
				r.lastHeard = clock.Now() - instanceTimeout
			}
		}
		boards[0].rebroadcastAndExpire()
	})
	waitUntil(t, func() bool { return others.Load() == 1 })
}
