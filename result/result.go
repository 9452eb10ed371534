// Package result defines how a router reports the outcome of a request to its caller. It maps
// each result code of the schema (v1.Code) to an HTTP status, to whether the caller may send the
// request again, and to a sentence that explains the code.
package result

import (
	"fmt"
	"net/http"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Names of the header and trailer fields that carry a result.
const (
	// HeaderCode carries the number and the name of the code, for instance "100 OK".
	HeaderCode = "Chiveseam-Code"
	// HeaderRan carries the name of a v1.Ran: NO, YES or UNKNOWN.
	HeaderRan = "Chiveseam-Ran"
)

// Result is the outcome of a request. It implements error.
type Result struct {
	Code v1.Code
	// Ran states whether a target executed the request.
	Ran v1.Ran
	// RetryAfter is the time after which the caller may send the request again; 0 means that
	// none is given.
	RetryAfter time.Duration
	// Detail describes the particular case, in addition to the code's sentence.
	Detail string
}

// New returns a result without a RetryAfter. The format and its arguments give the Detail.
func New(code v1.Code, ran v1.Ran, format string, args ...any) *Result {
	return &Result{Code: code, Ran: ran, Detail: fmt.Sprintf(format, args...)}
}

// Error implements error. It returns the code, whether the request ran, and the detail.
func (r *Result) Error() string {
	return fmt.Sprintf("%d %s (ran %s): %s", r.Code, r.Code, r.Ran, r.Detail)
}

// Complete reports whether the request ended with a complete answer of a target. The answer may
// have an error status or be the recorded one of an earlier request.
func (r *Result) Complete() bool {
	return r.Code == v1.Code_OK || r.Code == v1.Code_REPLAYED || r.Code == v1.Code_TARGET_ERROR
}

// HeaderValue returns the value of the header HeaderCode.
func (r *Result) HeaderValue() string {
	return fmt.Sprintf("%d %s", r.Code, r.Code)
}

// Status returns the HTTP status for an answer that the router itself generates.
func (r *Result) Status() int {
	return Describe(r.Code).Status
}

// Description tells what a result code means for the caller.
type Description struct {
	// Status is the HTTP status of an answer that the router itself generates.
	Status int
	// Retryable is set if the caller may send the request again later. If the request may have
	// run, that needs a request key, which keeps it from being executed twice.
	Retryable bool
	// Sentence explains the code to the caller.
	Sentence string
}

// Describe returns the description of code. A code that is not in the schema gets the description
// of INTERNAL.
func Describe(code v1.Code) Description {
	if d, ok := descriptions[code]; ok {
		return d
	}
	return descriptions[v1.Code_INTERNAL]
}

// descriptions has an entry for every code of the schema.
var descriptions = map[v1.Code]Description{
	v1.Code_CODE_UNSPECIFIED:      {http.StatusInternalServerError, false, "No code was set."},
	v1.Code_OK:                    {http.StatusOK, false, "The whole answer of the target follows."},
	v1.Code_REPLAYED:              {http.StatusOK, false, "The recorded answer of an earlier request with the same key follows."},
	v1.Code_TARGET_ERROR:          {http.StatusBadGateway, false, "The target answered in full with an error status of its own."},
	v1.Code_BAD_REQUEST:           {http.StatusBadRequest, false, "The request is malformed."},
	v1.Code_UNKNOWN_TOKEN:         {http.StatusUnauthorized, false, "The bearer token belongs to no workspace."},
	v1.Code_UNKNOWN_POOL:          {http.StatusNotFound, false, "The model or service does not exist."},
	v1.Code_BODY_TOO_LARGE:        {http.StatusRequestEntityTooLarge, false, "The body is over the limit."},
	v1.Code_NOT_ALLOWED:           {http.StatusForbidden, false, "The workspace may not use the model or service."},
	v1.Code_KEY_MISMATCH:          {http.StatusUnprocessableEntity, false, "The key was used before with a different request."},
	v1.Code_KEY_EXPIRED:           {http.StatusGone, false, "The request key is past its lifetime."},
	v1.Code_QUARANTINED:           {http.StatusUnprocessableEntity, false, "Targets were lost while they executed the same request."},
	v1.Code_QUEUE_FULL:            {http.StatusTooManyRequests, true, "The workspace has too many requests waiting."},
	v1.Code_WAIT_EXCEEDS_DEADLINE: {http.StatusServiceUnavailable, true, "The expected wait passes the deadline."},
	v1.Code_DEADLINE_EXCEEDED:     {http.StatusGatewayTimeout, true, "The deadline passed before the request could run."},
	v1.Code_NO_TARGET:             {http.StatusServiceUnavailable, true, "No target that may serve the request can be reached."},
	v1.Code_ROUTER_BUSY:           {http.StatusServiceUnavailable, true, "The router is at a limit of its own."},
	v1.Code_STOPPING:              {http.StatusServiceUnavailable, true, "The router is stopping; another one serves."},
	v1.Code_NOT_READY:             {http.StatusServiceUnavailable, true, "The router has no accepted configuration yet."},
	v1.Code_RETRY_BUDGET_EXHAUSTED: {http.StatusServiceUnavailable, true,
		"Attempts failed and the retry budget allows no further one."},
	v1.Code_TARGET_LOST:           {http.StatusBadGateway, true, "The connection to the target was lost after the request was sent."},
	v1.Code_TARGET_TIMEOUT:        {http.StatusGatewayTimeout, true, "The target did not answer in time."},
	v1.Code_CANCELLED:             {statusClientClosedRequest, false, "The caller went away."},
	v1.Code_ANSWER_TRUNCATED:      {http.StatusBadGateway, true, "The target's answer ended short."},
	v1.Code_KEY_IN_PROGRESS:       {http.StatusConflict, true, "The first request with the key is still in progress."},
	v1.Code_KEY_OWNER_UNREACHABLE: {http.StatusServiceUnavailable, true, "The router that may execute the key does not answer."},
	v1.Code_KEY_HISTORY_UNKNOWN:   {http.StatusServiceUnavailable, true, "An earlier owner of the key may have executed it."},
	v1.Code_KEY_RIGHT_LAPSED:      {http.StatusServiceUnavailable, true, "The platform has not confirmed the owner of the key for too long."},
	v1.Code_KEY_OUTCOME_UNKNOWN:   {http.StatusBadGateway, false, "An earlier request with the key ended without a recorded answer."},
	v1.Code_INTERNAL:              {http.StatusInternalServerError, true, "The router failed."},
}

// statusClientClosedRequest is the non-standard status that nginx introduced for a client that
// closed its connection. It is not sent to any caller.
const statusClientClosedRequest = 499
