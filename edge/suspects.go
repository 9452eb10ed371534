package edge

import (
	"time"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// lossLimit is the number of targets that a request may have been in flight on
	// when they were lost; it is refused from then on.
	lossLimit = 2
	// suspectLifetime is how long a loss is remembered: callers that send such a
	// request again do so within some seconds.
	suspectLifetime = 60 * time.Second
	// maxSuspects bounds the list; the losses of one target are some dozens.
	maxSuspects = 4096
	// suspectReports is the number of reports that tell of a loss.
	suspectReports = 3
)

// suspects are requests that were in flight on targets when they were lost. One
// request may crash each target that runs it and comes again under another ID.
// It is not safe for concurrent use.
type suspects struct {
	byDigest map[uint64]*suspect
}

type suspect struct {
	targets map[uint32]bool
	expires time.Time
	// untold counts the reports that have still to tell of it.
	untold int
}

func newSuspects() *suspects { return &suspects{byDigest: make(map[uint64]*suspect)} }

// digestOf names a request by what stays the same when its caller sends it again.
func digestOf(workspace, target string, body []byte) uint64 {
	d := xxhash.New()
	d.WriteString(workspace)
	d.WriteString("\x00")
	d.WriteString(target)
	d.WriteString("\x00")
	d.Write(body)
	return d.Sum64()
}

// lost records that a target was lost with the request in flight. It returns the
// number of targets lost so.
func (s *suspects) lost(now time.Time, digest uint64, targets ...uint32) int {
	known, ok := s.byDigest[digest]
	if !ok || now.After(known.expires) {
		if len(s.byDigest) >= maxSuspects {
			s.expire(now)
		}
		known = &suspect{targets: make(map[uint32]bool)}
		s.byDigest[digest] = known
	}
	before := len(known.targets)
	for _, target := range targets {
		known.targets[target] = true
	}
	if len(known.targets) > before {
		known.expires = now.Add(suspectLifetime)
		known.untold = suspectReports
	}
	return len(known.targets)
}

// refused reports whether a request is refused for its losses.
func (s *suspects) refused(now time.Time, digest uint64) bool {
	known, ok := s.byDigest[digest]
	return ok && now.Before(known.expires) && len(known.targets) >= lossLimit
}

// cleared forgets a request that a target answered in full.
func (s *suspects) cleared(digest uint64) { delete(s.byDigest, digest) }

func (s *suspects) expire(now time.Time) {
	for digest, known := range s.byDigest {
		if now.After(known.expires) {
			delete(s.byDigest, digest)
		}
	}
}

// report tells other routers of new losses.
func (s *suspects) report(r *v1.LoadReport) {
	for digest, known := range s.byDigest {
		if known.untold == 0 {
			continue
		}
		known.untold--
		lost := &v1.LostRequest{Digest: digest}
		for target := range known.targets {
			lost.Targets = append(lost.Targets, target)
		}
		r.Lost = append(r.Lost, lost)
	}
}

// merge takes in the losses that another router tells of.
func (s *suspects) merge(now time.Time, r *v1.LoadReport) {
	for _, l := range r.Lost {
		s.lost(now, l.Digest, l.Targets...)
	}
}
