package operator

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/encoding/protojson"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/publisher"
)

const (
	statusPath = "/status"
	// maxStatusBytes bounds the status of one router.
	maxStatusBytes = 16 << 20
	// maxParallelFetches bounds the status calls that are open at the same time.
	maxParallelFetches = 32
)

// ErrNoRouters is returned by Fetch if it is given no routers.
var ErrNoRouters = errors.New("no router to ask")

// Router is a router whose status is fetched.
type Router struct {
	// Address is the IP:port of its HTTP endpoint for operators.
	Address string
	// Leaving is set if the platform lists the router as leaving. Such a router may have ended
	// already.
	Leaving bool
}

// Unreachable is a router whose status could not be fetched. Err is the reason.
type Unreachable struct {
	Router Router
	Err    error
}

// Fleet is a sample of the statuses of the routers.
type Fleet struct {
	// At is the time when the last status arrived.
	At time.Time
	// Routers is sorted by name.
	Routers     []*v1.RouterStatus
	Unreachable []Unreachable
}

// Incomplete reports whether a router that is not leaving gave no status.
func (f Fleet) Incomplete() bool {
	return slices.ContainsFunc(f.Unreachable, func(u Unreachable) bool { return !u.Router.Leaving })
}

// Client fetches the status of routers. It is safe for concurrent use.
type Client struct {
	HTTP *http.Client
	// Timeout bounds each call.
	Timeout time.Duration
}

// Discover returns the routers of the platform's instance list that have an address for
// operators.
func (c *Client) Discover(ctx context.Context, platformURL string) ([]Router, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	list, err := publisher.NewHTTP(platformURL, c.HTTP).Instances(ctx, 0, 0)
	if err != nil {
		return nil, err
	}
	var routers []Router
	for _, instance := range list.Instances {
		if instance.IsTarget || instance.AdminAddress == "" {
			continue
		}
		routers = append(routers, Router{
			Address: instance.AdminAddress,
			Leaving: instance.State == v1.InstanceState_LEAVING,
		})
	}
	return routers, nil
}

// Fetch fetches the status of all routers in parallel. Routers that fail are listed in
// Fleet.Unreachable; the error is ErrNoRouters or that of ctx.
func (c *Client) Fetch(ctx context.Context, routers []Router) (Fleet, error) {
	if len(routers) == 0 {
		return Fleet{}, ErrNoRouters
	}
	statuses := make([]*v1.RouterStatus, len(routers))
	failures := make([]error, len(routers))
	var group errgroup.Group
	group.SetLimit(maxParallelFetches)
	for i, router := range routers {
		group.Go(func() error {
			statuses[i], failures[i] = c.fetch(ctx, router.Address)
			return nil
		})
	}
	_ = group.Wait() // each router's error is in failures
	return newFleet(routers, statuses, failures), ctx.Err()
}

// newFleet builds a fleet from the status or the error of each router.
func newFleet(routers []Router, statuses []*v1.RouterStatus, failures []error) Fleet {
	fleet := Fleet{At: time.Now()}
	for i, router := range routers {
		if failures[i] != nil {
			fleet.Unreachable = append(fleet.Unreachable, Unreachable{Router: router, Err: failures[i]})
			continue
		}
		fleet.Routers = append(fleet.Routers, statuses[i])
	}
	slices.SortStableFunc(fleet.Routers, func(a, b *v1.RouterStatus) int {
		return cmp.Compare(a.Router, b.Router)
	})
	return fleet
}

// fetch fetches the status of the router at address.
func (c *Client) fetch(ctx context.Context, address string) (*v1.RouterStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+statusPath, nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s answered %s", statusPath, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStatusBytes))
	if err != nil {
		return nil, fmt.Errorf("read status: %w", err)
	}
	status := &v1.RouterStatus{}
	options := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := options.Unmarshal(body, status); err != nil {
		return nil, fmt.Errorf("decode status: %w", err)
	}
	return status, nil
}
