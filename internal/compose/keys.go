package compose

import (
	"time"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
	"github.com/chiveseam/chiveseam/requestkey"
)

const (
	// maxClaimRounds bounds how often the ledger is asked about one request, with a claim to
	// the earlier owners of its key in between. claimTimeout bounds the wait for their
	// answers. The daemon's executor (router/internal/keys) uses the same values.
	maxClaimRounds = 3
	claimTimeout   = time.Second
	// forwardGrace is the time after a forwarded request's deadline at which the owner of
	// the key is given up. It is that of the daemon's router/internal/peer.
	forwardGrace = 2 * time.Second
	// statusOK is the HTTP status of each answer.
	statusOK = 200
)

// request is a request in progress at a router, either the one that the caller reached or
// the owner of its key.
type request struct {
	r         *Router
	call      *Call
	forwarded bool
	// startBy is the deadline for the start of the last attempt, endBy the deadline for
	// its answer. Both are times of the router's clock.
	startBy time.Time
	endBy   time.Time
	// begunAt is the true time at which the key was begun, or at which a request
	// without a key arrived.
	begunAt time.Time
	// reply is called once with the result and sets replied.
	reply   func(Result)
	replied bool
	// relayed is set when the result comes from the owner of the key, or when the owner
	// has not answered.
	relayed bool
}

// execute runs a request, under its key if it has one.
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

// beginKey asks the ledger what to do with a request that has a key and does it. round
// counts the rounds of claims, from 1.
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

// dispatchKeyed dispatches a request whose key was begun here and records the result.
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

// claim sends claims to the earlier owners of a key. It calls next once all have answered or
// claimTimeout has passed.
func (r *Router) claim(id requestkey.ID, decision requestkey.Decision, next func()) {
	r.sim.Stats.Claims++
	req := requestkey.ClaimRequest{ID: id, Revision: decision.Revision}
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
	for _, m := range decision.Claims {
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
		for _, m := range decision.Claims {
			if waiting[m] {
				r.ledger.ClaimFailed(r.now(), id, m)
				answered(m)
			}
		}
	})
}

// forward sends a request to the owner of its key. It replies with the owner's first answer.
// It replies with KEY_OWNER_UNREACHABLE if the owner is not reachable now, or forwardGrace
// after the time by which the request must start.
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
	timeLeft := req.startBy.Sub(r.now())
	r.sim.sendOnStream(r, to, func() {
		to.receiveForward(req, timeLeft, func(result Result) {
			to.sim.sendDatagram(to, r, func() { end(result) })
		})
	})
	r.sim.after(r, timeLeft+forwardGrace, func() { end(unknown) })
}

// receiveForward executes a request that another router forwarded. timeLeft is the time
// until the request must start.
func (r *Router) receiveForward(req *request, timeLeft time.Duration, reply func(Result)) {
	if r.accepted == nil {
		reply(Result{Code: v1.Code_NOT_READY, Ran: v1.Ran_UNKNOWN})
		return
	}
	startBy := r.now().Add(max(timeLeft, time.Millisecond))
	r.execute(&request{
		r: r, call: req.call, forwarded: true, startBy: startBy, endBy: startBy.Add(totalTimeout - startLimit), reply: reply,
	})
}

// handOver sends the records of all keys to the routers that own the keys next. It ends the
// process when each has answered or claimTimeout has passed.
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

// exit ends the process at the end of a planned stop.
func (r *Router) exit() {
	r.checkExit()
	r.Crash()
}
