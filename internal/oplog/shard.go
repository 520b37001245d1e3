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
	takeoverRetryInterval     = 20 * clock.Millis(1) // after another instance's update came first
	takeoverTimeout           = 5 * clock.Second
	verdictGrace              = 100 * clock.Millis(1) // after the deadline, for the result of a dispatch to arrive
	formerWriterCheckInterval = 200 * clock.Millis(1) // between checks whether former writers are alive
	maxStoredBody             = 64 << 10              // bytes; the log does not keep larger bodies of outcomes
)

// shard is the state of one shard on one instance. Only functions that run on its loop use it.
type shard struct {
	log    *Log
	number int
	loop   *loop.Loop
	limit  *rate.Limiter // of updates

	owned           bool              // this instance is the writer
	term            uint64            // in which this instance is or last was the writer
	version         uint64            // of the stored object
	entries         map[string]*entry // by operation key
	segments        []segment         // that the stored value refers to, oldest first
	inSegment       map[string]bool   // keys of operations whose records are in segments
	expiredSegments []segment         // to be deleted once the update that drops them is confirmed

	unconfirmed map[string]Settlement // by attempt ID, until an update that contains the settlement is confirmed

	openWaiters []chan openResult // callers of Open that wait for the takeover in progress
	dirty       bool              // there are changes that no update contains
	writing     bool              // an update is in progress
	rateLimited bool              // a write is scheduled for when the rate limit allows it
}

// entry is the state of one operation in memory.
type entry struct {
	Record
	op         Op       // set only if this instance is to dispatch the operation
	waiters    []waiter // attempts that wait for a verdict
	inUpdate   bool     // the record has been part of an update, which may have been stored
	dispatched bool     // by this instance
	cancelled  bool     // this instance will never dispatch it
}

// waiter is an attempt that waits for a verdict.
type waiter struct {
	attempt  string // ID
	deadline clock.Millis
	reply    chan Reply
}

// replyAll replies to all attempts that wait for the operation.
func (e *entry) replyAll(r Reply) {
	for _, w := range e.waiters {
		reply := r
		reply.Joined = r.Verdict == VerdictDone && w.attempt != e.Attempt
		w.reply <- reply
	}
	e.waiters = nil
}

// replyUnknown replies unknown to the attempts that wait until the given deadline or an earlier one.
func (e *entry) replyUnknown(deadline clock.Millis, term uint64) {
	e.waiters = slices.DeleteFunc(e.waiters, func(w waiter) bool {
		if w.deadline > deadline {
			return false
		}
		w.reply <- Reply{Verdict: VerdictUnknown, Term: term}
		return true
	})
}

// submit starts the attempt's operation, joins the attempt to one that has started it already, or replies at once.
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
		e.waiters = append(e.waiters, waiter{attempt: a.ID, deadline: a.Op.Deadline, reply: reply})
		s.scheduleExpiry(e, a.Op.Deadline)
	}
}

// startOperation records the operation of an attempt as sent. It is dispatched once an update with the record is confirmed.
func (s *shard) startOperation(a Attempt, reply chan Reply) {
	if clock.Now() >= a.Op.Deadline {
		reply <- Reply{Verdict: VerdictNotRun, Term: s.term, Reason: "deadline"}
		return
	}
	e := &entry{
		Record: Record{
			Key: a.Op.Key, Digest: a.Op.Digest, Term: s.term, Attempt: a.ID,
			Writer: s.log.Self, State: Sent, CreatedAt: clock.Now(),
		},
		op:      a.Op,
		waiters: []waiter{{attempt: a.ID, deadline: a.Op.Deadline, reply: reply}},
	}
	s.entries[a.Op.Key] = e
	s.log.active.Add(1)
	s.scheduleExpiry(e, a.Op.Deadline)
	s.markDirty()
}

// scheduleExpiry schedules expireWaiters for a waiter's deadline, and verdictGrace later if the operation is already
// dispatched or belongs to an earlier term.
func (s *shard) scheduleExpiry(e *entry, deadline clock.Millis) {
	wait := deadline - clock.Now()
	if e.dispatched || e.Term != s.term {
		wait += verdictGrace
	}
	time.AfterFunc(wait.Duration(), func() {
		s.loop.Post(func() { s.expireWaiters(e, deadline, s.term) })
	})
}

// expireWaiters replies to the waiters of an operation whose deadline has passed. If that is the operation's own deadline, and
// the operation can still be cancelled, all get the verdict not run; otherwise theirs is unknown.
func (s *shard) expireWaiters(e *entry, deadline clock.Millis, term uint64) {
	if len(e.waiters) == 0 {
		return
	}
	if e.dispatched {
		// The dispatch may end at the same deadline, so its result normally arrives within the grace period.
		time.AfterFunc(verdictGrace.Duration(), func() {
			s.loop.Post(func() { e.replyUnknown(deadline, term) })
		})
		return
	}
	if e.Term != term || e.Writer != s.log.Self || deadline < e.op.Deadline {
		e.replyUnknown(deadline, term)
		return
	}
	s.cancel(e, "log_unavailable")
}

