package reach

import (
	"net/http"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
)

// Monitor follows the calls to one server.
type Monitor struct {
	LateAfter clock.Millis // time beyond its wait after which an answer on a new connection is late; zero for never

	outageSeenAt atomic.Int64 // see OutageSeenAt, milliseconds since the epoch
	unansweredAt atomic.Int64 // when a call first got no answer since the last one that did, milliseconds since the epoch; zero for none
}

// OutageSeenAt returns when a call last showed that the server was away, or zero if none did.
func (m *Monitor) OutageSeenAt() clock.Millis { return clock.Millis(m.outageSeenAt.Load()) }

// RecordOutage records that the server is away, as an answer of it shows that rejects calls.
func (m *Monitor) RecordOutage() { m.outageSeenAt.Store(int64(clock.Now())) }

// Do sends a request that the server may answer after a wait, and records what that shows of the server.
func (m *Monitor) Do(client *http.Client, req *http.Request, wait clock.Millis) (*http.Response, error) {
	use := &connUse{}
	began := clock.Now()
	resp, err := client.Do(req.WithContext(use.trace(req.Context())))
	if err != nil {
		m.recordUnanswered(client, use, wait)
		return nil, err
	}
	m.recordAnswered(use, clock.Now()-began, wait)
	return resp, nil
}

// recordUnanswered records a call that got no answer. The server is away if no connection to it can be opened, or if it does not answer
// at once on one that was opened after an earlier call had got no answer. Any other connection may have been lost by itself; the idle
// ones may have been lost with it.
func (m *Monitor) recordUnanswered(client *http.Client, use *connUse, wait clock.Millis) {
	metrics.GetOrCreateCounter(`pier_store_unanswered_total{connection="` + use.name() + `"}`).Inc()
	earlier := clock.Millis(m.unansweredAt.Load())
	m.unansweredAt.CompareAndSwap(0, int64(clock.Now()))
	openedSince := earlier > 0 && use.openedSince(earlier)
	if !use.got.Load() || openedSince && wait == 0 {
		m.RecordOutage()
		return
	}
	client.CloseIdleConnections()
}

// recordAnswered records a call that was answered after some time. A late answer to the first call on a connection shows that the server
// was away.
func (m *Monitor) recordAnswered(use *connUse, took, wait clock.Millis) {
	m.unansweredAt.Store(0)
	if m.LateAfter > 0 && !use.reused.Load() && took > wait+m.LateAfter {
		m.RecordOutage()
	}
}
