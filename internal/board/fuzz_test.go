package board

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// Guards against: a datagram of another build, or one that was damaged, ends the control loop or keeps it busy.
func FuzzReceive(f *testing.F) {
	const placementTime = 2 * time.Second
	seed, err := cbor.Marshal(packet{
		From: "entry-9", Placed: []ActiveRequest{{Number: 1, Target: "engine-0", Helpers: []string{"engine-1"}, PromptTokens: 1000, MaxOutputTokens: 20, Customer: 7}},
		FirstEvents: []firstEvent{{Number: 1, Age: 5}}, Ended: []uint64{1}, Failed: []string{"engine-0"}, Unreachable: []string{"plain-0"},
		Probes: []ProbeResult{{Target: "engine-0", Slowdown: 2}}, Limits: []TargetLimit{{Target: "engine-1"}},
		Leaving: []TargetLeaving{{Target: "engine-2", Born: 1}}, Doubted: []TargetDoubt{{Target: "engine-3", Left: 100}},
		Cold: &coldNews{Targets: []TargetCold{{Target: "plain-0", Left: 100, Returned: 5, Entry: 7}, {Target: "plain-1", Ended: true}}, All: true},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(t *testing.T, data []byte) {
		b := newBoards(t, 1, 4)[0]
		b.Loop.Call(func() { limitColdTargets(b) })
		weighted([]*Board{b}, "importer")
		b.Receive(data)
		done := make(chan struct{})
		go func() {
			defer close(done)
			for _, req := range []Requirements{short, long, plain} {
				if p, err := b.Place(req); err == nil {
					p.RecordFirstEvent()
					p.End(Succeeded)
				}
			}
			b.Loop.Call(func() {
				b.rebroadcastAndExpire()
				for _, d := range b.doubts(clock.Now()) {
					if d.Left > maxDoubt {
						t.Errorf("closed for %v", d.Left)
					}
				}
				for id, s := range b.targets {
					if s.cold.end() > clock.Now()+maxColdTime {
						t.Errorf("%s cold for too long", id)
					}
				}
			})
		}()
		select {
		case <-done:
		case <-time.After(placementTime):
			t.Fatal("the control loop does not answer")
		}
	})
}
