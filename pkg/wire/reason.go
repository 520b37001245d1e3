package wire

// Reason is the reason why a request failed. Each reason is also a label value of a counter.
type Reason string

// The reasons for failure. docs/API.md says what each means to a caller.
const (
	ReasonBadRequest      Reason = "bad_request"
	ReasonTooLarge        Reason = "too_large"
	ReasonUnknownProfile  Reason = "unknown_profile"
	ReasonUnknownCustomer Reason = "unknown_customer"
	ReasonMissingKey      Reason = "missing_key"
	ReasonKeyConflict     Reason = "key_conflict"
	ReasonTokenLimit      Reason = "token_limit"
	ReasonNeverFits       Reason = "never_fits"
	ReasonNoTarget        Reason = "no_target"
	ReasonOverload        Reason = "overload"
	ReasonCustomerLimit   Reason = "customer_limit"
	ReasonProfileLimit    Reason = "profile_limit"
	ReasonDeadline        Reason = "deadline"
	ReasonDraining        Reason = "draining"
	ReasonNotReady        Reason = "not_ready"
	ReasonIsolated        Reason = "isolated"
	ReasonTargetFailed    Reason = "target_failed"
	ReasonLogUnavailable  Reason = "log_unavailable"
	ReasonOutcomeLost     Reason = "outcome_lost"
	ReasonEntryMemory     Reason = "entry_memory"
	ReasonCallerGone      Reason = "caller_gone"
)

// Reasons returns all reasons, for documentation and counters.
func Reasons() []Reason {
	return []Reason{
		ReasonBadRequest, ReasonTooLarge, ReasonUnknownProfile, ReasonUnknownCustomer,
		ReasonMissingKey, ReasonKeyConflict, ReasonTokenLimit, ReasonNeverFits,
		ReasonNoTarget, ReasonOverload, ReasonCustomerLimit, ReasonProfileLimit,
		ReasonDeadline, ReasonDraining, ReasonNotReady, ReasonIsolated,
		ReasonTargetFailed, ReasonLogUnavailable, ReasonOutcomeLost, ReasonEntryMemory, ReasonCallerGone,
	}
}

// Status returns the HTTP status of a response with the reason.
func (r Reason) Status() int {
	switch r {
	case ReasonBadRequest, ReasonMissingKey, ReasonTokenLimit, ReasonNeverFits:
		return 400
	case ReasonUnknownCustomer:
		return 403
	case ReasonUnknownProfile:
		return 404
	case ReasonKeyConflict:
		return 409
	case ReasonTooLarge:
		return 413
	case ReasonCustomerLimit, ReasonProfileLimit, ReasonOverload:
		return 429
	case ReasonTargetFailed, ReasonOutcomeLost:
		return 502
	case ReasonDeadline:
		return 504
	default:
		return 503
	}
}
