package engine

import "encoding/json"

// doneData is the data of the last event of each stream.
const doneData = "[DONE]"

// stream is an answer in progress. Its events are numbered from 1: one for
// each token, one with the finish reason, one with the usage if it is asked
// for, and the last with doneData.
type stream struct {
	id           string
	created      int64
	request      *completionRequest
	tokens       []string
	promptTokens int
	cachedTokens int
	withUsage    bool
	sequence     *sequence

	// readers counts the connections that read the stream and detached the
	// changes of it. Both are guarded by Engine.mu.
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

// completion is an answer or a chunk of one.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// sendsUsage reports whether the stream has an event with the usage.
func (s *stream) sendsUsage() bool {
	return s.withUsage && s.request.includeUsage()
}

// eventCount returns the number of eventCount of the stream.
func (s *stream) eventCount() int {
	n := len(s.tokens) + 2
	if s.sendsUsage() {
		n++
	}
	return n
}

// eventData returns the data of eventData number i.
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

func (s *stream) finishChoice() choice {
	if !s.request.chat {
		return choice{Text: new(string), FinishReason: s.finishReason()}
	}
	return choice{Delta: &chatMessage{}, FinishReason: s.finishReason()}
}

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

// unstreamed returns the answer to a request that is not streamed.
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
