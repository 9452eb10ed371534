package engine

import "encoding/json"

// doneData is the data of the last event of each stream.
const doneData = "[DONE]"

// stream is an answer in progress, whether or not the client asked for a streamed one.
// Its events are numbered from 1: one for each token, one with the finish reason, one
// with the usage if the request asks for it, and the last with doneData.
type stream struct {
	id string
	// created is a Unix time in seconds.
	created int64
	request *completionRequest
	// tokens are all tokens of the answer, produced or not.
	tokens []string
	// promptTokens counts the tokens of the prompt, and cachedTokens those of them found
	// in the prefix cache.
	promptTokens int
	cachedTokens int
	// withUsage is unset if the engine omits the token usage.
	withUsage bool
	sequence  *sequence

	// readers counts the connections that read the stream. generation grows with each
	// reader that attaches and when the last one detaches. Both are guarded by
	// Engine.mu.
	readers    int
	generation uint64
}

type usage struct {
	PromptTokens        int           `json:"prompt_tokens"`
	CompletionTokens    int           `json:"completion_tokens"`
	TotalTokens         int           `json:"total_tokens"`
	PromptTokensDetails promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type choice struct {
	Index        int           `json:"index"`
	Message      *chatMessage  `json:"message,omitempty"`
	Delta        *chatMessage  `json:"delta,omitempty"`
	Text         *string       `json:"text,omitempty"`
	FinishReason *finishReason `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type finishReason string

const (
	finishStop   finishReason = "stop"
	finishLength finishReason = "length"
)

// completion is an answer, or a chunk of a streamed one.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// sendsUsage reports whether one of the stream's events carries the usage.
func (s *stream) sendsUsage() bool {
	return s.withUsage && s.request.includeUsage()
}

// eventCount returns the number of events in the stream.
func (s *stream) eventCount() int {
	n := len(s.tokens) + 2
	if s.sendsUsage() {
		n++
	}
	return n
}

// eventData returns the data of event number i.
func (s *stream) eventData(i int) ([]byte, error) {
	switch {
	case i <= len(s.tokens):
		return json.Marshal(s.chunk(s.tokenChoice(i)))
	case i == len(s.tokens)+1:
		return json.Marshal(s.chunk(s.finishChoice()))
	case i < s.eventCount():
		c := s.chunk()
		c.Usage = s.usage()
		return json.Marshal(c)
	default:
		return []byte(doneData), nil
	}
}

// tokenChoice returns the choice in event number i, which carries token i-1.
func (s *stream) tokenChoice(i int) choice {
	token := s.tokens[i-1]
	if !s.request.chat {
		return choice{Text: &token}
	}
	delta := &chatMessage{Content: token}
	if i == 1 {
		delta.Role = "assistant"
	}
	return choice{Delta: delta}
}

// finishChoice returns the choice that carries the finish reason.
func (s *stream) finishChoice() choice {
	if !s.request.chat {
		return choice{Text: new(string), FinishReason: s.finishReason()}
	}
	return choice{Delta: &chatMessage{}, FinishReason: s.finishReason()}
}

// chunk returns one chunk of the streamed answer with the given choices.
func (s *stream) chunk(choices ...choice) completion {
	object := "text_completion"
	if s.request.chat {
		object = "chat.completion.chunk"
	}
	if choices == nil {
		choices = []choice{}
	}
	return completion{ID: s.id, Object: object, Created: s.created, Model: s.request.Model, Choices: choices}
}

// unstreamed returns the answer with the given text to a request that is not streamed.
func (s *stream) unstreamed(text string) completion {
	answer := s.chunk(choice{Text: &text, FinishReason: s.finishReason()})
	if s.request.chat {
		answer.Object = "chat.completion"
		answer.Choices = []choice{{
			Message:      &chatMessage{Role: "assistant", Content: text},
			FinishReason: s.finishReason(),
		}}
	}
	if s.withUsage {
		answer.Usage = s.usage()
	}
	return answer
}

// finishReason returns "length" if the answer has as many tokens as the request allows,
// and "stop" otherwise.
func (s *stream) finishReason() *finishReason {
	reason := finishStop
	if len(s.tokens) == s.request.maxTokens() {
		reason = finishLength
	}
	return &reason
}

func (s *stream) usage() *usage {
	return &usage{
		PromptTokens:        s.promptTokens,
		CompletionTokens:    len(s.tokens),
		TotalTokens:         s.promptTokens + len(s.tokens),
		PromptTokensDetails: promptDetails{CachedTokens: s.cachedTokens},
	}
}
