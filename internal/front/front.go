package front

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/flow"
	"github.com/corianderpier/corianderpier/internal/limit"
	"github.com/corianderpier/corianderpier/internal/member"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

// AddressTTL is how long callers may cache the list of addresses.
const AddressTTL = 3 * clock.Second

const (
	maxAddresses      = 8         // in one response
	maxBodyBytes      = 20 << 20  // of one request
	maxTotalBodyBytes = 512 << 20 // of all requests in progress
	maxKeyBytes       = 256       // of an idempotency key
	bytesPerToken     = 4         // average, to estimate the tokens of a prompt
	bodyReadTimeout   = 15 * time.Second
	idlePollInterval  = 20 * time.Millisecond  // in WaitIdle
	writeGrace        = 400 * time.Millisecond // after the deadline, for the last bytes
)

// Server handles the requests of callers.
type Server struct {
	Self        string // name of this instance
	View        func() member.View
	Config      func() (config.Config, uint64) // the active configuration and its version
	Unavailable func() (wire.Reason, bool)     // whether and why the instance takes no requests now
	Prompts     *flow.Prompts
	Calls       *flow.Calls
	Incarnation string // makes request IDs unique across restarts

	limits      concurrencyLimits
	bodyBudget  limit.Budget
	lastRequest atomic.Uint64 // number in the ID of the last request
	active      atomic.Int64  // requests in progress
}

// Handler returns the handler for all paths of the caller interface.
func (s *Server) Handler() http.Handler {
	s.bodyBudget.Max = maxTotalBodyBytes
	for _, reason := range wire.Reasons() {
		refusedCounter(reason)
	}
	metrics.GetOrCreateGauge("pier_requests_active", func() float64 { return float64(s.active.Load()) })
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathAddresses, s.handleAddresses)
	mux.HandleFunc("POST "+wire.PathCompletions, s.countActive(s.handleCompletion))
	mux.HandleFunc("POST "+wire.PathCalls, s.countActive(s.handleCall))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.fail(w, "", wire.ReasonBadRequest, wire.RanNo, "no such path or method: "+r.Method+" "+r.URL.Path)
	})
	return mux
}

// WaitIdle waits until no request is in progress.
func (s *Server) WaitIdle(ctx context.Context) error {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for s.ActiveRequests() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// ActiveRequests returns how many requests are in progress.
func (s *Server) ActiveRequests() int { return int(s.active.Load()) }

// handleAddresses answers with addresses of instances, those in the caller's zone first, without those that have lost their links to
// targets if the others suffice. An instance that drains still answers, so that callers find the others.
func (s *Server) handleAddresses(w http.ResponseWriter, r *http.Request) {
	if reason, unavailable := s.Unavailable(); unavailable && reason != wire.ReasonDraining {
		// Isolated or just started, this instance knows no more about the others than the caller does.
		s.fail(w, "", reason, wire.RanNo, "this instance does not know which instances serve")
		return
	}
	zone := r.URL.Query().Get("zone")
	_, version := s.Config()
	answer := wire.Addresses{KeepMillis: int64(AddressTTL), ConfigVersion: version, Addresses: []wire.Address{}}
	var sameZone, otherZones []wire.Address
	alive := slices.DeleteFunc(s.View().Live(), func(m member.Member) bool { return m.State == member.Suspect })
	for _, m := range member.Named(alive) {
		address := wire.Address{Name: m.Name, Zone: m.Zone, Addr: m.Addr}
		if m.Zone == zone {
			sameZone = append(sameZone, address)
		} else {
			otherZones = append(otherZones, address)
		}
	}
	shuffle(sameZone)
	shuffle(otherZones)
	ordered := append(sameZone, otherZones...)
	answer.Addresses = append(answer.Addresses, ordered[:min(len(ordered), maxAddresses)]...)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func shuffle(a []wire.Address) {
	rand.Shuffle(len(a), func(i, j int) { a[i], a[j] = a[j], a[i] })
}

// countActive counts requests in progress, which a graceful shutdown waits for.
func (s *Server) countActive(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.active.Add(1)
		defer s.active.Add(-1)
		h(w, r)
	}
}

// admittedRequest is a request that passed the checks. release undoes what admit counted against the limits for it, and
// frees the memory of its body.
type admittedRequest struct {
	job     flow.Job
	start   clock.Millis
	release func()
}

func (s *Server) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var completion wire.Completion
	a, ok := s.admit(w, r, &completion, func() string { return completion.Profile })
	if !ok {
		return
	}
	defer a.release()
	if !s.setPromptSize(w, &a, completion) {
		return
	}
	out := &eventStream{w: w, control: http.NewResponseController(w), start: a.start, profile: a.job.Profile.Name}
	_ = out.control.SetWriteDeadline(a.job.Deadline.Time().Add(writeGrace))
	stop := out.keepAlive()
	err := s.Prompts.Run(r.Context(), a.job, out.emit)
	stop()
	if err == nil {
		out.finish()
		slog.Debug("prompt answered", "request", a.job.ID, "bytes", out.sentBytes)
		return
	}
	reason, ran := flow.FailureOf(err)
	slog.Info("prompt failed", "request", a.job.ID, "reason", reason, "ran", ran, "error", err)
	if !out.started {
		s.fail(w, a.job.ID, reason, ran, err.Error())
		return
	}
	refusedCounter(reason).Inc()
	out.sendProblem(newProblem(a.job.ID, reason, ran, err.Error()))
}

