package engine

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultMaxTokens applies to requests without max_tokens.
	DefaultMaxTokens = 64
	// lengthWordPrefix starts the word in a prompt that sets the length of the answer,
	// for instance "tokens=12".
	lengthWordPrefix = "tokens="
)

// AnswerTokens returns the tokens of the answer to a prompt. Token i is "w<i>-<hash>",
// where hash is the xxHash64 of the prompt in 16 hexadecimal digits; each token but the
// first starts with a space.
//
// A word "tokens=N" in the prompt gives N tokens. Otherwise there are 1 + hash mod
// maxTokens, so that max_tokens is only a rough hint of the length. There are never more
// than maxTokens tokens; if maxTokens is 0 or less, DefaultMaxTokens applies.
//
// The prompt of a chat is the concatenation of its messages, each formatted by
// ChatPrompt. A client whose prompts are unique can check with CheckAnswer that an
// answer is complete and belongs to its request.
func AnswerTokens(prompt string, maxTokens int) []string {
	if maxTokens <= 0 {
		maxTokens = DefaultMaxTokens
	}
	hash := xxhash.Sum64String(prompt)
	tokens := make([]string, answerLength(prompt, hash, maxTokens))
	for i := range tokens {
		tokens[i] = fmt.Sprintf(" w%d-%016x", i, hash)
	}
	tokens[0] = tokens[0][1:]
	return tokens
}

// answerLength returns the number of tokens in the answer to prompt.
func answerLength(prompt string, hash uint64, maxTokens int) int {
	if wanted := requestedLength(prompt); wanted > 0 {
		return min(wanted, maxTokens)
	}
	return 1 + int(hash%uint64(maxTokens))
}

// requestedLength returns the N of the first word "tokens=N" in prompt, or 0 if there is
// none.
func requestedLength(prompt string) int {
	_, rest, found := strings.Cut(prompt, lengthWordPrefix)
	if !found {
		return 0
	}
	digits := 0
	for digits < len(rest) && rest[digits] >= '0' && rest[digits] <= '9' {
		digits++
	}
	n, err := strconv.Atoi(rest[:digits])
	if err != nil {
		return 0
	}
	return n
}

// AnswerError reports how an answer differs from the expected one.
type AnswerError struct {
	// Short is set if the answer is a proper prefix of the expected one. Otherwise the
	// answer belongs to another request.
	Short bool
	// Got and Want are the lengths of the answer and of the expected one, in bytes.
	Got, Want int
}

// Error implements error.
func (e *AnswerError) Error() string {
	if e.Short {
		return fmt.Sprintf("answer is short: %d of %d bytes", e.Got, e.Want)
	}
	return fmt.Sprintf("answer of %d bytes is not the one to this request", e.Got)
}

// CheckAnswer returns nil if text is the complete answer to a request with this prompt
// and max_tokens, and an *AnswerError otherwise.
func CheckAnswer(prompt string, maxTokens int, text string) error {
	want := strings.Join(AnswerTokens(prompt, maxTokens), "")
	if text == want {
		return nil
	}
	return &AnswerError{
		Short: strings.HasPrefix(want, text),
		Got:   len(text),
		Want:  len(want),
	}
}
