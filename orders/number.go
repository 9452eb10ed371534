package orders

import "fmt"

// SequenceBits is the width of the sequence number in a fencing number.
const SequenceBits = 16

const (
	// MaxRevision is the highest revision that a fencing number holds.
	MaxRevision  = 1<<(64-SequenceBits) - 1
	sequenceMask = 1<<SequenceBits - 1
)

// Number is a fencing number.
type Number uint64

// RevisionError is returned for a configuration whose revision does not fit
// into a fencing number.
type RevisionError struct {
	Revision uint64
}

// Error implements error.
func (e RevisionError) Error() string {
	return fmt.Sprintf("revision %d is above %d, the highest in a fencing number", e.Revision, uint64(MaxRevision))
}

// Revision returns the configuration's revision in the number.
func (n Number) Revision() uint64 { return uint64(n) >> SequenceBits }

// Sequence returns the sequence number in the number.
func (n Number) Sequence() uint64 { return uint64(n) & sequenceMask }

// nextNumber returns the number of an order for the revision to an engine that
// reported the number last. The revision is not below that of last.
func nextNumber(revision uint64, last Number) Number {
	if last.Revision() < revision {
		return Number(revision << SequenceBits)
	}
	if last.Sequence() == sequenceMask {
		return last
	}
	return last + 1
}
