package deployment

import (
	"fmt"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Router i listens on firstPort+i for its callers, and on the same port plus one of
// these offsets for peers and for operators.
const (
	peerPortOffset  = 20
	adminPortOffset = 40
	// MaxRouters is the largest number of routers in a deployment. It equals the
	// distance between the port offsets, so that no two ports coincide.
	MaxRouters = 20

	firstIncarnation = 1
)

// Router is the instance list entry of a router on this machine, and the region of its
// zone.
type Router struct {
	Instance *v1.Instance
	Region   string
}

// PlanRouters assigns n routers to the zones of c round robin, with loopback addresses
// on the ports that start at firstPort. It fails if c has no zone or n is not in 1 to
// MaxRouters.
func PlanRouters(c *v1.Configuration, n, firstPort int) ([]Router, error) {
	if len(c.Zones) == 0 || n < 1 || n > MaxRouters {
		return nil, fmt.Errorf("%d routers in %d zones: want 1 to %d routers and a zone", n, len(c.Zones), MaxRouters)
	}
	routers := make([]Router, n)
	for i := range routers {
		zone := c.Zones[i%len(c.Zones)]
		routers[i] = Router{Region: zone.Region, Instance: &v1.Instance{
			Name:         fmt.Sprintf("%s-router-%d", c.Deployment, i+1),
			Incarnation:  firstIncarnation,
			Zone:         zone.Name,
			EntryAddress: loopbackAddress(firstPort + i),
			PeerAddress:  loopbackAddress(firstPort + peerPortOffset + i),
			AdminAddress: loopbackAddress(firstPort + adminPortOffset + i),
			State:        v1.InstanceState_LIVE,
		}}
	}
	return routers, nil
}

func loopbackAddress(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}
