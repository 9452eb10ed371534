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

// Client calls other routers. It keeps one connection for calls to each router
// and makes one call at a time on it. Forwarded requests get connections of their
// own. A Client is safe for concurrent use.
type Client struct {
	store   *state.Store
	timing  Timing
	traffic Traffic

	// mu guards conns, which has the peer address as key. Entries are never
	// removed.
	mu    sync.Mutex
	conns map[string]*cachedConn
}

// cachedConn is the connection for calls to one address.
type cachedConn struct {
	// mu is held during a call and guards conn, which is nil while there is no
	// connection.
	mu   sync.Mutex
	conn *drpcconn.Conn
}

// NewClient returns a client without open connections. It finds the addresses of
// routers in store.
func NewClient(store *state.Store, timing Timing, traffic Traffic) *Client {
	return &Client{store: store, timing: timing, traffic: traffic, conns: map[string]*cachedConn{}}
}

// Exchange sends this router's state to the router at address and returns the
// state of that router.
func (c *Client) Exchange(ctx context.Context, address string, in *v1.PeerState) (*v1.PeerState, error) {
	c.traffic.AddMessage("peer_state", Sent, proto.Size(in))
	var out *v1.PeerState
	err := c.callPeering(ctx, address, func(ctx context.Context, client v1.DRPCPeeringClient) (err error) {
		out, err = client.Exchange(ctx, in)
		return err
	})
	if err == nil {
		c.traffic.AddMessage("peer_state", Received, proto.Size(out))
	}
	return out, err
}

// FetchConfiguration returns the configuration in force at the router at address.
// It fails if that has a revision below minRevision.
func (c *Client) FetchConfiguration(ctx context.Context, address string, minRevision uint64) (*v1.PublishedConfiguration, error) {
	var out *v1.PublishedConfiguration
	err := c.callPeering(ctx, address, func(ctx context.Context, client v1.DRPCPeeringClient) (err error) {
		out, err = client.FetchConfiguration(ctx, &v1.FetchConfigurationRequest{MinRevision: minRevision})
		return err
	})
	if err == nil {
		c.traffic.AddMessage("configuration", Received, proto.Size(out))
	}
	return out, err
}

// ShareCounters sends the counters of schedulers on this router to the router at
// address and returns the counters of its schedulers for the same pools.
func (c *Client) ShareCounters(ctx context.Context, address string, in *v1.CountersShare) (*v1.CountersShare, error) {
	c.traffic.AddMessage("counters_share", Sent, proto.Size(in))
	var out *v1.CountersShare
	err := c.withConn(ctx, address, func(ctx context.Context, conn drpc.Conn) (err error) {
		out, err = v1.NewDRPCSchedulingClient(conn).ShareCounters(ctx, in)
		return err
	})
	if err == nil {
		c.traffic.AddMessage("counters_share", Received, proto.Size(out))
	}
	return out, err
}

// Deal sends a batch of shard reports and allotments to the router at address and
// returns the batch with which it replies.
func (c *Client) Deal(ctx context.Context, address string, in *v1.DealBatch) (*v1.DealBatch, error) {
	c.traffic.AddMessage("deal", Sent, proto.Size(in))
	var out *v1.DealBatch
	err := c.withConn(ctx, address, func(ctx context.Context, conn drpc.Conn) (err error) {
		out, err = v1.NewDRPCSchedulingClient(conn).Deal(ctx, in)
		return err
	})
	if err == nil {
		c.traffic.AddMessage("deal", Received, proto.Size(out))
	}
	return out, err
}

// HandOver sends a part of this router's request-key ledger to the router at
// address. It reports whether that router accepted all records of the part.
func (c *Client) HandOver(ctx context.Context, address string, in *v1.HandOverRequest) (bool, error) {
	accepted := false
	err := c.callPeering(ctx, address, func(ctx context.Context, client v1.DRPCPeeringClient) error {
		out, err := client.HandOver(ctx, in)
		accepted = out.GetAccepted()
		return err
	})
	return accepted, err
}

