package publisher

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	configurationPath = "/v1/configuration"
	instancesPath     = "/v1/instances"

	// maxAnswerBytes bounds an answer: a value of one megabyte and its frame.
	maxAnswerBytes = 1<<20 + 64<<10
	// answerMargin is the time an answer may take beyond the requested wait.
	answerMargin = 2 * time.Second
	idleConnTime = 30 * time.Second
)

// HTTP is a Source that long-polls the platform over HTTP. A call is
// GET {base}/v1/configuration?after=REVISION&wait_ms=N and returns 200 with a
// protobuf message, 304 when nothing is newer, or 429 over the rate.
type HTTP struct {
	base   string
	client *http.Client
}

// NewHTTP returns a Source for the platform at base, for instance
// "http://10.0.0.1:7000". A connection on which a call is not answered within
// its wait and answerMargin is given up, and with it the idle connections of
// the client: what lost one has probably lost all.
func NewHTTP(base string, client *http.Client) *HTTP {
	return &HTTP{base: base, client: client}
}

// NewClient returns a client that connects within dialTimeout and uses no
// proxy.
func NewClient(dialTimeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:     dialer.DialContext,
		IdleConnTimeout: idleConnTime,
	}}
}

// Configuration implements Source.
func (h *HTTP) Configuration(ctx context.Context, after uint64, wait time.Duration) (*v1.PublishedConfiguration, error) {
	message := &v1.PublishedConfiguration{}
	if err := h.get(ctx, configurationPath, after, wait, message); err != nil {
		return nil, err
	}
	return message, nil
}

// Instances implements Source.
func (h *HTTP) Instances(ctx context.Context, after uint64, wait time.Duration) (*v1.InstanceList, error) {
	message := &v1.InstanceList{}
	if err := h.get(ctx, instancesPath, after, wait, message); err != nil {
		return nil, err
	}
	return message, nil
}

func (h *HTTP) get(ctx context.Context, path string, after uint64, wait time.Duration, into proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, wait+answerMargin)
	defer cancel()
	query := url.Values{}
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.base+path+"?"+query.Encode(), nil)
	if err != nil {
		return err
	}
	resp, err := h.client.Do(req)
	if err != nil {
		h.client.CloseIdleConnections()
		return fmt.Errorf("publisher: %w", err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return ErrUnchanged
	case http.StatusTooManyRequests:
		return ErrRateLimited
	default:
		return fmt.Errorf("publisher: %s answered %s", path, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		h.client.CloseIdleConnections()
		return fmt.Errorf("publisher: read answer: %w", err)
	}
	if err := proto.Unmarshal(body, into); err != nil {
		return fmt.Errorf("publisher: decode answer: %w", err)
	}
	return nil
}
