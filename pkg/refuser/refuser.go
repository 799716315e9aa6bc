// Package refuser defines the refusals of lagoonpass: the reason why a request
// was refused or failed, and the outcome, which says whether it may have run.
//
// # Usage
//
// A node creates a refusal and sends it as JSON. A client decodes it and
// decides by its outcome whether the request may be retried:
//
//	rf := refuser.New(refuser.QueueFull, "queue of model %q is full", name)
//	rf = rf.WithRetryAfter(time.Second)
//	body := refuser.Encode(rf)
//
// The set of reasons is closed: a node never sends a reason that is not in
// Reasons.
package refuser

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome says whether a request without an answer may have run.
type Outcome string

// The outcomes of a request without an answer.
const (
	// NotRun guarantees that no backend server ran the request or will run it.
	NotRun Outcome = "not-run"
	// Unknown means that a backend server may have run the request.
	Unknown Outcome = "unknown"
)

// Reason is the cause of a refusal, in kebab case.
type Reason string

// The reasons; the set is closed.
const (
	NoCredentials       Reason = "no-credentials"
	BadCredentials      Reason = "bad-credentials"
	Forbidden           Reason = "forbidden"
	Malformed           Reason = "malformed"
	TooLarge            Reason = "too-large"
	UnknownModel        Reason = "unknown-model"
	UnknownAdapter      Reason = "unknown-adapter"
	UnknownService      Reason = "unknown-service"
	UnknownClass        Reason = "unknown-class"
	UnknownJob          Reason = "unknown-job"
	NotFound            Reason = "not-found"
	NotConfigured       Reason = "not-configured"
	RevisionBehind      Reason = "revision-behind"
	Quota               Reason = "quota"
	QueueFull           Reason = "queue-full"
	QueueBytes          Reason = "queue-bytes"
	DeadlineUnreachable Reason = "deadline-unreachable"
	DeadlinePassed      Reason = "deadline-passed"
	NoWorker            Reason = "no-worker"
	BackendUnreachable  Reason = "backend-unreachable"
	PathLost            Reason = "path-lost"
	BackendRefused      Reason = "backend-refused"
	BackendFailed       Reason = "backend-failed"
	BackendSilent       Reason = "backend-silent"
	StreamBroken        Reason = "stream-broken"
	VersionGone         Reason = "version-gone"
	VersionUnknown      Reason = "version-unknown"
	RetryBudget         Reason = "retry-budget"
	ContentExcluded     Reason = "content-excluded"
	KeyMissing          Reason = "key-missing"
	KeyUntimed          Reason = "key-untimed"
	KeyExpired          Reason = "key-expired"
	KeyConflict         Reason = "key-conflict"
	KeyInProgress       Reason = "key-in-progress"
	KeyUnresolved       Reason = "key-unresolved"
	KeyResultGone       Reason = "key-result-gone"
	RecordFull          Reason = "record-full"
	StoreUnavailable    Reason = "store-unavailable"
	OwnerUnreachable    Reason = "owner-unreachable"
	Removed             Reason = "removed"
	Cancelled           Reason = "cancelled"
	Leaving             Reason = "leaving"
	Internal            Reason = "internal"
)

// statuses maps each reason to its HTTP status. Its keys are the closed set of
// reasons.
var statuses = map[Reason]int{
	NoCredentials:       http.StatusUnauthorized,
	BadCredentials:      http.StatusUnauthorized,
	Forbidden:           http.StatusForbidden,
	Malformed:           http.StatusBadRequest,
	TooLarge:            http.StatusRequestEntityTooLarge,
	UnknownModel:        http.StatusNotFound,
	UnknownAdapter:      http.StatusNotFound,
	UnknownService:      http.StatusNotFound,
	UnknownClass:        http.StatusBadRequest,
	UnknownJob:          http.StatusNotFound,
	NotFound:            http.StatusNotFound,
	NotConfigured:       http.StatusServiceUnavailable,
	RevisionBehind:      http.StatusServiceUnavailable,
	Quota:               http.StatusTooManyRequests,
	QueueFull:           http.StatusTooManyRequests,
	QueueBytes:          http.StatusTooManyRequests,
	DeadlineUnreachable: http.StatusTooManyRequests,
	DeadlinePassed:      http.StatusGatewayTimeout,
	NoWorker:            http.StatusServiceUnavailable,
	BackendUnreachable:  http.StatusBadGateway,
	PathLost:            http.StatusBadGateway,
	BackendRefused:      http.StatusBadGateway,
	BackendFailed:       http.StatusBadGateway,
	BackendSilent:       http.StatusGatewayTimeout,
	StreamBroken:        http.StatusBadGateway,
	VersionGone:         http.StatusServiceUnavailable,
	VersionUnknown:      http.StatusServiceUnavailable,
	ContentExcluded:     http.StatusServiceUnavailable,
	RetryBudget:         http.StatusServiceUnavailable,
	KeyMissing:          http.StatusBadRequest,
	KeyUntimed:          http.StatusBadRequest,
	KeyExpired:          http.StatusGone,
	KeyConflict:         http.StatusUnprocessableEntity,
	KeyInProgress:       http.StatusConflict,
	KeyUnresolved:       http.StatusConflict,
	KeyResultGone:       http.StatusConflict,
	RecordFull:          http.StatusServiceUnavailable,
	StoreUnavailable:    http.StatusServiceUnavailable,
	OwnerUnreachable:    http.StatusServiceUnavailable,
	Removed:             http.StatusNotFound,
	Cancelled:           http.StatusConflict,
	Leaving:             http.StatusServiceUnavailable,
	Internal:            http.StatusInternalServerError,
}

// Reasons returns all reasons, in no particular order.
func Reasons() []Reason {
	rs := make([]Reason, 0, len(statuses))
	for rn := range statuses {
		rs = append(rs, rn)
	}
	return rs
}

// Refusal is the error that a caller gets in place of an answer. It is
// immutable.
type Refusal struct {
	reason     Reason
	outcome    Outcome
	message    string
	retryAfter time.Duration
}

// New returns a refusal with the outcome NotRun and a formatted message.
func New(rs Reason, format string, args ...any) *Refusal {
	return &Refusal{reason: rs, outcome: NotRun, message: fmt.Sprintf(format, args...)}
}

// WithOutcome returns a copy of the refusal with the given outcome.
func (rf *Refusal) WithOutcome(oc Outcome) *Refusal {
	cp := *rf
	cp.outcome = oc
	return &cp
}

// WithRetryAfter returns a copy of the refusal that asks the caller to wait for
// dn before a retry.
func (rf *Refusal) WithRetryAfter(dn time.Duration) *Refusal {
	cp := *rf
	cp.retryAfter = dn
	return &cp
}

// Reason returns the reason.
func (rf *Refusal) Reason() Reason { return rf.reason }

// Outcome returns whether the request may have run.
func (rf *Refusal) Outcome() Outcome { return rf.outcome }

// Message returns the explanation in plain text, without reason and outcome.
func (rf *Refusal) Message() string { return rf.message }

// RetryAfter returns the time to wait before a retry. Zero means that a retry
// is useless.
func (rf *Refusal) RetryAfter() time.Duration { return rf.retryAfter }

// Status returns the HTTP status of the reason, or 500 if the reason is
// undefined.
func (rf *Refusal) Status() int {
	if st, ok := statuses[rf.reason]; ok {
		return st
	}
	return http.StatusInternalServerError
}

// Error implements error.
func (rf *Refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", rf.reason, rf.outcome, rf.message)
}
