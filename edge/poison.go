package edge

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"github.com/chiveseam/chiveseam/placement"
	"github.com/chiveseam/chiveseam/poison"
	"github.com/chiveseam/chiveseam/rendezvous"
	"github.com/chiveseam/chiveseam/routing"
)

const (
	// provenAfter is the time for which a target must have been answering a request to show that
	// the request does not crash it.
	provenAfter = time.Second
	// crashCheckTimeout limits the time to find out whether a target has crashed.
	crashCheckTimeout = 100 * time.Millisecond
)

// digestOf returns a digest of a request's workspace, request target and body, which stay the same
// when a caller repeats the request under another request ID.
func digestOf(workspace, target string, body []byte) uint64 {
	d := xxhash.New()
	d.WriteString(workspace)
	d.WriteString("\x00")
	d.WriteString(target)
	d.WriteString("\x00")
	d.Write(body)
	return d.Sum64()
}

// sharedParts returns the IDs of the parts of a prompt that other requests may have: all but the last
// one.
func sharedParts(parts []placement.Part) []uint64 {
	if len(parts) == 0 {
		return nil
	}
	ids := make([]uint64, 0, len(parts)-1)
	for _, p := range parts[:len(parts)-1] {
		ids = append(ids, p.ID)
	}
	return ids
}

// promptRefused reports whether a prompt crashes targets. It must not be called with e.mu held.
func (e *Edge) promptRefused(parts []uint64) bool {
	if len(parts) == 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.poison.PromptRefused(time.Now(), parts, e.ownsProbe)
}

// ownsProbe reports whether this router sends the probes of the signature with a key, of all routers
// that it knows. The caller holds e.mu.
func (e *Edge) ownsProbe(key uint64) bool {
	owner, _ := rendezvous.Owner(strconv.FormatUint(key, 16), append(e.balancer.PeerNames(), e.settings.Name))
	return owner == e.settings.Name
}

// recordPoison records what the end of an attempt shows of the request and its prompt. The caller
// holds e.mu.
func (e *Edge) recordPoison(now time.Time, a *attempt, outcome attemptOutcome) {
	c := a.call
	switch {
	case outcome == answered:
		e.poison.Proven(now, a.firstByteAt, c.digest, a.provenParts())
	case a.crashed:
		loss := poison.Loss{Request: c.digest, Begun: !a.firstByteAt.IsZero(), Targets: []uint32{startOf(a.target)}}
		if a.targetGone && !a.proven {
			loss.Parts = c.sharedParts
		}
		e.poison.Lost(now, loss)
	}
}

// startOf identifies one start of a target: one that has crashed may be back under its ID.
func startOf(t routing.Target) uint32 {
	return placement.Hash(t.ID + "@" + strconv.FormatInt(t.StartedUnixMs, 10))
}

// provenParts returns the parts of the prompt that a complete answer proves: an answer that is no
// stream of events may have been given without looking at the prompt.
func (a *attempt) provenParts() []uint64 {
	if a.events.ended == 0 {
		return nil
	}
	return a.call.sharedParts
}

// recordProgress records, once, that the target has been answering for provenAfter.
func (a *attempt) recordProgress() {
	if a.proven || a.events.ended == 0 || time.Since(a.firstByteAt) < provenAfter {
		return
	}
	a.proven = true
	e := a.call.edge
	e.mu.Lock()
	defer e.mu.Unlock()
	e.poison.Proven(time.Now(), a.firstByteAt, a.call.digest, a.call.sharedParts)
}

// checkCrash sets targetGone if the connection to the target broke because its process has ended. A
// broken connection alone does not show that.
func (a *attempt) checkCrash() {
	stopped := a.call.edge.requestCtx.Err() != nil
	if a.crashed && !a.proven && !stopped && len(a.call.sharedParts) > 0 {
		a.targetGone = a.call.edge.refusesConnections(a.target.Address)
	}
}

// refusesConnections reports whether nothing listens at an address. Concurrent calls for an address
// share one connection.
func (e *Edge) refusesConnections(address string) bool {
	_, err, _ := e.crashChecks.Do(address, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		defer cancel()
		u, err := e.targetConns.dial(ctx, address)
		if err != nil {
			return nil, err
		}
		e.targetConns.putNew(u)
		return nil, nil
	})
	return errors.Is(err, syscall.ECONNREFUSED)
}

// logSignatures logs a change of the prompts that are refused. Only sendReports uses it.
func (r *reporter) logSignatures(signatures [][]uint64) {
	r.edge.metrics.signatures.Set(float64(len(signatures)))
	for _, s := range signatures {
		if !containsParts(r.signatures, s) {
			level.Warn(r.edge.logger).Log("event", "prompt_quarantined", "parts", hexParts(s))
		}
	}
	for _, s := range r.signatures {
		if !containsParts(signatures, s) {
			level.Info(r.edge.logger).Log("event", "prompt_released", "parts", hexParts(s))
		}
	}
	r.signatures = signatures
}

func containsParts(list [][]uint64, parts []uint64) bool {
	return slices.ContainsFunc(list, func(other []uint64) bool { return slices.Equal(other, parts) })
}

// hexParts formats the IDs of prompt parts for the logs.
func hexParts(parts []uint64) []string {
	out := make([]string, 0, len(parts))
	for _, p := range parts {
		out = append(out, strconv.FormatUint(p, 16))
	}
	return out
}
