package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/chiveseam/chiveseam/internal/standin/engine"
)

const (
	// streamedPercent is the percentage of model requests that ask for a streamed
	// answer.
	streamedPercent = 70
	// chatPercent is the percentage of model requests that are chats.
	chatPercent = 80
	// prefixRepeats is how often the workspace's name is repeated at the start of its
	// prompts. All prompts of a workspace have this prefix in common, which engines
	// cache.
	prefixRepeats = 40
)

// tokenLimits are the values of max_tokens that requests choose from.
var tokenLimits = []int{16, 32, 64, 128}

// modelRequest is the body of a model request.
type modelRequest struct {
	Model         string         `json:"model"`
	Messages      []chatMessage  `json:"messages,omitempty"`
	Prompt        string         `json:"prompt,omitempty"`
	MaxTokens     int            `json:"max_tokens"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// modelAnswer is an answer, or a chunk of a streamed one.
type modelAnswer struct {
	Choices []struct {
		Delta   chatMessage `json:"delta"`
		Message chatMessage `json:"message"`
		Text    string      `json:"text"`
	} `json:"choices"`
}

// text returns the text of the answer or chunk.
func (a *modelAnswer) text() string {
	var text strings.Builder
	for _, c := range a.Choices {
		text.WriteString(c.Delta.Content + c.Message.Content + c.Text)
	}
	return text.String()
}

// completion is a model request in progress.
type completion struct {
	flow    *flow
	request modelRequest
	// prompt is the text from which the engine computes the answer.
	prompt string
	began  time.Time
}

// sendCompletion sends a random model request of f, verifies the answer and returns the
// outcome.
func (g *generator) sendCompletion(ctx context.Context, f *flow, rng *rand.Rand) outcome {
	c := g.newCompletion(f, rng)
	body, err := json.Marshal(c.request)
	if err != nil {
		panic(err)
	}
	resp, err := g.doCall(ctx, f, call{router: g.randomRouter(rng), method: http.MethodPost, path: c.path(), body: body})
	if err != nil {
		return g.recordOutcome(connectionFailure(ctx, nameUnreachable))
	}
	defer drainBody(resp)
	result := readOutcome(resp)
	switch {
	case !result.served() || resp.StatusCode != http.StatusOK:
	case c.request.Stream:
		result = g.readStream(ctx, c, resp, result)
	default:
		result = g.readUnstreamed(ctx, c, resp, result)
	}
	return g.recordOutcome(result)
}

// newCompletion returns a random model request with a unique prompt.
func (g *generator) newCompletion(f *flow, rng *rand.Rand) *completion {
	content := fmt.Sprintf("%s request %d of seed %d",
		strings.Repeat(f.workspace.Name+" ", prefixRepeats), g.lastNumber.Add(1), g.options.Seed)
	c := &completion{flow: f, began: time.Now()}
	c.request = modelRequest{
		Model:     f.pool.Name,
		MaxTokens: tokenLimits[rng.IntN(len(tokenLimits))],
		Stream:    rng.IntN(100) < streamedPercent,
	}
	if c.request.Stream {
		c.request.StreamOptions = &streamOptions{IncludeUsage: true}
	}
	if rng.IntN(100) < chatPercent {
		c.request.Messages = []chatMessage{{Role: "user", Content: content}}
		c.prompt = engine.ChatPrompt("user", content)
		return c
	}
	c.request.Prompt = content
	c.prompt = content
	return c
}

func (c *completion) path() string {
	if c.request.Messages == nil {
		return "/v1/completions"
	}
	return "/v1/chat/completions"
}

// readUnstreamed verifies an answer that is not streamed.
func (g *generator) readUnstreamed(ctx context.Context, c *completion, resp *http.Response, result outcome) outcome {
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return connectionFailure(ctx, nameAborted)
	}
	var answer modelAnswer
	if err := json.Unmarshal(body, &answer); err != nil {
		g.recorder.violate(violationTruncated, fmt.Sprintf("answer of %d bytes: %v", len(body), err))
		return result
	}
	text := answer.text()
	g.verifyText(c, text)
	c.flow.addPromptCost(c.prompt)
	c.flow.addTokenCost(strings.Count(text, " ") + 1)
	g.recorder.modelAnswerTime.record(time.Since(c.began))
	return result
}

// verifyText records a violation unless text is the complete answer to c.
func (g *generator) verifyText(c *completion, text string) {
	err := engine.CheckAnswer(c.prompt, c.request.MaxTokens, text)
	if err != nil {
		g.recorder.violate(violationOf(err), err.Error())
	}
}

// addPromptCost adds the cost of a prompt to the delivered cost.
func (f *flow) addPromptCost(prompt string) {
	f.deliveredCost.Add(uint64(engine.PromptTokens(prompt)) * uint64(f.pool.InputWeight))
}

// addTokenCost adds the cost of n answer tokens to the delivered cost.
func (f *flow) addTokenCost(n int) {
	f.deliveredCost.Add(uint64(n) * uint64(max(f.pool.OutputWeight, 1)))
}
