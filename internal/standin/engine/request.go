package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// maxBodyBytes is the largest body of a request. A longer one is cut off, so that it
// fails to decode.
const maxBodyBytes = 8 << 20

// completionRequest holds the fields of an OpenAI request that the engine uses.
type completionRequest struct {
	Model               string         `json:"model"`
	Messages            []message      `json:"messages"`
	Prompt              string         `json:"prompt"`
	MaxTokens           int            `json:"max_tokens"`
	MaxCompletionTokens int            `json:"max_completion_tokens"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`

	// chat is set for /v1/chat/completions and unset for /v1/completions.
	chat bool
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// decodeRequest reads the body of r and decodes it.
func decodeRequest(r *http.Request, chat bool) (*completionRequest, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	req := &completionRequest{chat: chat}
	if err := json.Unmarshal(body, req); err != nil {
		return nil, fmt.Errorf("decode body: %w", err)
	}
	return req, nil
}

// maxTokens returns the limit for the answer's tokens: max_tokens, else
// max_completion_tokens, else DefaultMaxTokens.
func (r *completionRequest) maxTokens() int {
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return DefaultMaxTokens
}

func (r *completionRequest) includeUsage() bool {
	return r.StreamOptions != nil && r.StreamOptions.IncludeUsage
}

// prompt returns the text from which AnswerTokens computes the answer.
func (r *completionRequest) prompt() string {
	if !r.chat {
		return r.Prompt
	}
	var text strings.Builder
	for _, m := range r.Messages {
		text.WriteString(ChatPrompt(m.Role, m.Content))
	}
	return text.String()
}

// ChatPrompt returns the text that one chat message adds to the prompt.
func ChatPrompt(role, content string) string {
	return role + ": " + content + "\n"
}
