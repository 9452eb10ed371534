package e2e

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcwire"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// peerWriteTimeout limits a write to a peer port. The router may have stopped
// reading from the connection.
const peerWriteTimeout = 2 * time.Second

// callFrames returns the DRPC frames that call the method with the message.
func callFrames(method string, message []byte) []byte {
	id := drpcwire.ID{Stream: 1, Message: 1}
	data := drpcwire.AppendFrame(nil, drpcwire.Frame{ID: id, Kind: drpcwire.KindInvoke, Data: []byte(method), Done: true})
	id.Message++
	return drpcwire.AppendFrame(data, drpcwire.Frame{ID: id, Kind: drpcwire.KindMessage, Data: message, Done: true})
}

// marshalPeerState returns the encoded state of a router that is not in the fleet.
func marshalPeerState(t *testing.T) []byte {
	t.Helper()
	data, err := proto.Marshal(&v1.PeerState{Router: "router-9", Incarnation: 1})
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// writePeer writes raw bytes to the peer port and closes the connection.
func writePeer(t *testing.T, address string, data []byte) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatalf("the peer port does not accept: %v", err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(peerWriteTimeout))
	// Write fails if the router closes the connection before it has read all data.
	_, _ = conn.Write(data)
}

// Guards against a router that ends or stops answering its peers after invalid
// input on the peer port: random bytes, another protocol, truncated calls, unknown
// methods and messages that cannot be decoded.
func TestPeerPortSurvivesInvalidInput(t *testing.T) {
	t.Parallel()
	c := newSmallCluster(t)
	address := c.routers[0].peer
	garbage := make([]byte, 64<<10)
	rng := rand.NewChaCha8([32]byte{1})
	_, _ = rng.Read(garbage)
	writePeer(t, address, nil)
	writePeer(t, address, garbage)
	writePeer(t, address, []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	writePeer(t, address, bytes.Repeat([]byte{0xff}, 8<<20))
	exchange := callFrames("/chiveseam.v1.Peering/Exchange", marshalPeerState(t))
	for length := range exchange {
		writePeer(t, address, exchange[:length])
	}
	methods := []string{
		"Peering/Exchange", "Peering/FetchConfiguration", "Peering/Forward", "Peering/ClaimKey",
		"Peering/HandOver", "Peering/KeyViews", "Scheduling/Connect", "None/None",
	}
	for _, method := range methods {
		path := "/chiveseam.v1." + method
		writePeer(t, address, callFrames(path, nil))
		writePeer(t, address, callFrames(path, garbage[:512]))
		// A field that declares a length of 127 bytes and holds one.
		writePeer(t, address, callFrames(path, []byte{0x0a, 0x7f, 0x00}))
	}
	expectPeerServes(t, address)
	expectServing(t, c)
}

// expectPeerServes fails the test unless the peer port answers a call with revision 1
// of the configuration.
func expectPeerServes(t *testing.T, address string) {
	t.Helper()
	is := is.New(t)
	raw, err := net.Dial("tcp", address)
	is.NoErr(err)
	conn := drpcconn.New(raw)
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	reply, err := v1.NewDRPCPeeringClient(conn).FetchConfiguration(ctx, &v1.FetchConfigurationRequest{})
	is.NoErr(err)
	is.Equal(reply.Revision, uint64(1))
}

// Guards against a router that ends, or answers with success, when a peer asks for a
// revision of the configuration that the router does not have.
func TestPeerCallsGetErrors(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newSmallCluster(t)
	raw, err := net.Dial("tcp", c.routers[0].peer)
	is.NoErr(err)
	conn := drpcconn.New(raw)
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, err = v1.NewDRPCPeeringClient(conn).FetchConfiguration(ctx, &v1.FetchConfigurationRequest{MinRevision: 99})
	is.True(err != nil)
	expectServing(t, c)
}
