package compose

import (
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/requestkey"
)

const (
	// maxClaimRounds and claimTimeout are those of the daemon's executor.
	maxClaimRounds = 3
	claimTimeout   = time.Second
	// forwardGrace is added to a request's deadline before its owner is given
	// up.
	forwardGrace = 2 * time.Second
	// statusOK is the status of each whole answer.
	statusOK = 200
)

// request is a request at a router: at the one that its caller reached, or
// at the owner of its key.
type request struct {
	r         *Router
	call      *Call
	forwarded bool
	startBy   time.Time
	endBy     time.Time
	// begunAt is the true time at which its key was begunAt.
	begunAt time.Time
	// reply takes the result, once.
	reply   func(Result)
	replied bool
	// relayed is set when the result is that of the owner of its key.
	relayed bool
}

// execute runs a request under its key, if it has one.
func (r *Router) execute(req *request) {
	r.executing++
	reply := req.reply
	req.reply = func(result Result) {
		r.executing--
		req.replied = true
		r.checkFinal(req, result)
		reply(result)
	}
	if req.call.op.Key == "" {
		req.begunAt = r.sim.now
		r.dispatch(req, func() bool { return true }, req.reply)
		return
	}
	r.beginKey(req, 1)
}

func (r *Router) beginKey(req *request, round int) {
	op := req.call.op
	d := r.ledger.Begin(r.now(), requestkey.Request{ID: op.keyID(), Digest: op.keyDigest(), Forwarded: req.forwarded})
	switch d.Action {
	case requestkey.Dispatch:
		req.begunAt = r.sim.now
		r.dispatchKeyed(req)
	case requestkey.Replay:
		r.sim.Stats.Replayed++
		req.reply(Result{Code: d.Code, Ran: d.Ran, Body: string(d.Answer.Body)})
	case requestkey.Forward:
		r.forward(req, d.Owner)
	case requestkey.Claim:
		if round >= maxClaimRounds {
			req.reply(Result{Code: v1.Code_KEY_HISTORY_UNKNOWN, Ran: v1.Ran_UNKNOWN})
			return
		}
		r.claim(op.keyID(), d, func() { r.beginKey(req, round+1) })
	default:
		req.reply(Result{Code: d.Code, Ran: d.Ran})
	}
}

// dispatchKeyed executes a key that was begun here and records its end.
func (r *Router) dispatchKeyed(req *request) {
	id := req.call.op.keyID()
	mayStart := func() bool { return r.ledger.MayStart(r.now(), id) }
	r.dispatch(req, mayStart, func(result Result) {
		var answer *requestkey.Answer
		if result.Code == v1.Code_OK {
			answer = &requestkey.Answer{Status: statusOK, Code: result.Code, Body: []byte(result.Body)}
		}
		r.ledger.Finish(r.now(), id, result.Ran, answer)
		req.reply(result)
	})
}

// claim asks the earlier owners of a key and goes on when all have answered or
// the time is up.
func (r *Router) claim(id requestkey.ID, d requestkey.Decision, next func()) {
	r.sim.Stats.Claims++
	req := requestkey.ClaimRequest{ID: id, Revision: d.Revision}
	waiting := map[requestkey.Member]bool{}
	answered := func(m requestkey.Member) {
		if !waiting[m] {
			return
		}
		delete(waiting, m)
		if len(waiting) == 0 {
			next()
		}
	}
	for _, m := range d.Claims {
		waiting[m] = true
		earlier := r.sim.peer(m.Name)
		r.sim.sendDatagram(r, earlier, func() {
			reply := earlier.ledger.AnswerClaim(earlier.now(), req)
			earlier.sim.sendDatagram(earlier, r, func() {
				r.ledger.ClaimAnswered(r.now(), req, m, reply)
				answered(m)
			})
		})
	}
	r.sim.after(r, claimTimeout, func() {
		for _, m := range d.Claims {
			if waiting[m] {
				r.ledger.ClaimFailed(r.now(), id, m)
				answered(m)
			}
		}
	})
}

// forward passes a request on to the owner of its key. The first of its
// answer, the end of the owner and the end of the time counts.
func (r *Router) forward(req *request, owner requestkey.Member) {
	r.sim.Stats.Forwards++
	done := false
	end := func(result Result) {
		if !done {
			done, req.relayed = true, true
			req.reply(result)
		}
	}
	unknown := Result{Code: v1.Code_KEY_OWNER_UNREACHABLE, Ran: v1.Ran_UNKNOWN}
	to := r.sim.peer(owner.Name)
	if !to.alive || to.member != owner || !r.sim.connected(r.zone, to.zone) {
		end(unknown)
		return
	}
	left := req.startBy.Sub(r.now())
	r.sim.sendOnStream(r, to, func() {
		to.receiveForward(req, left, func(result Result) {
			to.sim.sendDatagram(to, r, func() { end(result) })
		})
	})
	r.sim.after(r, left+forwardGrace, func() { end(unknown) })
}

// receiveForward executes a request that another router passed on.
func (r *Router) receiveForward(req *request, left time.Duration, reply func(Result)) {
	if r.accepted == nil {
		reply(Result{Code: v1.Code_NOT_READY, Ran: v1.Ran_UNKNOWN})
		return
	}
	startBy := r.now().Add(max(left, time.Millisecond))
	r.execute(&request{
		r: r, call: req.call, forwarded: true, startBy: startBy, endBy: startBy.Add(totalTimeout - startLimit), reply: reply,
	})
}

// handOver passes the ledger on to the routers that own its keys next, and
// ends the process.
func (r *Router) handOver() {
	parts := r.ledger.Export(r.now())
	r.checkExport(parts)
	remaining := len(parts)
	if remaining == 0 {
		r.exit()
	}
	ended := map[string]bool{}
	end := func(h requestkey.HandOver, accepted bool) {
		if ended[h.To] {
			return
		}
		ended[h.To] = true
		r.checkHandOver(h, accepted)
		remaining--
		if remaining == 0 {
			r.exit()
		}
	}
	for _, h := range parts {
		to := r.sim.peer(h.To)
		r.sim.sendDatagram(r, to, func() {
			accepted := to.ledger.Import(to.now(), h)
			to.sim.sendDatagram(to, r, func() { end(h, accepted) })
		})
		r.sim.after(r, claimTimeout, func() { end(h, false) })
	}
}

// exit ends a planned stop.
func (r *Router) exit() {
	r.checkExit()
	r.Crash()
}