// KeyViews returns the instance lists by which the router at address decides who
// owns a request key.
func (c *Client) KeyViews(ctx context.Context, address string) (*v1.KeyViewsReply, error) {
	var out *v1.KeyViewsReply
	err := c.callPeering(ctx, address, func(ctx context.Context, client v1.DRPCPeeringClient) (err error) {
		out, err = client.KeyViews(ctx, &v1.KeyViewsRequest{})
		return err
	})
	return out, err
}

// ClaimKey implements keys.Peers. It fails if owner is not the last known
// incarnation of that router.
func (c *Client) ClaimKey(ctx context.Context, owner requestkey.Member, req *v1.ClaimKeyRequest) (*v1.ClaimKeyReply, error) {
	address, ok := c.addressOf(owner)
	if !ok {
		return nil, fmt.Errorf("router %s is unknown or has another incarnation", owner.Name)
	}
	var out *v1.ClaimKeyReply
	err := c.callPeering(ctx, address, func(ctx context.Context, client v1.DRPCPeeringClient) (err error) {
		out, err = client.ClaimKey(ctx, req)
		return err
	})
	return out, err
}

// addressOf returns the peer address of the member. It returns false if the router
// is unknown or has another incarnation now.
func (c *Client) addressOf(member requestkey.Member) (string, bool) {
	m, ok := c.store.Fleet().Known[member.Name]
	return m.PeerAddress, ok && m.Incarnation == member.Incarnation
}

// dialOwner opens a connection for a forwarded request to the owner of its key.
func (c *Client) dialOwner(ctx context.Context, owner requestkey.Member) (*drpcconn.Conn, error) {
	address, ok := c.addressOf(owner)
	if !ok {
		return nil, fmt.Errorf("router %s is unknown or has another incarnation", owner.Name)
	}
	return dial(ctx, address, c.timing.DialTimeout, c.traffic, kindForwarding)
}

// callPeering runs fn with a client of the Peering service at address.
func (c *Client) callPeering(ctx context.Context, address string, fn func(context.Context, v1.DRPCPeeringClient) error) error {
	return c.withConn(ctx, address, func(ctx context.Context, conn drpc.Conn) error {
		return fn(ctx, v1.NewDRPCPeeringClient(conn))
	})
}

// withConn runs fn, which makes one call, on the cached connection to address, or
// on a new one if there is none. If the call fails on a connection of an earlier
// call, for example because the peer has closed it since, and ctx has not ended,
// withConn repeats the call once on a new connection. All calls can be repeated
// without harm.
func (c *Client) withConn(ctx context.Context, address string, fn func(context.Context, drpc.Conn) error) error {
	cached := c.cachedConnTo(address)
	cached.mu.Lock()
	defer cached.mu.Unlock()
	reused := cached.conn != nil
	err := c.callOnce(ctx, cached, address, fn)
	if err != nil && reused && ctx.Err() == nil {
		err = c.callOnce(ctx, cached, address, fn)
	}
	return err
}

// callOnce runs fn on the cached connection, which it opens first if needed. It
// closes the connection if fn fails. The caller holds cached.mu.
func (c *Client) callOnce(ctx context.Context, cached *cachedConn, address string, fn func(context.Context, drpc.Conn) error) error {
	ctx, cancel := context.WithTimeout(ctx, unaryTimeout)
	defer cancel()
	if cached.conn == nil {
		conn, err := dial(ctx, address, c.timing.DialTimeout, c.traffic, kindControl)
		if err != nil {
			return err
		}
		cached.conn = conn
	}
	err := fn(ctx, cached.conn)
	if err != nil {
		cached.conn.Close()
		cached.conn = nil
	}
	return err
}

// cachedConnTo returns the entry for address, which it adds if there is none.
func (c *Client) cachedConnTo(address string) *cachedConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, ok := c.conns[address]
	if !ok {
		cached = &cachedConn{}
		c.conns[address] = cached
	}
	return cached
}
