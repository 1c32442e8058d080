// Package result defines the numbered result codes that are reported to callers,
// operators and peers, and the outcome of the request that each code asserts.
//
// The table of codes is published in docs/RESULT-CODES.md; a test compares the page
// with this package.
package result

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome states what is known about the execution of a request.
type Outcome uint8

// Outcomes of a request.
const (
	// Done means that the target executed the request and the complete answer was received.
	Done Outcome = iota + 1
	// NotRun means that the request was certainly not executed by any target.
	NotRun
	// Unknown means that the request may or may not have been executed.
	Unknown
)

// String returns the outcome as it appears in the Basiltally-Outcome header.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	default:
		return fmt.Sprintf("outcome(%d)", uint8(o))
	}
}

// Code is a numbered result code. Codes 1000 to 1999 mean that the request was refused
// before execution, 2000 to 2999 that its outcome is unknown; 3000 to 3999 concern
// operators' commands and the configuration.
type Code uint16

// Info describes a code: its name, the outcome it asserts and the HTTP status
// with which an entry reports it.
type Info struct {
	Code       Code
	Name       string
	Outcome    Outcome
	HTTPStatus int
	Meaning    string
}

// Result codes.
const (
	OK Code = 0

	BadRequest       Code = 1001
	UnknownTenant    Code = 1002
	UnknownClass     Code = 1003
	BodyTooLarge     Code = 1004
	MissingIDKey     Code = 1005
	DeadlineTooShort Code = 1006
	HeaderTimeout    Code = 1007
	PipeliningLimit  Code = 1008

	RateLimited   Code = 1101
	QueueFull     Code = 1102
	QueueDeadline Code = 1103
	EntryDraining Code = 1104
	TargetShed    Code = 1105
	NoCapacity    Code = 1106
	LinkBudget    Code = 1107

	NoOwner          Code = 1201
	StaleOwner       Code = 1202
	NoTarget         Code = 1203
	ConnectFailed    Code = 1204
	TargetLeaving    Code = 1205
	Evacuated        Code = 1206
	RegionNotAllowed Code = 1207

	ClaimStoreDown Code = 1301
	ClaimMismatch  Code = 1302
	Quarantined    Code = 1401
	ConfigStale    Code = 1501

	TargetTimeout   Code = 2001
	TargetLost      Code = 2002
	ShortBody       Code = 2003
	AnswerMismatch  Code = 2004
	ClaimInDoubt    Code = 2101
	ClaimInProgress Code = 2102
	AnswerDiscarded Code = 2103
	CallerGone      Code = 2104

	VersionConflict    Code = 3001
	StoreUnavailable   Code = 3002
	InvalidSettings    Code = 3003
	InvalidBundle      Code = 3004
	BadSignature       Code = 3005
	NotAuthorised      Code = 3006
	UnknownObject      Code = 3007
	ConfirmationNeeded Code = 3008
	OperationUnknown   Code = 3009
	Internal           Code = 3999
)

