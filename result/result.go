// Package result gives each result code its meaning towards callers: the HTTP
// status, whether coming back makes sense, and a sentence. The codes
// themselves are numbered in the schema.
package result

import (
	"fmt"
	"net/http"
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Names of the headers and trailers that carry a result.
const (
	// HeaderCode carries the number and name of the code, for instance "100 OK".
	HeaderCode = "Chiveseam-Code"
	// HeaderRan carries NO, YES or UNKNOWN.
	HeaderRan = "Chiveseam-Ran"
)

// Result is how a request ended. It implements error.
type Result struct {
	Code v1.Code
	Ran  v1.Ran
	// RetryAfter is when coming back makes sense; zero means not stated.
	RetryAfter time.Duration
	// Detail adds what was found to the code's sentence.
	Detail string
}

// New returns a result without a time to come back.
func New(code v1.Code, ran v1.Ran, format string, args ...any) *Result {
	return &Result{Code: code, Ran: ran, Detail: fmt.Sprintf(format, args...)}
}

// Error returns the code, whether the request ran, and the detail.
func (r *Result) Error() string {
	return fmt.Sprintf("%d %s (ran %s): %s", r.Code, r.Code, r.Ran, r.Detail)
}

// OK reports whether the target answered in full.
func (r *Result) OK() bool {
	return r.Code == v1.Code_OK || r.Code == v1.Code_REPLAYED || r.Code == v1.Code_TARGET_ERROR
}

// HeaderValue returns the value of HeaderCode.
func (r *Result) HeaderValue() string {
	return fmt.Sprintf("%d %s", r.Code, r.Code)
}

// Status returns the HTTP status of a final answer made by the router.
func (r *Result) Status() int {
	return Describe(r.Code).Status
}

// Description is the meaning of a code.
type Description struct {
	// Status is the HTTP status of an answer made by the router.
	Status int
	// Retryable is set when the caller may send the request again later. A
	// request that may have run needs a request key for that.
	Retryable bool
	// Sentence explains the code to a caller.
	Sentence string
}

// Describe returns the meaning of code. A code that is not in the schema is
// described as INTERNAL.
func Describe(code v1.Code) Description {
	if d, ok := descriptions[code]; ok {
		return d
	}
	return descriptions[v1.Code_INTERNAL]
}

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

// statusClientClosedRequest is the customary status for a caller that closed
// its connection; no caller sees it.
const statusClientClosedRequest = 499
