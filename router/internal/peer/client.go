package peer

import (
	"context"
	"fmt"
	"sync"

	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/requestkey"
	"github.com/chiveseam/chiveseam/router/internal/state"
)

// Client calls other routers. It keeps one connection for calls to each, on
// which calls follow one another. It is safe for concurrent use.
type Client struct {
	store   *state.Store
	timing  Timing
	traffic Traffic

	mu    sync.Mutex
	conns map[string]*callConn
}

// callConn is the kept connection to one address.
type callConn struct {
	mu   sync.Mutex
	conn *drpcconn.Conn
}

// NewClient returns a client.
func NewClient(store *state.Store, timing Timing, traffic Traffic) *Client {
	return &Client{store: store, timing: timing, traffic: traffic, conns: map[string]*callConn{}}
}

// Exchange swaps state with the router at address.
func (c *Client) Exchange(ctx context.Context, address string, in *v1.PeerState) (*v1.PeerState, error) {
	c.traffic.Message("peer_state", Sent, proto.Size(in))
	var out *v1.PeerState
	err := c.call(ctx, address, func(ctx context.Context, client v1.DRPCPeeringClient) (err error) {
		out, err = client.Exchange(ctx, in)
		return err
	})
	if err == nil {
		c.traffic.Message("peer_state", Received, proto.Size(out))
	}
	return out, err
}

// FetchConfiguration fetches the configuration in force at a router.
func (c *Client) FetchConfiguration(ctx context.Context, address string, minRevision uint64) (*v1.PublishedConfiguration, error) {
	var out *v1.PublishedConfiguration
	err := c.call(ctx, address, func(ctx context.Context, client v1.DRPCPeeringClient) (err error) {
		out, err = client.FetchConfiguration(ctx, &v1.FetchConfigurationRequest{MinRevision: minRevision})
		return err
	})
	if err == nil {
		c.traffic.Message("configuration", Received, proto.Size(out))
	}
	return out, err
}

// ShareCounters swaps counters with the scheduler at address.
func (c *Client) ShareCounters(ctx context.Context, address string, in *v1.CountersShare) (*v1.CountersShare, error) {
	c.traffic.Message("counters_share", Sent, proto.Size(in))
	var out *v1.CountersShare
	err := c.callConn(ctx, address, func(ctx context.Context, conn drpc.Conn) (err error) {
		out, err = v1.NewDRPCSchedulingClient(conn).ShareCounters(ctx, in)
		return err
	})
	if err == nil {
		c.traffic.Message("counters_share", Received, proto.Size(out))
	}
	return out, err
}

// Deal swaps reports and allotments of shards with the router at address.
func (c *Client) Deal(ctx context.Context, address string, in *v1.DealBatch) (*v1.DealBatch, error) {
	c.traffic.Message("deal", Sent, proto.Size(in))
	var out *v1.DealBatch
	err := c.callConn(ctx, address, func(ctx context.Context, conn drpc.Conn) (err error) {
		out, err = v1.NewDRPCSchedulingClient(conn).Deal(ctx, in)
		return err
	})
	if err == nil {
		c.traffic.Message("deal", Received, proto.Size(out))
	}
	return out, err
}

// HandOver passes a part of the ledger on.
func (c *Client) HandOver(ctx context.Context, address string, in *v1.HandOverRequest) (bool, error) {
	accepted := false
	err := c.call(ctx, address, func(ctx context.Context, client v1.DRPCPeeringClient) error {
		out, err := client.HandOver(ctx, in)
		accepted = out.GetAccepted()
		return err
	})
	return accepted, err
}

// KeyViews fetches the instance lists that decide about keys.
func (c *Client) KeyViews(ctx context.Context, address string) (*v1.KeyViewsReply, error) {
	var out *v1.KeyViewsReply
	err := c.call(ctx, address, func(ctx context.Context, client v1.DRPCPeeringClient) (err error) {
		out, err = client.KeyViews(ctx, &v1.KeyViewsRequest{})
		return err
	})
	return out, err
}

// ClaimKey implements keys.Peers.
func (c *Client) ClaimKey(ctx context.Context, owner requestkey.Member, req *v1.ClaimKeyRequest) (*v1.ClaimKeyReply, error) {
	address, ok := c.addressOf(owner)
	if !ok {
		return nil, fmt.Errorf("router %s is not known", owner.Name)
	}
	var out *v1.ClaimKeyReply
	err := c.call(ctx, address, func(ctx context.Context, client v1.DRPCPeeringClient) (err error) {
		out, err = client.ClaimKey(ctx, req)
		return err
	})
	return out, err
}

func (c *Client) addressOf(member requestkey.Member) (string, bool) {
	m, ok := c.store.Fleet().Known[member.Name]
	return m.PeerAddress, ok && m.Incarnation == member.Incarnation
}

func (c *Client) dialOwner(ctx context.Context, owner requestkey.Member) (*drpcconn.Conn, error) {
	address, ok := c.addressOf(owner)
	if !ok {
		return nil, fmt.Errorf("router %s is not known", owner.Name)
	}
	return dial(ctx, address, c.timing.Dial, c.traffic, kindData)
}

// call runs a call of the Peering service.
func (c *Client) call(ctx context.Context, address string, fn func(context.Context, v1.DRPCPeeringClient) error) error {
	return c.callConn(ctx, address, func(ctx context.Context, conn drpc.Conn) error {
		return fn(ctx, v1.NewDRPCPeeringClient(conn))
	})
}

// callConn runs fn on the kept connection to address, or on a new one when the
// kept one has failed. A call on a connection that was kept is repeated once
// on a new one: all calls may be repeated.
func (c *Client) callConn(ctx context.Context, address string, fn func(context.Context, drpc.Conn) error) error {
	kept := c.kept(address)
	kept.mu.Lock()
	defer kept.mu.Unlock()
	reused := kept.conn != nil
	err := c.callOnce(ctx, kept, address, fn)
	if err != nil && reused && ctx.Err() == nil {
		err = c.callOnce(ctx, kept, address, fn)
	}
	return err
}

func (c *Client) callOnce(ctx context.Context, kept *callConn, address string, fn func(context.Context, drpc.Conn) error) error {
	ctx, cancel := context.WithTimeout(ctx, unaryTimeout)
	defer cancel()
	if kept.conn == nil {
		conn, err := dial(ctx, address, c.timing.Dial, c.traffic, kindControl)
		if err != nil {
			return err
		}
		kept.conn = conn
	}
	err := fn(ctx, kept.conn)
	if err != nil {
		kept.conn.Close()
		kept.conn = nil
	}
	return err
}

func (c *Client) kept(address string) *callConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept, ok := c.conns[address]
	if !ok {
		kept = &callConn{}
		c.conns[address] = kept
	}
	return kept
}
