package broker

import "github.com/chiveseam/chiveseam/config"

// WaitKey identifies the demands of one workspace for one pool.
type WaitKey struct {
	Pool      string
	Workspace config.ID
}

// Waiting returns the numbers of the router's demands that wait for a slot; a tied
// demand counts once. It returns nil while the router stops. The status page calls it.
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
