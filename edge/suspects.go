package edge

import (
	"time"

	"github.com/cespare/xxhash/v2"

	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

const (
	// lostTargetLimit is the number of targets that must have been lost with a request in flight
	// before the request is refused.
	lostTargetLimit = 2
	// suspectLifetime is how long a loss is remembered. Callers repeat such a request within some
	// seconds.
	suspectLifetime = 60 * time.Second
	// maxSuspects is the number of entries from which expired ones are removed before a new one is
	// added. The loss of one target adds a few dozen.
	maxSuspects = 4096
	// lossReports is the number of reports to other routers that repeat a loss, in case some of
	// them are dropped.
	lossReports = 3
)

// suspects lists requests that were in flight at targets when those were lost. A request may crash
// every target that runs it, and come again under another request ID. It is not safe for concurrent
// use: the Edge's mu guards it.
type suspects struct {
	// byDigest holds the entries by digestOf.
	byDigest map[uint64]*suspect
}

// suspect is the record of one request with which targets were lost.
type suspect struct {
	// targets holds the hashes of the lost targets.
	targets map[uint32]bool
	expires time.Time
	// reportsLeft is the number of reports that must still include this entry.
	reportsLeft int
}

func newSuspects() *suspects { return &suspects{byDigest: make(map[uint64]*suspect)} }

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

// recordLoss records that targets were lost with the request in flight. It returns the number of
// targets lost with it so far.
func (s *suspects) recordLoss(now time.Time, digest uint64, targets ...uint32) int {
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
		known.reportsLeft = lossReports
	}
	return len(known.targets)
}

// refused reports whether a request must be refused because too many targets were lost with it.
func (s *suspects) refused(now time.Time, digest uint64) bool {
	known, ok := s.byDigest[digest]
	return ok && now.Before(known.expires) && len(known.targets) >= lostTargetLimit
}

// remove removes the entry of a request that a target has answered completely.
func (s *suspects) remove(digest uint64) { delete(s.byDigest, digest) }

// expire removes expired entries.
func (s *suspects) expire(now time.Time) {
	for digest, known := range s.byDigest {
		if now.After(known.expires) {
			delete(s.byDigest, digest)
		}
	}
}

// addToReport adds the entries with new losses to a report for other routers.
func (s *suspects) addToReport(r *v1.LoadReport) {
	for digest, known := range s.byDigest {
		if known.reportsLeft == 0 {
			continue
		}
		known.reportsLeft--
		lost := &v1.LostRequest{Digest: digest}
		for target := range known.targets {
			lost.Targets = append(lost.Targets, target)
		}
		r.Lost = append(r.Lost, lost)
	}
}

// merge records the losses in another router's report.
func (s *suspects) merge(now time.Time, r *v1.LoadReport) {
	for _, l := range r.Lost {
		s.recordLoss(now, l.Digest, l.Targets...)
	}
}
