package board

import (
	"log/slog"
	"math"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/corianderpier/corianderpier/internal/clock"
)

const (
	maxColdTime    = clock.Hour             // for which a target may be cold; a longer time counts as this
	coldRampTime   = 3 * clock.Second       // after the cold time, in each second of which the rates double
	coldSettleTime = 1500 * clock.Millis(1) // after this instance has joined: by then the others know it and have told which targets are cold
	coldDebtTime   = clock.Second           // of requests at the shared rate: more debt than that is forgotten, as the bound is on one second
	coldMinWait    = 300 * clock.Millis(1)  // after which a caller may try again that found only cold targets
	coldNewsMargin = 500 * clock.Millis(1)  // differences below this may be the delay of answers and broadcasts: they are not broadcast, and end no cold time
	slowStartTime  = 3 * clock.Second       // from a target's start or return, in which its additional cost decays
)

// ColdRate is what the targets of a service bear while they are cold.
type ColdRate struct {
	PerSecond float64      // requests; zero if targets of the service are never cold
	Time      clock.Millis // for which a target is cold after a start
}

// ColdLimit bounds the requests that a cold target gets in one second from all instances together: its rate times Excess, and Slack.
// The zero value means that nothing is limited and no target starts slowly.
type ColdLimit struct {
	Excess float64
	Slack  float64
}

// share returns the rate of one of n instances that send to a cold target. It is lower than an even part where the sum would exceed
// the limit, since each instance sends a whole number of requests in a second. One more part is left for an instance that has joined
// and that the others do not know yet.
func (l ColdLimit) share(perSecond float64, n int) float64 {
	total := perSecond * l.Excess
	part := total / float64(n)
	if whole := math.Floor((total + l.Slack) / float64(n+1)); whole >= 1 {
		return min(part, whole)
	}
	return part
}

// coldSource is a way to learn that a target is cold.
type coldSource uint8

const (
	fromEntry      coldSource = iota // the target's entry in the list
	fromAnswer                       // an answer of the target
	fromReturn                       // its zone is no longer evacuated
	entryOfOther                     // another instance, from the target's entry
	answerOfOther                    // another instance, from an answer of the target
	returnOfOther                    // another instance, from the end of an evacuation
	numColdSources                   // number of sources
)

// coldSourceNames are the sources in logs and metrics.
var coldSourceNames = [numColdSources]string{"entry", "answer", "return", "entry_other", "answer_other", "return_other"}

// coldState is what this instance knows of a target that is cold, or was, and of its start.
type coldState struct {
	until      [numColdSources]clock.Millis // end of the cold time by source; zero if the source gave none
	reportedAt clock.Millis                 // when any source last reported a cold time
	learnedAt  clock.Millis                 // when this instance last did
	announced  bool                         // its cold time is logged, and its end is not
	startedAt  clock.Millis                 // when it was newly listed or returned; zero if it was there before this instance
	limited    bool                         // as of the last Board.limitCold: the buckets are in use
	shared     bucket                       // of all instances that are heard
	own        bucket                       // of this instance
	sent       bucket                       // of what this instance has sent, see Placement.MaySend
}

// end returns the end of the cold time, or zero if the target never was cold.
func (c *coldState) end() clock.Millis { return slices.Max(c.until[:]) }

// isCold reports whether the target is cold as of the last Board.limitCold, with rates that are limited for that.
func (c *coldState) isCold(now clock.Millis) bool { return c.limited && now < c.end() }

// factor returns the multiple of the rates of the cold time that the target bears now; zero if it is not limited.
func (c *coldState) factor(now clock.Millis) float64 {
	switch end := c.end(); {
	case end == 0 || now >= end+coldRampTime:
		return 0
	case now < end:
		return 1
	default:
		return math.Exp2((now - end).Seconds())
	}
}

// finish ends the cold times that some sources gave, and reports whether any went on.
func (c *coldState) finish(now clock.Millis, sources ...coldSource) bool {
	ended := false
	for _, source := range sources {
		ended = ended || c.until[source] > now
		c.until[source] = min(c.until[source], now)
	}
	return ended
}

