package front

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"

	"github.com/corianderpier/corianderpier/internal/clock"
	"github.com/corianderpier/corianderpier/internal/config"
	"github.com/corianderpier/corianderpier/internal/flow"
	"github.com/corianderpier/corianderpier/internal/member"
	"github.com/corianderpier/corianderpier/pkg/wire"
)

// Keep is how long callers may keep an answer to the address question.
const Keep = 3 * clock.Second

const (
	maxAddresses  = 8
	maxBody       = 20 << 20  // bytes of one request
	maxBodies     = 512 << 20 // bytes of all requests in progress
	maxKey        = 256       // bytes of an idempotency key
	bytesPerToken = 4         // of a prompt, about
	bodyTime      = 15 * time.Second
	waitPeriod    = 20 * time.Millisecond
	writeGrace    = 400 * time.Millisecond // past the deadline, for the last bytes
)

// Front answers callers.
type Front struct {
	Self        string
	View        func() member.View
	Config      func() (config.Config, uint64)
	Refuse      func() (wire.Reason, bool) // why no request is taken now, if so
	Prompts     *flow.Prompts
	Calls       *flow.Calls
	Incarnation string // makes request ids unique

	limits  limits
	bodies  bytesBudget
	serial  atomic.Uint64
	running atomic.Int64
}

// Handler returns the caller interface.
func (f *Front) Handler() http.Handler {
	f.bodies.max = maxBodies
	for _, reason := range wire.Reasons() {
		refused(reason)
	}
	metrics.GetOrCreateGauge("pier_requests_active", func() float64 { return float64(f.running.Load()) })
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire.PathAddresses, f.addresses)
	mux.HandleFunc("POST "+wire.PathCompletions, f.counted(f.complete))
	mux.HandleFunc("POST "+wire.PathCalls, f.counted(f.call))
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		f.fail(w, "", wire.ReasonBadRequest, wire.RanNo, "no such path or method: "+r.Method+" "+r.URL.Path)
	})
	return mux
}