// setPromptSize fills in the prompt and its token counts, and checks them against the profile. It answers the caller if it
// returns false.
func (s *Server) setPromptSize(w http.ResponseWriter, a *admittedRequest, completion wire.Completion) bool {
	a.job.Body = completion.Prompt
	a.job.PromptTokens = max(completion.PromptTokens, len(completion.Prompt)/bytesPerToken, 1)
	a.job.MaxOutputTokens = a.job.Profile.MaxOutputTokens
	if completion.MaxTokens > 0 {
		a.job.MaxOutputTokens = min(completion.MaxTokens, a.job.MaxOutputTokens)
	}
	if a.job.MaxOutputTokens == 0 || a.job.Profile.MaxPromptTokens == 0 {
		s.fail(w, a.job.ID, wire.ReasonBadRequest, wire.RanNo, "the profile is not for prompts; use "+wire.PathCalls)
		return false
	}
	if a.job.PromptTokens > a.job.Profile.MaxPromptTokens {
		s.fail(w, a.job.ID, wire.ReasonTokenLimit, wire.RanNo,
			"the prompt has about "+strconv.Itoa(a.job.PromptTokens)+" tokens, the profile allows "+strconv.Itoa(a.job.Profile.MaxPromptTokens))
		return false
	}
	return true
}

func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	var call wire.Call
	a, ok := s.admit(w, r, &call, func() string { return call.Profile })
	if !ok {
		return
	}
	defer a.release()
	a.job.IdempotencyKey, a.job.Body = r.Header.Get(wire.HeaderIdempotencyKey), call.Body
	if !s.checkCall(w, a.job) {
		return
	}
	result, err := s.Calls.Run(r.Context(), a.job)
	if err != nil {
		reason, ran := flow.FailureOf(err)
		slog.Info("call failed", "request", a.job.ID, "reason", reason, "ran", ran, "error", err)
		s.fail(w, a.job.ID, reason, ran, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(result)
}

// checkCall checks a call against its profile and service. It answers the caller if it returns false.
func (s *Server) checkCall(w http.ResponseWriter, job flow.Job) bool {
	cfg, _ := s.Config()
	service, _ := cfg.Service(job.Profile.Service)
	switch {
	case service.Kind != config.Plain:
		s.fail(w, job.ID, wire.ReasonBadRequest, wire.RanNo, "the profile is for prompts; use "+wire.PathCompletions)
	case job.IdempotencyKey == "" && !job.Profile.Idempotent:
		s.fail(w, job.ID, wire.ReasonMissingKey, wire.RanNo, "a call that may not be repeated needs the header "+wire.HeaderIdempotencyKey)
	case len(job.IdempotencyKey) > maxKeyBytes:
		s.fail(w, job.ID, wire.ReasonBadRequest, wire.RanNo, "the key is longer than "+strconv.Itoa(maxKeyBytes)+" bytes")
	default:
		return true
	}
	return false
}

// admit reads and checks a request, and counts it against the limits. It answers the caller if it returns false.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, request any, profile func() string) (admittedRequest, bool) {
	start := clock.Now()
	id := s.Self + "-" + s.Incarnation + "-" + strconv.FormatUint(s.lastRequest.Add(1), 36)
	w.Header().Set(wire.HeaderRequestID, id)
	if reason, unavailable := s.Unavailable(); unavailable {
		s.fail(w, id, reason, wire.RanNo, "this instance takes no requests now")
		return admittedRequest{}, false
	}
	releaseBody, ok := s.readBody(w, r, id, request)
	if !ok {
		return admittedRequest{}, false
	}
	cfg, _ := s.Config()
	p, known := cfg.Profile(profile())
	if !known {
		releaseBody()
		s.fail(w, id, wire.ReasonUnknownProfile, wire.RanNo, "no profile named "+strconv.Quote(profile()))
		return admittedRequest{}, false
	}
	customer, known := cfg.Customer(r.Header.Get(wire.HeaderCustomer))
	if !known {
		releaseBody()
		s.fail(w, id, wire.ReasonUnknownCustomer, wire.RanNo, "the header "+wire.HeaderCustomer+" names no customer")
		return admittedRequest{}, false
	}
	releaseLimits, reason := s.acquireLimits(p, customer)
	if releaseLimits == nil {
		releaseBody()
		s.fail(w, id, reason, wire.RanNo, "too many requests at once")
		return admittedRequest{}, false
	}
	job := flow.Job{ID: id, Customer: customer, Profile: p, Deadline: start + p.Deadline}
	return admittedRequest{job: job, start: start, release: func() { releaseLimits(); releaseBody() }}, true
}

