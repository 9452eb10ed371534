package streams

import (
	"time"

	"github.com/chiveseam/chiveseam/evacuation"
	v1 "github.com/chiveseam/chiveseam/proto/chiveseam/v1"
)

// Revision is a position in the history of the store. The zero value is before all others.
type Revision = evacuation.Revision

// Coverage states that a router knows all versions that targets have had from a time on, up to a revision of the store:
// those that were registered at the revision From, and those of each registration between From and Until. Since is not
// before the time of From. The zero value states nothing.
//
// A router that hears nothing more cannot tell whether there is nothing more to hear. Coverage therefore ends at a
// revision rather than now, and grows only with what the store or another router states.
type Coverage struct {
	Since       time.Time
	From, Until Revision
}

// IsKnown reports whether the coverage states anything.
func (c Coverage) IsKnown() bool { return !c.Since.IsZero() }

// merge returns the union of two coverages of routers that know the versions of each other, or one of them if there may
// be others between them. That of a later epoch replaces that of an earlier one, in which the store has lost changes.
func (c Coverage) merge(other Coverage) Coverage {
	switch {
	case !other.IsKnown():
		return c
	case !c.IsKnown() || other.Until.Epoch > c.Until.Epoch:
		return other
	case other.Until.Epoch < c.Until.Epoch || other.From.Compare(c.Until) > 0 || c.From.Compare(other.Until) > 0:
		return c
	}
	if other.Since.Before(c.Since) {
		c.Since = other.Since
	}
	if other.From.Compare(c.From) < 0 {
		c.From = other.From
	}
	if other.Until.Compare(c.Until) > 0 {
		c.Until = other.Until
	}
	return c
}

// Coverage returns what this router knows of the versions of all services.
func (o *Origins) Coverage() Coverage { return o.coverage }

// Covers reports whether all versions are known up to a revision.
func (o *Origins) Covers(at Revision) bool {
	return o.coverage.IsKnown() && o.coverage.Until.Epoch == at.Epoch && o.coverage.Until.Compare(at) >= 0
}

// ReadAll records that all registrations at a revision were seen. It returns false if versions may have come and gone
// between what was known and that revision.
func (o *Origins) ReadAll(now time.Time, at Revision) bool {
	if o.lastRead.Compare(at) < 0 {
		o.lastRead = at
	}
	if !o.coverage.IsKnown() || at.Epoch > o.coverage.Until.Epoch {
		o.coverage = Coverage{Since: now, From: at, Until: at}
		return false
	}
	return o.coverage.Until.Compare(at) >= 0
}

// ReadChanges records that each change of a registration between two revisions of an epoch was seen. It has no effect
// if others may have come before them.
func (o *Origins) ReadChanges(after, until Revision) {
	if o.Covers(after) && until.Epoch == after.Epoch && until.Compare(o.coverage.Until) > 0 {
		o.coverage.Until = until
	}
}

// LoseHistory records that the store no longer has the changes that follow a revision. It has no effect if others are known by now.
func (o *Origins) LoseHistory(after Revision) {
	if o.coverage.Until == after {
		o.coverage = Coverage{}
	}
}

// HasGap reports whether versions may have come and gone between what is known and the latest read of all registrations.
func (o *Origins) HasGap() bool { return !o.Covers(o.lastRead) }

// VersionsKnownFor returns for how long before now all versions are known that services have had, if the coverage
// reaches up to now.
func (o *Origins) VersionsKnownFor(now time.Time) time.Duration {
	if !o.coverage.IsKnown() {
		return 0
	}
	return now.Sub(o.coverage.Since)
}

// AddVersions adds to a report the versions of all services and the coverage, for a router that does not know them.
// More than maxToldServices are not told.
func (o *Origins) AddVersions(now time.Time, r *v1.LoadReport) {
	if len(o.versions) > maxToldServices {
		return
	}
	r.Versions = o.allVersions()
	if !o.coverage.IsKnown() {
		return
	}
	r.VersionsKnownMs = uint64(max(o.VersionsKnownFor(now).Milliseconds(), 0))
	r.VersionsEpoch, r.VersionsFrom, r.VersionsUntil = o.coverage.Until.Epoch, o.coverage.From.Number, o.coverage.Until.Number
}

// coverageOf returns the coverage that a report states.
func coverageOf(now time.Time, r *v1.LoadReport) Coverage {
	if r.VersionsUntil == 0 {
		return Coverage{}
	}
	return Coverage{
		Since: now.Add(-time.Duration(min(r.VersionsKnownMs, maxKnownMs)) * time.Millisecond),
		From:  Revision{Epoch: r.VersionsEpoch, Number: r.VersionsFrom},
		Until: Revision{Epoch: r.VersionsEpoch, Number: r.VersionsUntil},
	}
}