var table = []Info{
	{OK, "ok", Done, http.StatusOK, "The target executed the request; the answer is whole."},

	{BadRequest, "bad-request", NotRun, http.StatusBadRequest, "The request is malformed."},
	{UnknownTenant, "unknown-tenant", NotRun, http.StatusNotFound, "No tenant of this name is configured."},
	{UnknownClass, "unknown-class", NotRun, http.StatusNotFound, "The path matches no class of the tenant."},
	{BodyTooLarge, "body-too-large", NotRun, http.StatusRequestEntityTooLarge, "The request body exceeds the limit of its class."},
	{MissingIDKey, "missing-idempotency-key", NotRun, http.StatusBadRequest, "An at-most-once request has no Idempotency-Key header."},
	{DeadlineTooShort, "deadline-too-short", NotRun, http.StatusGatewayTimeout, "The caller's deadline had passed before dispatch."},
	{HeaderTimeout, "header-timeout", NotRun, http.StatusRequestTimeout, "The request header did not arrive within its deadline."},
	{PipeliningLimit, "pipelining-limit", NotRun, http.StatusTooManyRequests, "Too many requests are pipelined on the connection."},

	{RateLimited, "rate-limited", NotRun, http.StatusTooManyRequests, "The tenant's or class's rate limit is reached."},
	{QueueFull, "queue-full", NotRun, http.StatusServiceUnavailable, "The queue of the class is full."},
	{QueueDeadline, "queue-deadline", NotRun, http.StatusServiceUnavailable, "The request could not be started before its deadline."},
	{EntryDraining, "entry-draining", NotRun, http.StatusServiceUnavailable, "This entry is stopping and takes no new requests."},
	{TargetShed, "target-shed", NotRun, http.StatusServiceUnavailable, "The target refused the request before executing it."},
	{NoCapacity, "no-capacity", NotRun, http.StatusServiceUnavailable, "No slot of an entitled target is free."},
	{LinkBudget, "link-budget", NotRun, http.StatusServiceUnavailable, "The budget of the link between regions is spent."},

	{NoOwner, "no-owner", NotRun, http.StatusServiceUnavailable, "No target owns the key at this moment."},
	{StaleOwner, "stale-owner", NotRun, http.StatusServiceUnavailable, "The target refused the request because it does not own the key."},
	{NoTarget, "no-target", NotRun, http.StatusServiceUnavailable, "The pool has no healthy target."},
	{ConnectFailed, "connect-failed", NotRun, http.StatusBadGateway, "No connection to the target could be opened; no byte was sent."},
	{TargetLeaving, "target-leaving", NotRun, http.StatusServiceUnavailable, "The target is draining and refused the request."},
	{Evacuated, "evacuated", NotRun, http.StatusServiceUnavailable, "The targets that could serve the request are in data centres that are being evacuated."},
	{RegionNotAllowed, "region-not-allowed", NotRun, http.StatusServiceUnavailable, "No target that could serve the request is in a region that is allowed for it."},

	{ClaimStoreDown, "claim-store-down", NotRun, http.StatusServiceUnavailable, "The idempotency claim could not be made durable."},
	{ClaimMismatch, "claim-mismatch", NotRun, http.StatusUnprocessableEntity, "The idempotency key was used for a different request."},
	{Quarantined, "quarantined", NotRun, http.StatusServiceUnavailable, "Earlier runs of this request crashed targets; it is refused for a time."},
	{ConfigStale, "config-stale", NotRun, http.StatusServiceUnavailable, "This process has no configuration bundle in force."},

	{TargetTimeout, "target-timeout", Unknown, http.StatusGatewayTimeout, "The target did not answer before the deadline."},
	{TargetLost, "target-lost", Unknown, http.StatusBadGateway, "The connection to the target broke after the request may have been sent."},
	{ShortBody, "short-body", Unknown, http.StatusBadGateway, "The target's answer ended before its stated length."},
	{AnswerMismatch, "answer-mismatch", Unknown, http.StatusBadGateway, "The answer is invalid or carried another request's correlation id."},
	{ClaimInDoubt, "claim-in-doubt", Unknown, http.StatusConflict, "The idempotency key was claimed earlier and its outcome was not recorded."},
	{ClaimInProgress, "claim-in-progress", Unknown, http.StatusConflict, "A request with this idempotency key is being executed."},
	{AnswerDiscarded, "answer-discarded", Unknown, http.StatusBadGateway, "The answer came from a superseded owner and was dropped."},
	{CallerGone, "caller-gone", Unknown, http.StatusBadGateway, "The caller's connection closed before the answer was complete."},

	{VersionConflict, "version-conflict", NotRun, http.StatusConflict, "The object changed meanwhile; the current version is reported."},
	{StoreUnavailable, "store-unavailable", NotRun, http.StatusServiceUnavailable, "The object API did not accept the write; nothing was changed."},
	{InvalidSettings, "invalid-settings", NotRun, http.StatusBadRequest, "A settings file has errors."},
	{InvalidBundle, "invalid-bundle", NotRun, http.StatusBadRequest, "A configuration bundle has errors."},
	{BadSignature, "bad-signature", NotRun, http.StatusForbidden, "A bundle lacks the required sign-offs."},
	{NotAuthorised, "not-authorised", NotRun, http.StatusForbidden, "The peer or operator is not authorised."},
	{UnknownObject, "unknown-object", NotRun, http.StatusNotFound, "The named object does not exist."},
	{ConfirmationNeeded, "confirmation-needed", NotRun, http.StatusPreconditionRequired, "The command needs an explicit confirmation."},
	{OperationUnknown, "operation-unknown", Unknown, http.StatusGatewayTimeout, "The command may have taken effect; check before repeating it."},
	{Internal, "internal", Unknown, http.StatusInternalServerError, "An internal error occurred."},
}

var byCode = func() map[Code]Info {
	m := make(map[Code]Info, len(table))
	for _, info := range table {
		m[info.Code] = info
	}
	return m
}()

// All returns the table of codes in ascending order.
func All() []Info { return append([]Info(nil), table...) }

// Describe returns the Info of c, or that of Internal if c is not in the table.
func Describe(c Code) Info {
	if info, ok := byCode[c]; ok {
		return info
	}
	return byCode[Internal]
}

// String returns the number and the name of c, e.g. "1201 no-owner".
func (c Code) String() string { return fmt.Sprintf("%d %s", uint16(c), Describe(c).Name) }

// Error is a refusal or failure with its code.
type Error struct {
	Code Code
	// Detail describes what failed, for people to read; may be empty.
	Detail string
	// RetryAfter is the time after which a retry may succeed; zero means unknown.
	RetryAfter time.Duration
	// Cause is the underlying error; may be nil.
	Cause error
}

// New returns an Error with the code and a formatted detail.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error with the code, the cause and a formatted detail.
func Wrap(c Code, cause error, format string, args ...any) *Error {
	return &Error{Code: c, Detail: fmt.Sprintf(format, args...), Cause: cause}
}

// Error implements error: it returns the code, the detail and the cause.
func (e *Error) Error() string {
	s := e.Code.String()
	if e.Detail != "" {
		s += ": " + e.Detail
	}
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Cause }

// Outcome returns the outcome that the code asserts.
func (e *Error) Outcome() Outcome { return Describe(e.Code).Outcome }
