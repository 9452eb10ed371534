package targetload

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Figures is the load that a target states in an answer, as of the moment at which it sent the head
// of the answer.
type Figures struct {
	// Running and Waiting are the numbers of requests of all routers at the target, and Slots is the
	// number that it runs at a time.
	Running, Waiting, Slots int
	// Pace is the time that work takes on the target's machine, in multiples of the usual time; 0 if
	// the target states none.
	Pace float64
}

const (
	// maxCount is the largest number of requests or slots, and maxPacePercent the largest pace, that
	// is not taken for a mistake.
	maxCount       = 10_000
	maxPacePercent = 10_000
	// minFigures is the number of figures that all targets state; the pace is the next one.
	minFigures = 3
)

var errFields = errors.New("more than one field")

// Parse reads the fields of an answer that state its target's load: the numbers of requests running
// and waiting, of slots and, from some targets, the pace in percent, separated by commas. Figures
// after these are ignored. It returns false without an error if there is no field.
func Parse(fields []string) (Figures, bool, error) {
	if len(fields) != 1 {
		if len(fields) > 1 {
			return Figures{}, false, errFields
		}
		return Figures{}, false, nil
	}
	parts := strings.SplitN(fields[0], ",", minFigures+2)
	if len(parts) < minFigures {
		return Figures{}, false, fmt.Errorf("%d figures", len(parts))
	}
	var f Figures
	for i, count := range []*int{&f.Running, &f.Waiting, &f.Slots} {
		n, err := strconv.Atoi(strings.TrimSpace(parts[i]))
		if err != nil || n < 0 || n > maxCount {
			return Figures{}, false, fmt.Errorf("figure %q", parts[i])
		}
		*count = n
	}
	if f.Slots == 0 {
		return Figures{}, false, fmt.Errorf("%d slots", f.Slots)
	}
	if len(parts) > minFigures {
		percent, err := strconv.ParseFloat(strings.TrimSpace(parts[minFigures]), 64)
		if err != nil || math.IsNaN(percent) || percent <= 0 || percent > maxPacePercent {
			return Figures{}, false, fmt.Errorf("pace %q", parts[minFigures])
		}
		f.Pace = percent / 100
	}
	return f, true, nil
}