// Wait returns once no request is in progress.
func (f *Front) Wait(ctx context.Context) error {
	ticker := time.NewTicker(waitPeriod)
	defer ticker.Stop()
	for f.Active() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Active returns how many requests are in progress.
func (f *Front) Active() int { return int(f.running.Load()) }

func (f *Front) addresses(w http.ResponseWriter, r *http.Request) {
	if reason, no := f.Refuse(); no && reason != wire.ReasonDraining {
		// What it knows of the others is no better than what the caller has.
		f.fail(w, "", reason, wire.RanNo, "this instance does not know which instances serve")
		return
	}
	zone := r.URL.Query().Get("zone")
	_, version := f.Config()
	answer := wire.Addresses{KeepMillis: int64(Keep), ConfigVersion: version, Addresses: []wire.Address{}}
	var near, far []wire.Address
	for _, m := range f.View().Live() {
		address := wire.Address{Name: m.Name, Zone: m.Zone, Addr: m.Addr}
		if m.State == member.Suspect {
			continue
		}
		if m.Zone == zone {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
	}
	shuffle(near)
	shuffle(far)
	near = append(near, far...)
	answer.Addresses = append(answer.Addresses, near[:min(len(near), maxAddresses)]...)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

func shuffle(a []wire.Address) {
	rand.Shuffle(len(a), func(i, j int) { a[i], a[j] = a[j], a[i] })
}

// counted keeps the instance from ending while a request is in progress.
func (f *Front) counted(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f.running.Add(1)
		defer f.running.Add(-1)
		h(w, r)
	}
}

// admitted is a checked request and what it holds.
type admitted struct {
	job   flow.Job
	start clock.Millis
	leave func()
}

func (f *Front) complete(w http.ResponseWriter, r *http.Request) {
	var ask wire.Completion
	a, ok := f.admit(w, r, &ask, func() string { return ask.Profile })
	if !ok {
		return
	}
	defer a.leave()
	if !f.sizes(w, &a, ask) {
		return
	}
	out := &stream{w: w, control: http.NewResponseController(w), start: a.start, profile: a.job.Profile.Name}
	_ = out.control.SetWriteDeadline(a.job.Deadline.Time().Add(writeGrace))
	stop := out.keepAlive()
	err := f.Prompts.Run(r.Context(), a.job, out.emit)
	stop()
	if err == nil {
		out.end()
		slog.Debug("prompt answered", "request", a.job.ID, "bytes", out.sent)
		return
	}
	reason, ran := flow.Fault(err)
	slog.Info("prompt failed", "request", a.job.ID, "reason", reason, "ran", ran, "error", err)
	if !out.begun {
		f.fail(w, a.job.ID, reason, ran, err.Error())
		return
	}
	refused(reason).Inc()
	out.fail(problem(a.job.ID, reason, ran, err.Error()))
}

// sizes counts the tokens of a prompt and checks them against the profile.
func (f *Front) sizes(w http.ResponseWriter, a *admitted, ask wire.Completion) bool {
	a.job.Body = ask.Prompt
	a.job.Tokens = max(ask.PromptTokens, len(ask.Prompt)/bytesPerToken, 1)
	a.job.Output = a.job.Profile.MaxOutput
	if ask.MaxTokens > 0 {
		a.job.Output = min(ask.MaxTokens, a.job.Output)
	}
	if a.job.Output == 0 || a.job.Profile.MaxPrompt == 0 {
		f.fail(w, a.job.ID, wire.ReasonBadRequest, wire.RanNo, "the profile is not for prompts; use "+wire.PathCalls)
		return false
	}
	if a.job.Tokens > a.job.Profile.MaxPrompt {
		f.fail(w, a.job.ID, wire.ReasonTokenLimit, wire.RanNo,
			"the prompt has about "+strconv.Itoa(a.job.Tokens)+" tokens, the profile allows "+strconv.Itoa(a.job.Profile.MaxPrompt))
		return false
	}
	return true
}

func (f *Front) call(w http.ResponseWriter, r *http.Request) {
	var ask wire.Call
	a, ok := f.admit(w, r, &ask, func() string { return ask.Profile })
	if !ok {
		return
	}
	defer a.leave()
	a.job.Key, a.job.Body = r.Header.Get(wire.HeaderIdempotencyKey), ask.Body
	if !f.callable(w, a.job) {
		return
	}
	result, err := f.Calls.Run(r.Context(), a.job)
	if err != nil {
		reason, ran := flow.Fault(err)
		slog.Info("call failed", "request", a.job.ID, "reason", reason, "ran", ran, "error", err)
		f.fail(w, a.job.ID, reason, ran, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(result)
}

func (f *Front) callable(w http.ResponseWriter, job flow.Job) bool {
	cfg, _ := f.Config()
	service, _ := cfg.Service(job.Profile.Service)
	switch {
	case service.Kind != config.Plain:
		f.fail(w, job.ID, wire.ReasonBadRequest, wire.RanNo, "the profile is for prompts; use "+wire.PathCompletions)
	case job.Key == "" && !job.Profile.Idempotent:
		f.fail(w, job.ID, wire.ReasonMissingKey, wire.RanNo, "a call that may not be repeated needs the header "+wire.HeaderIdempotencyKey)
	case len(job.Key) > maxKey:
		f.fail(w, job.ID, wire.ReasonBadRequest, wire.RanNo, "the key is longer than "+strconv.Itoa(maxKey)+" bytes")
	default:
		return true
	}
	return false
}

// admit reads and checks a request; it answers the caller itself when the request is refused.
func (f *Front) admit(w http.ResponseWriter, r *http.Request, ask any, profile func() string) (admitted, bool) {
	start := clock.Now()
	id := f.Self + "-" + f.Incarnation + "-" + strconv.FormatUint(f.serial.Add(1), 36)
	w.Header().Set(wire.HeaderRequestID, id)
	if reason, no := f.Refuse(); no {
		f.fail(w, id, reason, wire.RanNo, "this instance takes no requests now")
		return admitted{}, false
	}
	giveBody, ok := f.read(w, r, id, ask)
	if !ok {
		return admitted{}, false
	}
	cfg, _ := f.Config()
	p, known := cfg.Profile(profile())
	if !known {
		giveBody()
		f.fail(w, id, wire.ReasonUnknownProfile, wire.RanNo, "no profile named "+strconv.Quote(profile()))
		return admitted{}, false
	}
	customer, known := cfg.Customer(r.Header.Get(wire.HeaderCustomer))
	if !known {
		giveBody()
		f.fail(w, id, wire.ReasonUnknownCustomer, wire.RanNo, "the header "+wire.HeaderCustomer+" names no customer")
		return admitted{}, false
	}
	leave, reason := f.enter(p, customer)
	if leave == nil {
		giveBody()
		f.fail(w, id, reason, wire.RanNo, "too many requests at once")
		return admitted{}, false
	}
	job := flow.Job{ID: id, Customer: customer, Profile: p, Deadline: start + p.Deadline}
	return admitted{job: job, start: start, leave: func() { leave(); giveBody() }}, true
}

// enter counts a request against the limits of its customer and profile.
func (f *Front) enter(p config.Profile, c config.Customer) (func(), wire.Reason) {
	instances := len(f.View().Live())
	byCustomer, byProfile := "customer/"+c.Name, "profile/"+p.Name
	if !f.limits.enter(byCustomer, c.Limit, instances) {
		return nil, wire.ReasonCustomerLimit
	}
	if !f.limits.enter(byProfile, p.Limit, instances) {
		f.limits.leave(byCustomer)
		return nil, wire.ReasonProfileLimit
	}
	return func() {
		f.limits.leave(byCustomer)
		f.limits.leave(byProfile)
	}, ""
}

// read decodes the body within the memory and time allowed, and returns how to give the memory back.
func (f *Front) read(w http.ResponseWriter, r *http.Request, id string, ask any) (func(), bool) {
	if r.ContentLength > maxBody {
		f.fail(w, id, wire.ReasonTooLarge, wire.RanNo, "the body is over "+strconv.Itoa(maxBody)+" bytes")
		return nil, false
	}
	counted := &countedReader{from: http.MaxBytesReader(w, r.Body, maxBody), budget: &f.bodies}
	give := func() { f.bodies.give(counted.taken) }
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTime))
	var body bytes.Buffer
	if _, err := body.ReadFrom(counted); err != nil {
		give()
		f.fail(w, id, bodyReason(err), wire.RanNo, "the body could not be read")
		return nil, false
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	decoder := json.NewDecoder(&body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(ask); err != nil {
		give()
		f.fail(w, id, wire.ReasonBadRequest, wire.RanNo, "the body is not the documented JSON: "+err.Error())
		return nil, false
	}
	if _, err := decoder.Token(); err != io.EOF {
		give()
		f.fail(w, id, wire.ReasonBadRequest, wire.RanNo, "the body holds more than one JSON value")
		return nil, false
	}
	return give, true
}

func bodyReason(err error) wire.Reason {
	var large *http.MaxBytesError
	switch {
	case eris.As(err, &large):
		return wire.ReasonTooLarge
	case eris.Is(err, errNoMemory):
		return wire.ReasonEntryMemory
	default:
		return wire.ReasonBadRequest
	}
}

func (f *Front) fail(w http.ResponseWriter, id string, reason wire.Reason, ran wire.Ran, detail string) {
	refused(reason).Inc()
	p := problem(id, reason, ran, detail)
	w.Header().Set("Content-Type", wire.ContentTypeProblem)
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func problem(id string, reason wire.Reason, ran wire.Ran, detail string) wire.Problem {
	return wire.Problem{
		Type: "about:blank", Title: string(reason), Status: reason.Status(),
		Detail: detail, Ran: ran, Reason: reason, Request: id,
	}
}

func refused(reason wire.Reason) *metrics.Counter {
	return metrics.GetOrCreateCounter(`pier_refused_total{reason="` + string(reason) + `"}`)
}
