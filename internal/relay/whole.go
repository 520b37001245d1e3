package relay

import (
	"io"
	"log/slog"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/board"
	"github.com/corianderpier/corianderpier/internal/clock"
)

// handleServerError keeps an answer with a 5xx status, which is forwarded if the request may not be retried, unless it is too long.
func (s *requestState) handleServerError(a *attempt) (string, followUp) {
	body, whole, err := readBuffered(a.answer.Body)
	a.placement.End(board.Failed)
	if err == nil && whole {
		s.serverError = &serverError{a.answer, body}
	}
	if !s.retryable() {
		return s.forwardServerError(), noFollowUp
	}
	countFailedAttempt("error_answer")
	return "", budgetedFollowUp
}

// serverError is an answer with a 5xx status and its whole body.
type serverError struct {
	answer *Answer
	body   []byte
}

// forwardServerError forwards the 5xx answer of the last attempt. The outcome is empty if there is none, or if the caller has a
// part of an answer.
func (s *requestState) forwardServerError() (outcome string) {
	if s.serverError == nil || s.responseStarted {
		return ""
	}
	s.writeAnswer(s.serverError.answer, s.serverError.body)
	return "error"
}

// readBuffered reads the first maxBufferedBytes of a body, and reports whether that is the whole body.
func readBuffered(body io.Reader) (data []byte, whole bool, err error) {
	data, err = io.ReadAll(io.LimitReader(body, maxBufferedBytes+1))
	return data, len(data) <= maxBufferedBytes, err
}

// forwardWhole forwards an answer that is not a stream. A short one is read completely before.
func (s *requestState) forwardWhole(a *attempt) (string, followUp) {
	if length, err := strconv.Atoi(a.answer.Header.Get("Content-Length")); err == nil && length > maxAnswerBytes {
		return s.handleFailure(a, &Error{Op: "read", Kind: Broken, Err: eris.Errorf("answer of %d bytes is too long", length)})
	}
	body, whole, err := readBuffered(a.answer.Body)
	if err != nil {
		return s.handleFailure(a, &Error{Op: "read", Kind: Broken, Err: err})
	}
	if !s.advance(func(p *progress) { p.responseStarted = !whole }) {
		return s.handleFailure(a, errReplaced)
	}
	s.mayHaveRun = true
	s.timeToFirstEvent = clock.Now() - s.Arrived
	if !whole {
		return s.forwardLarge(a, body)
	}
	s.recordAnswered(a.answer.Status)
	a.placement.End(board.Succeeded)
	s.writeAnswer(a.answer, body)
	return "answered", noFollowUp
}

// forwardLarge forwards an answer as it arrives, after its first part. If it breaks or is too long, the connection to the
// caller is closed.
func (s *requestState) forwardLarge(a *attempt, first []byte) (string, followUp) {
	s.writeAnswer(a.answer, first)
	limit := int64(maxAnswerBytes - len(first))
	copied, err := io.Copy(s.w, io.LimitReader(a.answer.Body, limit))
	if err == nil && copied < limit {
		s.recordAnswered(a.answer.Status)
		a.placement.End(board.Succeeded)
		return "answered", noFollowUp
	}
	slog.Info("answer not complete", "request", s.ID, "target", a.placement.Target.ID, "bytes", copied, "error", err)
	a.placement.End(board.Failed)
	countFailedAttempt("incomplete_answer")
	return s.abort("incomplete_answer"), noFollowUp
}

// writeAnswer sends an answer of a target, with the given body, to the caller.
func (s *requestState) writeAnswer(answer *Answer, body []byte) {
	copyHeader(s.w.Header(), answer.Header)
	s.w.WriteHeader(answer.Status)
	_, _ = s.w.Write(body)
}

// recordAnswering records that the target of the current attempt answers the request, so that neither it nor a part of its prompt is
// fatal.
func (s *requestState) recordAnswering() {
	if !s.answering {
		s.answering = true
		s.relay.Blame.RecordAnswer(s.blamed)
	}
}

// recordAnswered records a complete answer, unless it may be a rejection of a request that has not run.
func (s *requestState) recordAnswered(status int) {
	if status/100 == http.StatusOK/100 {
		s.recordAnswering()
	}
}