// acquireLimits counts a request against the limits of its customer and profile. It returns a function to undo that, or
// nil and the reason if a limit is reached.
func (s *Server) acquireLimits(p config.Profile, c config.Customer) (func(), wire.Reason) {
	instances := len(s.View().Live())
	byCustomer, byProfile := "customer/"+c.Name, "profile/"+p.Name
	if !s.limits.acquire(byCustomer, c.MaxConcurrent, instances) {
		return nil, wire.ReasonCustomerLimit
	}
	if !s.limits.acquire(byProfile, p.MaxConcurrent, instances) {
		s.limits.release(byCustomer)
		return nil, wire.ReasonProfileLimit
	}
	return func() {
		s.limits.release(byCustomer)
		s.limits.release(byProfile)
	}, ""
}

// readBody decodes the body within the limits on its size, memory and time. It returns a function that releases the
// memory, or answers the caller if it returns false.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, id string, request any) (func(), bool) {
	if r.ContentLength > maxBodyBytes {
		s.fail(w, id, wire.ReasonTooLarge, wire.RanNo, "the body is over "+strconv.Itoa(maxBodyBytes)+" bytes")
		return nil, false
	}
	reader := s.bodyBudget.Reader(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyReadTimeout))
	var body bytes.Buffer
	if _, err := body.ReadFrom(reader); err != nil {
		reader.Release()
		s.fail(w, id, bodyErrorReason(err), wire.RanNo, "the body could not be read")
		return nil, false
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	decoder := json.NewDecoder(&body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(request); err != nil {
		reader.Release()
		s.fail(w, id, wire.ReasonBadRequest, wire.RanNo, "the body is not the documented JSON: "+err.Error())
		return nil, false
	}
	if _, err := decoder.Token(); err != io.EOF {
		reader.Release()
		s.fail(w, id, wire.ReasonBadRequest, wire.RanNo, "the body holds more than one JSON value")
		return nil, false
	}
	return reader.Release, true
}

// bodyErrorReason returns the reason to give for a failed read of a body.
func bodyErrorReason(err error) wire.Reason {
	var large *http.MaxBytesError
	switch {
	case eris.As(err, &large):
		return wire.ReasonTooLarge
	case eris.Is(err, limit.ErrNoMemory):
		return wire.ReasonEntryMemory
	default:
		return wire.ReasonBadRequest
	}
}

// fail answers with a problem document and counts the failure under its reason.
func (s *Server) fail(w http.ResponseWriter, id string, reason wire.Reason, ran wire.Ran, detail string) {
	refusedCounter(reason).Inc()
	p := newProblem(id, reason, ran, detail)
	w.Header().Set("Content-Type", wire.ContentTypeProblem)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func newProblem(id string, reason wire.Reason, ran wire.Ran, detail string) wire.Problem {
	return wire.Problem{
		Type: "about:blank", Title: string(reason), Status: reason.Status(),
		Detail: detail, Ran: ran, Reason: reason, Request: id,
	}
}

func refusedCounter(reason wire.Reason) *metrics.Counter {
	return metrics.GetOrCreateCounter(`pier_refused_total{reason="` + string(reason) + `"}`)
}