// finishUnlessRecent is finish for an end that may be older than the latest report that the target is cold: within coldNewsMargin of that
// report it changes nothing.
func (c *coldState) finishUnlessRecent(now clock.Millis, sources ...coldSource) {
	if now-c.reportedAt >= coldNewsMargin {
		c.finish(now, sources...)
	}
}

// startWeight returns the part of the additional cost of a target that has started, which keeps an empty target from attracting all
// requests: 1 while it is cold, then less and less.
func (c *coldState) startWeight(now clock.Millis) float64 {
	from := c.startedAt
	if c.limited {
		from = max(from, c.end())
	}
	if from == 0 {
		return 0
	}
	return max(0, min(1, 1-(now-from).Seconds()/slowStartTime.Seconds()))
}

// coldLimit returns the limit in force, and whether there is one.
func (b *Board) coldLimit() (ColdLimit, bool) {
	if b.ColdLimit == nil {
		return ColdLimit{}, false
	}
	l := b.ColdLimit()
	return l, l.Excess > 0
}

// coldRate returns what the targets of a service bear while they are cold; zero if nothing is limited.
func (b *Board) coldRate(service string) ColdRate {
	if _, enabled := b.coldLimit(); !enabled || b.Cold == nil {
		return ColdRate{}
	}
	return b.Cold(service)
}

// coldTime returns for how long a target of a service is cold when it takes requests again.
func (b *Board) coldTime(service string) clock.Millis {
	if rate := b.coldRate(service); rate.PerSecond > 0 {
		return rate.Time
	}
	return 0
}

// noteCold records that a target takes requests again after an evacuation, and is cold for some time.
func (b *Board) noteCold(now clock.Millis, s *targetState, left clock.Millis) {
	if _, enabled := b.coldLimit(); enabled {
		s.cold.startedAt = now
		b.prolongCold(now, s, fromReturn, left)
	}
}

// prolongCold records for how long a target is cold as a source says. It reports whether that is news to others.
func (b *Board) prolongCold(now clock.Millis, s *targetState, source coldSource, left clock.Millis) bool {
	if _, enabled := b.coldLimit(); !enabled || left <= 0 {
		return false
	}
	end, until := s.cold.end(), now+min(left, maxColdTime)
	if source <= fromReturn {
		s.cold.reportedAt, s.cold.learnedAt = now, now
	}
	if until <= s.cold.until[source] {
		return false
	}
	b.limitCold(now, s) // as of before the change: buckets that were not in use start empty
	s.cold.until[source] = until
	b.limitCold(now, s)
	b.anyLimited.Store(true)
	if s.cold.limited && !s.cold.announced {
		s.cold.announced = true
		slog.Info("target cold", "target", s.ID, "source", coldSourceNames[source], "left_ms", int64(until-now))
		metrics.GetOrCreateCounter(`pier_board_target_cold_total{source="` + coldSourceNames[source] + `"}`).Inc()
	}
	return end <= now || until > end+coldNewsMargin
}

// noteStarted applies what is new in a target's entry: the target starts slowly if it is new or has returned, and is cold for as long
// as the entry says. At this instance's own start all targets are new, so that none is to be spared.
func (b *Board) noteStarted(now clock.Millis, s *targetState, change entryChange) {
	if _, enabled := b.coldLimit(); enabled && change.returned && b.listed {
		s.cold.startedAt = now
	}
	if !change.cold {
		return
	}
	if s.WarmupLeft == 0 {
		s.cold.finish(now, fromEntry)
		s.cold.finishUnlessRecent(now, entryOfOther)
	}
	b.limitCold(now, s)
	if b.prolongCold(now, s, fromEntry, s.WarmupLeft) && b.announcesEntry(s.ID) {
		b.announceCold(s.told(now))
	}
}