// cancel ensures that an operation of this term is never dispatched, and replies that it was not run. The record remains
// if an update may have stored it; finishWrite then removes it.
func (s *shard) cancel(e *entry, reason string) {
	e.cancelled = true
	s.log.active.Add(-1)
	e.replyAll(Reply{Verdict: VerdictNotRun, Term: e.Term, Reason: reason})
	if !e.inUpdate && s.entries[e.Key] == e {
		delete(s.entries, e.Key)
	}
}

// markDirty records that the shard has changed and writes it as soon as the rate limit allows.
func (s *shard) markDirty() {
	s.dirty = true
	s.flush()
}

// flush starts an update if there are changes and none is in progress, or schedules one if the rate limit is reached.
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

// startWrite starts an update with all changes so far.
func (s *shard) startWrite() {
	s.dirty, s.writing = false, true
	s.dropExpired()
	update := s.nextUpdate()
	term := s.term
	go func() {
		version, won, err := s.log.applyUpdate(s.log.ctx, update)
		s.loop.Post(func() { s.finishWrite(update, term, version, won, err) })
	}()
}

// finishWrite handles the result of an update: it dispatches the operations that are now recorded as sent, or gives up the
// shard if the update failed.
func (s *shard) finishWrite(update shardUpdate, term, version uint64, won bool, err error) {
	if !s.owned || s.term != term {
		return
	}
	s.writing = false
	if err != nil || !won {
		s.stepDown()
		return
	}
	s.version = version
	s.segments = update.value.Segments
	for _, r := range update.toSegment {
		s.inSegment[r.Key] = true
	}
	for _, attempt := range update.settledAttempts {
		delete(s.unconfirmed, attempt)
		s.log.active.Add(-1)
	}
	for _, e := range update.newlySent {
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

// dispatch sends an operation to a target until its deadline.
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

// finishDispatch replies with the result of a dispatch and records it. If this instance has lost the shard meanwhile, it
// sends the result to the present writer.
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
	settlement := Settlement{Shard: s.number, Key: e.Key, Attempt: e.Attempt, State: r.State, Outcome: r.Outcome}
	if s.owned {
		s.settle(settlement)
		return
	}
	go s.log.forward(settlement)
}

// settle records the final state of an attempt that the log holds as sent. It ignores other attempts, and operations that
// are done.
func (s *shard) settle(settlement Settlement) {
	e := s.entries[settlement.Key]
	if e == nil || e.Attempt != settlement.Attempt || e.State == Done {
		return
	}
	delete(s.inSegment, settlement.Key) // the record has changed and goes back into the shard's value
	if _, counted := s.unconfirmed[settlement.Attempt]; !counted {
		s.log.active.Add(1)
	}
	s.unconfirmed[settlement.Attempt] = settlement
	switch settlement.State {
	case Done:
		e.Record = e.WithOutcome(withoutLargeBody(settlement.Outcome))
		e.replyAll(Reply{Verdict: VerdictDone, Term: s.term, Outcome: settlement.Outcome})
	case NotRun:
		delete(s.entries, settlement.Key)
		e.replyAll(Reply{Verdict: VerdictNotRun, Term: s.term, Reason: "target_failed"})
	default:
		e.Record = e.WithState(Unknown)
		e.replyAll(Reply{Verdict: VerdictUnknown, Term: s.term})
	}
	s.markDirty()
}

// currentTerm returns the term if this instance is the writer, and zero otherwise.
func (s *shard) currentTerm() uint64 {
	if s.owned {
		return s.term
	}
	return 0
}

// deleteExpiredSegments deletes the objects of segments that the confirmed update has dropped.
func (s *shard) deleteExpiredSegments() {
	expired := s.expiredSegments
	s.expiredSegments = nil
	if len(expired) == 0 {
		return
	}
	go func() {
		for _, old := range expired {
			s.log.deleteObject(old.Name)
		}
	}()
}

// deleteObject deletes an object that no shard refers to any more. If it fails, the object stays, which does no harm.
func (l *Log) deleteObject(name string) {
	object, err := l.Get(l.ctx, name)
	if err != nil {
		return
	}
	_ = l.Delete(l.ctx, name, object.Version)
}

// withoutLargeBody returns the outcome without its body and status if the body is too large to keep.
func withoutLargeBody(o Outcome) Outcome {
	if len(o.Body) > maxStoredBody {
		o.Body, o.Status = "", 0
	}
	return o
}

// metricName returns the name of the state in metrics.
func (s State) metricName() string {
	if s == NotRun {
		return "not_run"
	}
	return s.String()
}

// eventCounter returns the counter of an event of the operation log.
func eventCounter(name string) *metrics.Counter {
	return metrics.GetOrCreateCounter(`pier_oplog_events_total{event="` + name + `"}`)
}

// sortByTime sorts records from the oldest to the newest.
func sortByTime(records []Record) {
	slices.SortFunc(records, func(a, b Record) int { return int(a.CreatedAt - b.CreatedAt) })
}
