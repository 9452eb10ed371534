package dispatch

import (
	"bytes"
	"encoding/json"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// bytesPerToken estimates the tokens of a prompt that was not counted yet.
const bytesPerToken = 4

// usage counts the tokens of one answer of an engine. It prefers what the
// engine reports and counts the events of a stream otherwise.
type usage struct {
	promptTokens     uint64
	completionTokens uint64
}

// chunk is the part of an OpenAI answer or stream event that usage reads.
type chunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     uint64 `json:"prompt_tokens"`
		CompletionTokens uint64 `json:"completion_tokens"`
	} `json:"usage"`
}

func newUsage(bodyBytes int) usage {
	return usage{promptTokens: uint64(bodyBytes / bytesPerToken)}
}

// observe counts one event of a stream, or a document with a usage.
func (u *usage) observe(document []byte) {
	if !bytes.Contains(document, []byte(`"usage"`)) {
		u.completionTokens++
		return
	}
	var c chunk
	if json.Unmarshal(document, &c) != nil {
		return
	}
	if c.Usage != nil {
		u.promptTokens = c.Usage.PromptTokens
		u.completionTokens = c.Usage.CompletionTokens
		return
	}
	u.completionTokens++
}

// observeWhole counts a plain answer. One without a usage is estimated by its
// length.
func (u *usage) observeWhole(document []byte) {
	if bytes.Contains(document, []byte(`"usage"`)) {
		u.observe(document)
		return
	}
	u.completionTokens += uint64(len(document) / bytesPerToken)
}

// cost returns the cost in cost units of the pool.
func (u *usage) cost(p *v1.Pool) uint32 {
	return uint32(u.promptTokens*uint64(p.InputWeight) + u.completionTokens*uint64(p.OutputWeight))
}
