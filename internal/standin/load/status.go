package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// statusTimeout bounds the time to read the status of one router.
	statusTimeout = 2 * time.Second
	// maxStatusBytes bounds the size of a router's status.
	maxStatusBytes = 16 << 20
)

// fetchStatuses returns the status of each router by the address of its operator
// endpoint. It leaves out routers that do not answer.
func fetchStatuses(ctx context.Context, client *http.Client, admins []string) map[string]*v1.RouterStatus {
	statuses := map[string]*v1.RouterStatus{}
	for _, admin := range admins {
		if status, err := fetchStatus(ctx, client, admin); err == nil {
			statuses[admin] = status
		}
	}
	return statuses
}

func fetchStatus(ctx context.Context, client *http.Client, admin string) (*v1.RouterStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/status", nil)
	if err != nil {
		return nil, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, err
	}
	defer drainBody(resp)
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status of %s: %s", admin, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	if err != nil {
		return nil, err
	}
	status := &v1.RouterStatus{}
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	return status, options.Unmarshal(body, status)
}

// controlConnection is the message name under which a router counts all bytes on
// connections that carry control traffic only.
const controlConnection = "connection"

// controlBytes returns the bytes of control traffic in a status, by direction.
func controlBytes(status *v1.RouterStatus) map[string]uint64 {
	sums := map[string]uint64{}
	for _, c := range status.GetControl() {
		if c.Message == controlConnection {
			sums[c.Direction] += c.Bytes
		}
	}
	return sums
}
