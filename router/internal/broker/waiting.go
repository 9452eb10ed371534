package broker

import "github.com/chiveseam/chiveseam/config"

// WaitKey names a workspace's queue in a pool.
type WaitKey struct {
	Pool      string
	Workspace config.ID
}

// Waiting counts the router's own waiting demands.
func (b *Broker) Waiting() map[WaitKey]int {
	result := make(chan map[WaitKey]int, 1)
	if !b.post(inspectInput{func() { result <- b.countWaiting() }}) {
		return nil
	}
	select {
	case counts := <-result:
		return counts
	case <-b.t.Dying():
		return nil
	}
}

func (b *Broker) countWaiting() map[WaitKey]int {
	counts := map[WaitKey]int{}
	for _, r := range b.requests {
		if !r.granted && r.original == nil {
			counts[WaitKey{r.demand.Pool, r.demand.Workspace}]++
		}
	}
	return counts
}
