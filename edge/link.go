package edge

import (
	"errors"
	"net"
	"time"

	"github.com/go-kit/log/level"

	"github.com/chiveseam/chiveseam/linkbudget"
)

const (
	// packetBytes is the size of the headers of one packet.
	packetBytes = 60
	// exchangeBytes is the size of the packets without payload of one request and its answer on one
	// connection: acknowledgements, and the connection's own when it is new.
	exchangeBytes = 6 * packetBytes
	// typicalRequestHeadBytes is the size of the head of a request.
	typicalRequestHeadBytes = 600
	// segmentBytes is the payload of one packet.
	segmentBytes = 1400
	// refusalBytes is the size of an answer that refuses a request.
	refusalBytes = 500
	// initialAnswerBytes is the expected size of an answer on a route that has had none.
	initialAnswerBytes = 2000
	// answerSizeGain is the weight of a new answer in the moving mean of its route.
	answerSizeGain = 0.1
)

// answerSizes holds the moving mean of the bytes of answers by the name of their route.
type answerSizes map[string]float64

// expected returns the bytes that an answer on a route usually has.
func (s answerSizes) expected(route string) float64 {
	if mean, ok := s[route]; ok {
		return mean
	}
	return initialAnswerBytes
}

// observe adds the bytes of an answer.
func (s answerSizes) observe(route string, bytes float64) {
	mean := s.expected(route)
	s[route] = mean + answerSizeGain*(bytes-mean)
}

// requestBytes returns the bytes of a request on the link, packet headers included.
func (c *call) requestBytes() float64 {
	payload := float64(typicalRequestHeadBytes + c.req.BodyLength())
	return payload*(1+float64(packetBytes)/segmentBytes) + exchangeBytes
}

// countRefused counts a request that is refused without a workspace.
func (c *call) countRefused() {
	c.edge.mu.Lock()
	defer c.edge.mu.Unlock()
	now := time.Now()
	c.edge.link.AddRequest(now, "", c.requestBytes())
	c.edge.link.Expect(now, "", linkbudget.Bytes{Out: refusalBytes})
}

// admitToLink counts the arrival of a request and reports whether the link has room to forward it
// and its answer. If not, it returns the time after which there may be room. The caller holds the
// router's mu.
func (c *call) admitToLink(now time.Time) (time.Duration, bool) {
	e := c.edge
	request, answer := c.requestBytes(), e.answers.expected(c.route.Name)
	e.link.AddRequest(now, c.workspace, request)
	forward := linkbudget.Bytes{In: answer, Out: request + answer}
	wait, ok := e.link.Admit(now, c.workspace, forward)
	if !ok {
		e.link.Expect(now, c.workspace, linkbudget.Bytes{Out: refusalBytes})
		return wait, false
	}
	c.linkExpected = forward
	return 0, true
}

// releaseLink replaces what was expected of a request by the bytes of a refusal. The caller holds
// the router's mu.
func (c *call) releaseLink(now time.Time) {
	c.edge.link.Expect(now, c.workspace, linkbudget.Bytes{Out: refusalBytes}.Minus(c.linkExpected))
	c.linkExpected = linkbudget.Bytes{}
}

// countResend counts a request that is sent to another target. The caller holds the router's mu.
func (c *call) countResend(now time.Time) {
	c.edge.link.Expect(now, c.workspace, linkbudget.Bytes{Out: c.requestBytes()})
}

// settleLink replaces the expected bytes of an answer by those that were sent.
func (c *call) settleLink() {
	e := c.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	actual := float64(c.reply.bytes + c.reply.writes*packetBytes)
	expected := c.linkExpected.In
	e.link.Expect(time.Now(), c.workspace, linkbudget.Bytes{In: actual - expected, Out: actual - expected})
	if c.sentCount > 0 || c.firstByteLatency > 0 {
		e.answers.observe(c.route.Name, actual)
	}
}

// countReports counts reports to other routers.
func (e *Edge) countReports(bytes, recipients int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.link.Expect(time.Now(), "", linkbudget.Bytes{Out: float64((bytes + packetBytes) * recipients)})
}

// updateLinkBusy sets linkBusy, by which the router is not ready and asks its callers to connect
// anew, and logs its changes.
func (e *Edge) updateLinkBusy(now time.Time) {
	e.mu.Lock()
	busy, load, wait := e.link.Busy(now), e.link.Load(), e.link.Wait(now)
	e.mu.Unlock()
	e.metrics.linkLoad.Set(load)
	if e.linkBusy.Swap(busy) != busy {
		level.Warn(e.logger).Log("event", "link_changed", "busy", busy, "load", roundHundredths(load), "wait_ms", wait.Milliseconds())
	}
}

// isTimeout reports whether an error is a timeout of the network.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
