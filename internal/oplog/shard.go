package oplog

import (
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/loop"
)

const (
	takeoverRetryInterval     = 20 * clock.Millis(1) // after another instance came first
	takeoverTimeout           = 5 * clock.Second     // for a takeover
	verdictGrace              = 100 * clock.Millis(1)
	formerWriterCheckInterval = 200 * clock.Millis(1) // between looks at former writers
	maxStoredBody             = 64 << 10              // bytes of an outcome's body that the log keeps
)

// shard is the state of one shard on one instance; it belongs to the shard's loop.
type shard struct {
	log   *Log
	index int
	loop  *loop.Loop
	limit *rate.Limiter

	owned           bool
	term            uint64
	version         uint64
	entries         map[string]*entry
	segments        []segment
	inSegment       map[string]bool // keys of records that are in segments
	expiredSegments []segment       // dropped from the page, to be deleted

	unconfirmed map[string]Settlement // by attempt, until an update that holds it is confirmed

	openWaiters []chan openResult
	dirty       bool
	writing     bool
	rateLimited bool // for the rate limit
}

type entry struct {
	Record
	op         Op
	waiters    []waiter
	inUpdate   bool // part of an update
	dispatched bool
	cancelled  bool // never to be dispatched
}

type waiter struct {
	attempt string
	reply   chan Reply
}

// replyAll replies to all who wait for the operation.
func (e *entry) replyAll(r Reply) {
	for _, w := range e.waiters {
		reply := r
		reply.Joined = r.Verdict == VerdictDone && w.attempt != e.Attempt
		w.reply <- reply
	}
	e.waiters = nil
}

// submit takes an attempt, joins it to an earlier one, or says why not.
func (s *shard) submit(a Attempt, reply chan Reply) {
	if !s.owned || a.Term != s.term {
		reply <- Reply{Verdict: VerdictWrongTerm, Term: s.currentTerm()}
		return
	}
	e := s.entries[a.Op.Key]
	if e == nil {
		s.startOperation(a, reply)
		return
	}
	switch {
	case e.Digest != a.Op.Digest:
		reply <- Reply{Verdict: VerdictConflict, Term: s.term}
	case e.State == Done:
		reply <- Reply{Verdict: VerdictDone, Term: s.term, Outcome: e.Outcome, Joined: true}
	case e.State == Unknown:
		reply <- Reply{Verdict: VerdictUnknown, Term: s.term}
	case e.cancelled:
		reply <- Reply{Verdict: VerdictNotRun, Term: s.term, Reason: "log_unavailable"}
	default:
		e.waiters = append(e.waiters, waiter{attempt: a.ID, reply: reply})
		s.scheduleExpiry(e, a.Op.Deadline)
	}
}

func (s *shard) startOperation(a Attempt, reply chan Reply) {
	if clock.Now() >= a.Op.Deadline {
		reply <- Reply{Verdict: VerdictNotRun, Term: s.term, Reason: "deadline"}
		return
	}
	e := &entry{
		Record: Record{
			Key: a.Op.Key, Digest: a.Op.Digest, Term: s.term, Attempt: a.ID,
			Writer: s.log.Self, State: Sent, At: clock.Now(),
		},
		op:      a.Op,
		waiters: []waiter{{attempt: a.ID, reply: reply}},
	}
	s.entries[a.Op.Key] = e
	s.log.active.Add(1)
	s.scheduleExpiry(e, a.Op.Deadline)
	s.markDirty()
}

// scheduleExpiry answers those who wait for an operation once the deadline has passed.
func (s *shard) scheduleExpiry(e *entry, deadline clock.Millis) {
	wait := deadline - clock.Now()
	if e.dispatched || e.Term != s.term {
		wait += verdictGrace
	}
	time.AfterFunc(wait.Duration(), func() {
		s.loop.Post(func() { s.expireWaiters(e, s.term) })
	})
}

func (s *shard) expireWaiters(e *entry, term uint64) {
	if len(e.waiters) == 0 {
		return
	}
	if e.dispatched {
		// The dispatch ends at the same deadline and answers first.
		time.AfterFunc(verdictGrace.Duration(), func() {
			s.loop.Post(func() { e.replyAll(Reply{Verdict: VerdictUnknown, Term: term}) })
		})
		return
	}
	if e.Term != term || e.Writer != s.log.Self {
		e.replyAll(Reply{Verdict: VerdictUnknown, Term: term})
		return
	}
	s.cancel(e, "log_unavailable")
}

// cancel makes sure that an operation of this term is never dispatched, and says so.
func (s *shard) cancel(e *entry, reason string) {
	e.cancelled = true
	s.log.active.Add(-1)
	e.replyAll(Reply{Verdict: VerdictNotRun, Term: e.Term, Reason: reason})
	if !e.inUpdate && s.entries[e.Key] == e {
		delete(s.entries, e.Key)
	}
}

// markDirty marks the shard as changed and writes it as soon as the rate allows.
func (s *shard) markDirty() {
	s.dirty = true
	s.flush()
}

