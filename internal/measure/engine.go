package measure

import (
	"math"
	"time"

	"github.com/chiveseam/chiveseam/pool"
)

// slotRate is the number of cost units that a slot of speed 1 serves in a second. At an
// output weight of 4 cost units it amounts to a token every 32 ms.
const slotRate = 125.0

// engine simulates a target. It serves as many requests at a time as it has slots.
// Further requests wait in its queue.
type engine struct {
	pool.Target
	cluster *cluster
	running int
	queue   []*request
}

// rate returns the mean rate of a slot in cost units a second.
func (e *engine) rate() float64 { return e.Speed * slotRate }

// drawRate returns the rate at which a request is served, in cost units a second. With a
// rate spread in the cluster it is log-normally distributed around the engine's mean rate.
func (e *engine) drawRate() float64 {
	if e.cluster.rateSpread == 0 {
		return e.rate()
	}
	spread := e.cluster.rateSpread
	return e.rate() * math.Exp(e.cluster.rateRNG.NormFloat64()*spread-spread*spread/2)
}

// accept starts a request that a router sends, or queues it if all slots are busy.
func (e *engine) accept(r *request) {
	e.cluster.meter.advance(e.cluster.now)
	if e.running >= e.Slots {
		e.cluster.meter.overAdmitted++
		e.queue = append(e.queue, r)
		e.cluster.meter.changeEngineQueued(+1)
		return
	}
	e.start(r)
}

// start serves a request on a free slot.
func (e *engine) start(r *request) {
	e.running++
	r.rate = e.drawRate()
	e.cluster.meter.changeService(r.workspace, +1, r.rate)
	r.startedAt = e.cluster.now
	r.running = true
	r.engine = e
	service := seconds(float64(r.cost) / r.rate)
	e.cluster.after(service, func() { e.finish(r) })
	r.router.scheduleProgress(r)
}

// finish frees the slot of a request that was served and starts the next one in the queue.
func (e *engine) finish(r *request) {
	m := e.cluster.meter
	m.advance(e.cluster.now)
	m.changeService(r.workspace, -1, r.rate)
	r.running = false
	e.running--
	if len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		m.changeEngineQueued(-1)
		e.start(next)
	}
	r.router.handleServed(r)
}

// delivered returns the number of cost units that the engine has served for the request.
func (r *request) delivered(now time.Duration) int64 {
	if r.engine == nil {
		return 0
	}
	return min(int64((now-r.startedAt).Seconds()*r.rate), r.cost)
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
