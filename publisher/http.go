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

	// maxAnswerBytes bounds the body of an answer: 1 MiB of payload and 64 KiB for the message
	// around it.
	maxAnswerBytes = 1<<20 + 64<<10
	// answerMargin is how much longer than the requested wait an answer may take.
	answerMargin    = 2 * time.Second
	idleConnTimeout = 30 * time.Second
)

// HTTP is a Source that long-polls the platform over HTTP. Its requests have the form
//
//	GET {base}/v1/configuration?after=REVISION&wait_ms=N
//
// The platform answers 200 with a protobuf message, 304 if nothing is newer, or 429 if the caller
// exceeds its rate.
type HTTP struct {
	// base is the URL of the platform without a trailing slash.
	base   string
	client *http.Client
}

// NewHTTP returns a Source for the platform at base, for instance "http://10.0.0.1:7000".
//
// If a call gets no answer within its wait and answerMargin, its connection is closed, and so are
// the idle connections of the client: the fault that broke one connection has probably broken the
// others too.
func NewHTTP(base string, client *http.Client) *HTTP {
	return &HTTP{base: base, client: client}
}

// NewClient returns an HTTP client for NewHTTP. It gives up connecting after dialTimeout and uses
// no proxy.
func NewClient(dialTimeout time.Duration) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:     dialer.DialContext,
		IdleConnTimeout: idleConnTimeout,
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

// get requests the resource at path once it is newer than the revision after, and decodes it into a
// message. It returns ErrUnchanged if nothing newer appears within wait.
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
