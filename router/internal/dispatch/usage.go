package dispatch

import (
	"bytes"
	"encoding/json"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// bytesPerToken is the estimated size of a token, for prompts and plain answers of
// which the engine has not reported the number of tokens.
const bytesPerToken = 4

// tokenUsage counts the tokens of one answer of an engine. It uses the counts that the
// engine reports. Without them it counts each event of a stream as one token.
type tokenUsage struct {
	promptTokens     uint64
	completionTokens uint64
}

// chunk is the part of an OpenAI answer or stream event that tokenUsage reads.
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

// newUsage returns the usage of a request before its answer. The number of prompt
// tokens is estimated from the length of the body.
func newUsage(bodyBytes int) tokenUsage {
	return tokenUsage{promptTokens: uint64(bodyBytes / bytesPerToken)}
}

// observe counts one event of a stream, or reads the token counts of a document that
// has them.
func (u *tokenUsage) observe(document []byte) {
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

// observePlain counts the tokens of a plain answer. If it has no token counts, they are
// estimated from its length.
func (u *tokenUsage) observePlain(document []byte) {
	if bytes.Contains(document, []byte(`"usage"`)) {
		u.observe(document)
		return
	}
	u.completionTokens += uint64(len(document) / bytesPerToken)
}

// cost returns the cost so far in cost units, by the weights of the pool.
func (u *tokenUsage) cost(p *v1.Pool) uint32 {
	return uint32(u.promptTokens*uint64(p.InputWeight) + u.completionTokens*uint64(p.OutputWeight))
}
