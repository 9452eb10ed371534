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
	// okStatus is the status of each whole answer.
	okStatus = 200
)

// execution is a request at a router: at the one that its caller reached, or
// at the owner of its key.
type execution struct {
	r         *Router
	call      *Call
	forwarded bool
	startBy   time.Time
	endBy     time.Time
	// begun is the true time at which its key was begun.
	begun time.Time
	// reply takes the result, once.
	reply   func(Final)
	replied bool
	// relayed is set when the result is that of the owner of its key.
	relayed bool
}

// execute runs a request under its key, if it has one.
func (r *Router) execute(x *execution) {
	r.working++
	reply := x.reply
	x.reply = func(f Final) {
		r.working--
		x.replied = true
		r.checkFinal(x, f)
		reply(f)
	}
	if x.call.op.Key == "" {
		x.begun = r.w.now
		r.dispatch(x, func() bool { return true }, x.reply)
		return
	}
	r.begin(x, 1)
}

func (r *Router) begin(x *execution, round int) {
	op := x.call.op
	d := r.ledger.Begin(r.now(), requestkey.Request{ID: op.id(), Digest: op.keyDigest(), Forwarded: x.forwarded})
	switch d.Action {
	case requestkey.Dispatch:
		x.begun = r.w.now
		r.dispatchKeyed(x)
	case requestkey.Replay:
		r.w.Stats.Replayed++
		x.reply(Final{Code: d.Code, Ran: d.Ran, Body: string(d.Answer.Body)})
	case requestkey.Forward:
		r.forward(x, d.Owner)
	case requestkey.Claim:
		if round >= maxClaimRounds {
			x.reply(Final{Code: v1.Code_KEY_HISTORY_UNKNOWN, Ran: v1.Ran_UNKNOWN})
			return
		}
		r.claim(op.id(), d, func() { r.begin(x, round+1) })
	default:
		x.reply(Final{Code: d.Code, Ran: d.Ran})
	}
}

// dispatchKeyed executes a key that was begun here and records its end.
func (r *Router) dispatchKeyed(x *execution) {
	id := x.call.op.id()
	mayStart := func() bool { return r.ledger.MayStart(r.now(), id) }
	r.dispatch(x, mayStart, func(f Final) {
		var answer *requestkey.Answer
		if f.Code == v1.Code_OK {
			answer = &requestkey.Answer{Status: okStatus, Code: f.Code, Body: []byte(f.Body)}
		}
		r.ledger.Finish(r.now(), id, f.Ran, answer)
		x.reply(f)
	})
}

// claim asks the earlier owners of a key and goes on when all have answered or
// the time is up.
func (r *Router) claim(id requestkey.ID, d requestkey.Decision, next func()) {
	r.w.Stats.Claims++
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
		earlier := r.w.peer(m.Name)
		r.w.send(r, earlier, func() {
			reply := earlier.ledger.AnswerClaim(earlier.now(), req)
			earlier.w.send(earlier, r, func() {
				r.ledger.ClaimAnswered(r.now(), req, m, reply)
				answered(m)
			})
		})
	}
	r.w.after(r, claimTimeout, func() {
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
func (r *Router) forward(x *execution, owner requestkey.Member) {
	r.w.Stats.Forwards++
	done := false
	end := func(f Final) {
		if !done {
			done, x.relayed = true, true
			x.reply(f)
		}
	}
	unknown := Final{Code: v1.Code_KEY_OWNER_UNREACHABLE, Ran: v1.Ran_UNKNOWN}
	to := r.w.peer(owner.Name)
	if !to.alive || to.member != owner || !r.w.connected(r.zone, to.zone) {
		end(unknown)
		return
	}
	left := x.startBy.Sub(r.now())
	r.w.stream(r, to, func() {
		to.receiveForward(x, left, func(f Final) {
			to.w.send(to, r, func() { end(f) })
		})
	})
	r.w.after(r, left+forwardGrace, func() { end(unknown) })
}

// receiveForward executes a request that another router passed on.
func (r *Router) receiveForward(x *execution, left time.Duration, reply func(Final)) {
	if r.accepted == nil {
		reply(Final{Code: v1.Code_NOT_READY, Ran: v1.Ran_UNKNOWN})
		return
	}
	startBy := r.now().Add(max(left, time.Millisecond))
	r.execute(&execution{
		r: r, call: x.call, forwarded: true, startBy: startBy, endBy: startBy.Add(totalTime - startTime), reply: reply,
	})
}

// handOver passes the ledger on to the routers that own its keys next, and
// ends the process.
func (r *Router) handOver() {
	parts := r.ledger.Export(r.now())
	r.checkExport(parts)
	left := len(parts)
	if left == 0 {
		r.exit()
	}
	ended := map[string]bool{}
	end := func(h requestkey.HandOver, accepted bool) {
		if ended[h.To] {
			return
		}
		ended[h.To] = true
		r.checkHandOver(h, accepted)
		left--
		if left == 0 {
			r.exit()
		}
	}
	for _, h := range parts {
		to := r.w.peer(h.To)
		r.w.send(r, to, func() {
			accepted := to.ledger.Import(to.now(), h)
			to.w.send(to, r, func() { end(h, accepted) })
		})
		r.w.after(r, claimTimeout, func() { end(h, false) })
	}
}

// exit ends a planned stop.
func (r *Router) exit() {
	r.checkExit()
	r.Crash()
}