// noteAnswered applies the cold time that a target names in an answer. Zero ends the time that an entry or an answer gave, unless the
// request was sent before that: then the answer may be older.
func (b *Board) noteAnswered(now clock.Millis, s *targetState, n ColdNotice) {
	if n.Left > 0 {
		if b.prolongCold(now, s, fromAnswer, n.Left) {
			b.announceCold(s.told(now))
			b.flush()
		}
		return
	}
	if n.AskedAt > s.cold.reportedAt && s.cold.finish(now, fromEntry, fromAnswer, entryOfOther, answerOfOther) {
		change := s.told(now)
		change.Ended = true
		b.announceCold(change)
	}
}

// updateCold refreshes the rates of all targets, logs the end of cold times, and records whether any rates are limited.
func (b *Board) updateCold(now clock.Millis) {
	limited := false
	for id, s := range b.targets {
		limited = b.limitCold(now, s) || limited
		if s.cold.announced && now >= s.cold.end() {
			s.cold.announced = false
			slog.Info("target warm", "target", id, "requests", s.runningCount())
		}
	}
	b.anyLimited.Store(limited)
}

// limitCold sets the rates at which a target may get requests now, and reports whether they are limited as it is cold, or was until
// lately, or might be. Buckets that come into use are empty: a former process of this instance may have sent what they would allow.
func (b *Board) limitCold(now clock.Millis, s *targetState) bool {
	factor := s.cold.factor(now)
	if factor == 0 && b.cell.uncertain(now) {
		factor = 1
	}
	if factor == 0 {
		s.cold.limited = false
		return false
	}
	rate := b.coldRate(s.Service)
	if rate.PerSecond <= 0 {
		s.cold.limited = false
		return false
	}
	if !s.cold.limited {
		s.cold.limited = true
		s.cold.shared, s.cold.own, s.cold.sent = bucket{refilledAt: now}, bucket{refilledAt: now}, bucket{refilledAt: now}
	}
	limit, _ := b.coldLimit()
	s.cold.shared.set(now, factor*rate.PerSecond, max(1, limit.Slack))
	part := factor * limit.share(rate.PerSecond, b.cell.size(now))
	s.cold.own.set(now, part, 1)
	s.cold.sent.set(now, part, 1)
	return true
}

// coldAllows reports whether this instance may place a request on a target now as far as it is cold, and else after how long.
func (b *Board) coldAllows(now clock.Millis, s *targetState) (ok bool, wait clock.Millis) {
	if !b.limitCold(now, s) {
		return true, 0
	}
	reason := b.coldHindrance(now, s)
	if reason == "" {
		return true, 0
	}
	metrics.GetOrCreateCounter(`pier_board_cold_withheld_total{reason="` + reason + `"}`).Inc()
	return false, max(coldMinWait, s.cold.own.wait(now), s.cold.shared.wait(now))
}

// coldHindrance returns why this instance may not place a request on a target with limited rates now, or the empty string.
func (b *Board) coldHindrance(now clock.Millis, s *targetState) string {
	switch {
	case s.cold.factor(now) > 0 && b.HearsPlacements != nil && !b.HearsPlacements(s.ID):
		return "unheard"
	case now < s.cold.end() && !b.cell.settled(now):
		return "not_joined"
	case !s.cold.own.allows(now):
		return "own"
	case !s.cold.shared.allows(now):
		return "shared"
	default:
		return ""
	}
}

// chargeCold counts a request, of this instance or another, on a target whose rates are limited.
func (b *Board) chargeCold(now clock.Millis, s *targetState, own bool) {
	if !b.limitCold(now, s) {
		return
	}
	s.cold.shared.take(now)
	s.cold.shared.limitDebt(s.cold.shared.rate * coldDebtTime.Seconds())
	if own {
		s.cold.own.take(now)
	}
}

// probeDue reports whether a target may be probed, and records that it is.
func (b *Board) probeDue(now clock.Millis, s *targetState) bool {
	if !b.limitCold(now, s) {
		return s.limit.probeDue(now)
	}
	if b.coldHindrance(now, s) != "" || !s.limit.probeShareDue(now, s.cold.own.rate) || !s.limit.probeDue(now) {
		return false
	}
	s.cold.own.take(now) // the shared bucket is charged with the result of the probe
	return true
}
