package broker

import "github.com/chiveseam/chiveseam/config"

// QueueKey identifies the demands of one workspace for one pool.
type QueueKey struct {
	Pool      string
	Workspace config.ID
}

// WaitingDemands returns the numbers of the router's demands that wait for a slot; a tied
// demand counts once. It returns nil while the router stops. The status page calls it.
func (b *Broker) WaitingDemands() map[QueueKey]int {
	result := make(chan map[QueueKey]int, 1)
	if !b.post(inspectInput{func() { result <- b.countWaitingDemands() }}) {
		return nil
	}
	select {
	case counts := <-result:
		return counts
	case <-b.t.Dying():
		return nil
	}
}

func (b *Broker) countWaitingDemands() map[QueueKey]int {
	counts := map[QueueKey]int{}
	for _, r := range b.requests {
		if !r.granted && r.original == nil {
			counts[QueueKey{r.demand.Pool, r.demand.Workspace}]++
		}
	}
	return counts
}