func (s *shard) flush() {
	if !s.owned || s.writing || s.rateLimited || !s.dirty {
		return
	}
	if wait := s.limit.Reserve().Delay(); wait > 0 {
		s.rateLimited = true
		time.AfterFunc(wait, func() {
			s.loop.Post(func() {
				s.rateLimited = false
				if s.owned && !s.writing && s.dirty {
					s.startWrite()
				}
			})
		})
		return
	}
	s.startWrite()
}

func (s *shard) startWrite() {
	s.dirty, s.writing = false, true
	s.dropExpired()
	plan := s.nextUpdate()
	term := s.term
	go func() {
		version, won, err := s.log.applyUpdate(s.log.ctx, plan)
		s.loop.Post(func() { s.finishWrite(plan, term, version, won, err) })
	}()
}

func (s *shard) finishWrite(p shardUpdate, term, version uint64, won bool, err error) {
	if !s.owned || s.term != term {
		return
	}
	s.writing = false
	if err != nil || !won {
		s.stepDown()
		return
	}
	s.version = version
	s.segments = p.value.Segments
	for _, r := range p.toSegment {
		s.inSegment[r.Key] = true
	}
	for _, attempt := range p.settledAttempts {
		delete(s.unconfirmed, attempt)
		s.log.active.Add(-1)
	}
	for _, e := range p.newlySent {
		if e.cancelled {
			delete(s.entries, e.Key)
			s.dirty = true
			continue
		}
		s.dispatch(e)
	}
	s.deleteExpiredSegments()
	s.flush()
}

func (s *shard) dispatch(e *entry) {
	e.dispatched = true
	attempt, op := e.Attempt, e.op
	go func() {
		wait := op.Deadline - clock.Now()
		ctx, cancel := context.WithTimeout(s.log.ctx, wait.Duration())
		defer cancel()
		result := s.log.Dispatch(ctx, attempt, op)
		s.loop.Post(func() { s.finishDispatch(e, result) })
	}()
}

// finishDispatch records what became of a dispatch, here or with the present writer.
func (s *shard) finishDispatch(e *entry, r Result) {
	defer s.log.active.Add(-1)
	eventCounter("finished_" + r.State.metricName()).Inc()
	switch r.State {
	case Done:
		e.replyAll(Reply{Verdict: VerdictDone, Term: e.Term, Outcome: r.Outcome})
	case NotRun:
		e.replyAll(Reply{Verdict: VerdictNotRun, Term: e.Term, Reason: r.Reason})
	default:
		e.replyAll(Reply{Verdict: VerdictUnknown, Term: e.Term, Reason: r.Reason})
	}
	settlement := Settlement{Shard: s.index, Key: e.Key, Attempt: e.Attempt, State: r.State, Outcome: r.Outcome}
	if s.owned {
		s.settle(settlement)
		return
	}
	go s.log.forward(settlement)
}

// settle records the end of an attempt that the log holds as sent.
func (s *shard) settle(t Settlement) {
	e := s.entries[t.Key]
	if e == nil || e.Attempt != t.Attempt || e.State == Done {
		return
	}
	delete(s.inSegment, t.Key) // the newer record goes to the page
	if _, twice := s.unconfirmed[t.Attempt]; !twice {
		s.log.active.Add(1)
	}
	s.unconfirmed[t.Attempt] = t
	switch t.State {
	case Done:
		e.Record = e.WithOutcome(withoutLargeBody(t.Outcome))
		e.replyAll(Reply{Verdict: VerdictDone, Term: s.term, Outcome: t.Outcome})
	case NotRun:
		delete(s.entries, t.Key)
		e.replyAll(Reply{Verdict: VerdictNotRun, Term: s.term, Reason: "target_failed"})
	default:
		e.Record = e.WithState(Unknown)
		e.replyAll(Reply{Verdict: VerdictUnknown, Term: s.term})
	}
	s.markDirty()
}

func (s *shard) currentTerm() uint64 {
	if s.owned {
		return s.term
	}
	return 0
}

func (s *shard) deleteExpiredSegments() {
	spent := s.expiredSegments
	s.expiredSegments = nil
	if len(spent) == 0 {
		return
	}
	go func() {
		for _, old := range spent {
			s.log.deleteObject(old.Name)
		}
	}()
}

func (l *Log) deleteObject(name string) {
	object, err := l.Get(l.ctx, name)
	if err != nil {
		return
	}
	_ = l.Delete(l.ctx, name, object.Version)
}

// withoutLargeBody leaves out a body that is too large to keep.
func withoutLargeBody(o Outcome) Outcome {
	if len(o.Body) > maxStoredBody {
		o.Body, o.Status = "", 0
	}
	return o
}

func (s State) metricName() string {
	if s == NotRun {
		return "not_run"
	}
	return s.String()
}

func eventCounter(name string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`pier_oplog_events_total{event="` + name + `"}`)
}

func sortByTime(records []Record) {
	slices.SortFunc(records, func(a, b Record) int { return int(a.At - b.At) })
}
