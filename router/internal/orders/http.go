package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/chiveseam/chiveseam/orders"
)

const (
	statePath  = "/v1/state"
	ordersPath = "/v1/orders"
	// maxAnswerBytes bounds the answer of an engine.
	maxAnswerBytes = 1 << 20
	// maxErrorBytes bounds what an error repeats of an answer.
	maxErrorBytes = 200
	// idleConnTimeout closes connections before they may have gone silent.
	idleConnTimeout = 30 * time.Second
)

// HTTP reaches engines over HTTP.
type HTTP struct {
	client *http.Client
}

// NewHTTP returns a client for engines.
func NewHTTP(dialTimeout time.Duration) *HTTP {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &HTTP{client: &http.Client{Transport: &http.Transport{
		DialContext:     dialer.DialContext,
		IdleConnTimeout: idleConnTimeout,
	}}}
}

// orderBody is the body of an order.
type orderBody struct {
	Kind    orders.Kind   `json:"kind"`
	Version string        `json:"version,omitempty"`
	Adapter string        `json:"adapter,omitempty"`
	Role    string        `json:"role,omitempty"`
	Fencing orders.Number `json:"fencing"`
}

// stateBody is an engine's answer.
type stateBody struct {
	Version  string        `json:"version"`
	Adapters []string      `json:"adapters"`
	Role     string        `json:"role"`
	Fencing  orders.Number `json:"fencing"`
}

// State implements Engines.
func (h *HTTP) State(ctx context.Context, address string) (orders.State, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+statePath, nil)
	if err != nil {
		return orders.State{}, err
	}
	return h.do(req)
}

// Order implements Engines.
func (h *HTTP) Order(ctx context.Context, address string, order orders.Order) (orders.State, error) {
	body, err := json.Marshal(orderBody(order))
	if err != nil {
		return orders.State{}, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+ordersPath, bytes.NewReader(body))
	if err != nil {
		return orders.State{}, err
	}
	// Without GetBody the transport does not send an order twice.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	return h.do(req)
}

func (h *HTTP) do(req *http.Request) (orders.State, error) {
	resp, err := h.client.Do(req)
	if err != nil {
		return orders.State{}, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return orders.State{}, fmt.Errorf("read answer of engine: %w", err)
	}
	if err := statusError(resp.StatusCode, answer); err != nil {
		return orders.State{}, err
	}
	var body stateBody
	if err := json.Unmarshal(answer, &body); err != nil {
		return orders.State{}, fmt.Errorf("decode answer of engine: %w", err)
	}
	return orders.State(body), nil
}

func statusError(status int, answer []byte) error {
	text := answer[:min(len(answer), maxErrorBytes)]
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return fmt.Errorf("%w: %s", ErrRefused, text)
	}
	return fmt.Errorf("%w: status %d: %s", ErrFailed, status, text)
}
