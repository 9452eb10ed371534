package edge

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveseam/chiveseam/h1"
	"github.com/chiveseam/chiveseam/placement"
)

// Headers holds the names of the header fields that callers, routers and targets exchange. They
// depend on the platform; the platform package provides them.
type Headers struct {
	// RequestID identifies one try of a caller. Targets repeat it in their answers.
	RequestID string
	// Deadline is the number of milliseconds for which the sender waits for the answer.
	Deadline string
	// PromptParts lists the parts of a prompt as ID:TOKENS, separated by commas.
	PromptParts string
	// TokenUsage is the number of prompt tokens and the largest number of output tokens, separated
	// by a comma.
	TokenUsage string
	// Model is the name of the model.
	Model string
	// LengthHint is the caller's estimate of the number of output tokens.
	LengthHint string
	// LastEventID is the ID of the event after which a stream continues.
	LastEventID string
	// Resumes is the RequestID of the caller's try that brought the first event of the stream that
	// the request goes on with.
	Resumes string
	// Signature is present in each answer that a target created.
	Signature string
	// Workspace tells the target the workspace of the request.
	Workspace string
	// TargetID is the ID of the intended target. Other targets refuse the request.
	TargetID string
	// InstanceID is present in answers to status checks: the ID of the target.
	InstanceID string
	// FetchFrom is the address of another model engine, from whose KV cache the target fetches the
	// parts of the prompt that it lacks.
	FetchFrom string
	// NotRun is present in answers of targets that did not run the request.
	NotRun string
	// Leaving is present in answers of targets that leave, with the value 1: they want no new
	// requests.
	Leaving string
	// RateLimit is present in answers of targets in need: the number of requests per second that they
	// take from all routers together.
	RateLimit string
	// Load is present in answers of targets: the numbers of requests running and waiting, of slots,
	// and on some deployments the time that work takes on the target's machine, where 100 is usual,
	// separated by commas.
	Load string
	// EventFields are fields of the events of streams, in lowercase, besides those of server-sent events.
	EventFields []string
	// APIKey is the API key of the caller.
	APIKey string
	// Reserved lists fields that are removed from callers' requests.
	Reserved []string
}

// forwarded returns the fields of a caller's request that its target receives. Of those by which a stream goes on, the router
// reads the first ones: targets could go by others.
func (h *Headers) forwarded(fields h1.Header) h1.Header {
	out := fields.EndToEnd(h.describesRequest)
	kept := out[:0]
	for _, f := range out {
		if h.setByRouter(f.Name) || h.takesUp(f.Name) && kept.Count(f.Name) > 0 {
			continue
		}
		kept = append(kept, f)
	}
	return kept
}

// describesRequest reports whether a field describes the request. Such a field is forwarded even if
// the caller's Connection field names it.
func (h *Headers) describesRequest(name string) bool {
	for _, own := range []string{h.RequestID, h.PromptParts, h.TokenUsage, h.Model, h.LengthHint, h.LastEventID, h.Resumes, "Host"} {
		if strings.EqualFold(name, own) {
			return true
		}
	}
	return false
}

// takesUp reports whether a field says which stream a request goes on with.
func (h *Headers) takesUp(name string) bool {
	return strings.EqualFold(name, h.LastEventID) || strings.EqualFold(name, h.Resumes)
}

// setByRouter reports whether a field is never taken from a caller, since only the router sets it
// or it is reserved.
func (h *Headers) setByRouter(name string) bool {
	for _, own := range []string{h.Deadline, h.Workspace, h.TargetID, h.APIKey, h.FetchFrom} {
		if strings.EqualFold(name, own) {
			return true
		}
	}
	for _, reserved := range h.Reserved {
		if strings.EqualFold(name, reserved) {
			return true
		}
	}
	return false
}

// promptParts parses the list of prompt parts. The list ends at the first invalid entry, so that
// parts after a gap are not matched with other prompts. From maxPromptParts on, the parts count as one.
func (h *Headers) promptParts(fields h1.Header) []placement.Part {
	text := fields.Get(h.PromptParts)
	if text == "" {
		return nil
	}
	model := fields.Get(h.Model)
	var parts []placement.Part
	for entry := range strings.SplitSeq(text, ",") {
		id, size, ok := strings.Cut(strings.TrimSpace(entry), ":")
		tokens, err := strconv.Atoi(size)
		if !ok || err != nil || tokens < 0 {
			return parts
		}
		part := placement.Part{ID: PartID(model, id), Tokens: tokens}
		if last := len(parts) - 1; last+1 == maxPromptParts {
			part.Tokens += parts[last].Tokens
			parts[last] = part
			continue
		}
		parts = append(parts, part)
	}
	return parts
}

// maxPromptParts bounds the parts of a prompt, each of which takes more memory than its text in the header.
const maxPromptParts = 256

// PartID returns the ID of a prompt part for a model. All routers compute the same ID. The platform
// package uses it for the parts that model engines list.
func PartID(model, id string) uint64 { return xxhash.Sum64String(model + "\x00" + id) }

// maxOutputTokens returns the largest number of tokens that the request may generate, 0 if it does
// not state one.
func (h *Headers) maxOutputTokens(fields h1.Header) int {
	_, output, ok := strings.Cut(fields.Get(h.TokenUsage), ",")
	if !ok {
		return 0
	}
	tokens, err := strconv.Atoi(strings.TrimSpace(output))
	if err != nil {
		return 0
	}
	return max(tokens, 0)
}

// callerTimeout returns how long the caller waits, or 0 if it states no valid time.
func (h *Headers) callerTimeout(fields h1.Header) time.Duration {
	ms, err := strconv.ParseFloat(strings.TrimSpace(fields.Get(h.Deadline)), 64)
	if err != nil || ms <= 0 || ms > maxCallerTimeoutMs {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// maxCallerTimeoutMs is the longest valid time in the Deadline field in milliseconds: an hour.
const maxCallerTimeoutMs = 3600_000
