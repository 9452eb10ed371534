package edge

import (
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chiveseam/chiveseam/h1"
	"github.com/chiveseam/chiveseam/placement"
)

// Headers names the header fields that callers, routers and targets use. The
// names belong to the deployment's platform.
type Headers struct {
	// RequestID names one attempt of a caller. Targets echo it.
	RequestID string
	// Deadline holds the milliseconds that the sender waits for the answer.
	Deadline string
	// PromptParts lists the parts of a prompt as ID:TOKENS.
	PromptParts string
	// TokenUsage holds the prompt tokens and the most output tokens.
	TokenUsage string
	// Model names the model.
	Model string
	// LengthHint is the caller's estimate of output tokens.
	LengthHint string
	// LastEventID is the event after which a stream goes on.
	LastEventID string
	// Signature marks answers of targets.
	Signature string
	// Workspace tells the target whose request it is.
	Workspace string
	// TargetID names the target that is meant; others refuse the request.
	TargetID string
	// FetchFrom tells a model engine the address of another one, from whose KV cache
	// it takes what it lacks of the prompt.
	FetchFrom string
	// NotRun marks answers of targets that did not run the request.
	NotRun string
	// APIKey holds the caller's key.
	APIKey string
	// Reserved fields are never taken from callers.
	Reserved []string
}

// forwarded returns the fields of a caller's request that its target gets.
func (h *Headers) forwarded(fields h1.Header) h1.Header {
	out := fields.EndToEnd(h.described)
	kept := out[:0]
	for _, f := range out {
		if !h.ownedByRouter(f.Name) {
			kept = append(kept, f)
		}
	}
	return kept
}

// described reports fields that describe the request; a caller cannot have them
// removed on the way.
func (h *Headers) described(name string) bool {
	for _, own := range []string{h.RequestID, h.PromptParts, h.TokenUsage, h.Model, h.LengthHint, h.LastEventID, "Host"} {
		if strings.EqualFold(name, own) {
			return true
		}
	}
	return false
}

func (h *Headers) ownedByRouter(name string) bool {
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

// parts parses the list of prompt parts. An entry that cannot be read ends the
// list: what follows it is not compared with other prompts.
func (h *Headers) parts(fields h1.Header) []placement.Part {
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
		parts = append(parts, placement.Part{ID: PartID(model, id), Tokens: tokens})
	}
	return parts
}

// PartID names a part of prompts for a model within the fleet.
func PartID(model, id string) uint64 { return xxhash.Sum64String(model + "\x00" + id) }

// output returns the most tokens that the request may generate.
func (h *Headers) output(fields h1.Header) int {
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

// wait returns how long the caller waits, or 0 if it does not say.
func (h *Headers) wait(fields h1.Header) time.Duration {
	ms, err := strconv.ParseFloat(strings.TrimSpace(fields.Get(h.Deadline)), 64)
	if err != nil || ms <= 0 || ms > maxWaitMs {
		return 0
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// maxWaitMs is the longest wait that a caller's header may state: an hour.
const maxWaitMs = 3600_000
