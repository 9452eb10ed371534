package deployment

import (
	"fmt"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Ports of router i are the first port plus i, plus the offset of their use.
const (
	peerPortOffset  = 20
	adminPortOffset = 40
	// MaxRouters is the largest number of routers of a trial.
	MaxRouters = 20

	firstIncarnation = 1
)

// Router is a router of a trial on one machine.
type Router struct {
	Instance *v1.Instance
	Region   string
}

// PlanRouters places n routers on loopback over the zones of c in turn.
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
