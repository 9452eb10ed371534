package measure

import (
	"math"
	"time"

	"github.com/chiveseam/chiveseam/pool"
)

// slotRate is the number of cost units that a slot of speed 1 serves in a
// second: a token every 32 ms at an output weight of 4.
const slotRate = 125.0

// engine serves as many requests at a time as it has slots. Others wait in it.
type engine struct {
	pool.Target
	cluster *cluster
	running int
	queue   []*request
}

func (e *engine) rate() float64 { return e.Speed * slotRate }

// drawRate draws the rate of a request's slot, which is that of the engine but
// for the spread of the cluster.
func (e *engine) drawRate() float64 {
	if e.cluster.rateSpread == 0 {
		return e.rate()
	}
	spread := e.cluster.rateSpread
	return e.rate() * math.Exp(e.cluster.rateRNG.NormFloat64()*spread-spread*spread/2)
}

// accept takes a request over.
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

// delivered returns the cost units that the request got so far.
func (r *request) delivered(now time.Duration) int64 {
	if r.engine == nil {
		return 0
	}
	return min(int64((now-r.startedAt).Seconds()*r.rate), r.cost)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
