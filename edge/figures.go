package edge

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
)

// figureReader converts the figures of a settings file. The platform writes a figure as a whole
// number, a fraction or with an exponent, and nothing if it has no value; the default is in force
// then.
type figureReader struct {
	parser *flags.Parser
	// text is the settings file, for error messages.
	text string
	// defaulted names the figures without a value.
	defaulted []string
	errs      []error
}

const (
	// maxDuration is the longest duration that a setting may have.
	maxDuration = 365 * 24 * time.Hour
	// minDuration is the shortest one of settings that must not be 0.
	minDuration = time.Millisecond
	// maxFigure is the largest value of any other figure. It fits into an int.
	maxFigure = 1 << 40
)

// number converts a figure that must not be negative.
func (r *figureReader) number(name, value string) float64 {
	if value == "" {
		value = r.defaultOf(name)
	}
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || !(n >= 0 && n <= maxFigure) {
		r.fail(name, value, "a number from 0")
		return 0
	}
	return n
}

// onOff converts a setting that is on or off.
func (r *figureReader) onOff(name, value string) bool {
	if value == "" {
		value = r.defaultOf(name)
	}
	if value != "on" && value != "off" {
		r.fail(name, value, "on or off")
	}
	return value == "on"
}

// whole converts a positive figure of which only whole numbers count; a fraction is cut off.
func (r *figureReader) whole(name, value string) int {
	failed := len(r.errs)
	n := int(r.number(name, value))
	if n == 0 && len(r.errs) == failed {
		r.fail(name, value, "a number from 1")
	}
	return n
}

// duration converts a duration of least or more: a number with the unit s or ms, or any other form that
// time.ParseDuration accepts. The unit alone stands for no value.
func (r *figureReader) duration(name, value string, least time.Duration) time.Duration {
	if value == "" || value == "s" || value == "ms" {
		value = r.defaultOf(name)
	}
	d, err := parseDuration(value)
	if err != nil || d < least || d > maxDuration {
		r.fail(name, value, fmt.Sprintf("a time from %v to %v", least, maxDuration))
		return 0
	}
	return d
}

// parseDuration parses a number with the unit s or ms in any notation, or another form that
// time.ParseDuration accepts. Durations beyond maxDuration may come out as any longer one.
func parseDuration(value string) (time.Duration, error) {
	unit := time.Second
	number, ok := strings.CutSuffix(value, "s")
	if milli, isMilli := strings.CutSuffix(number, "m"); isMilli {
		number, unit = milli, time.Millisecond
	}
	n, err := strconv.ParseFloat(number, 64)
	switch {
	case !ok || err != nil:
		return time.ParseDuration(value)
	case math.IsNaN(n):
		return 0, errNotANumber
	}
	return time.Duration(min(max(n*float64(unit), -1), float64(maxDuration+time.Second))), nil
}

var errNotANumber = errors.New("not a number")

// defaultOf returns the default of a setting and records that it is in force.
func (r *figureReader) defaultOf(name string) string {
	r.defaulted = append(r.defaulted, name)
	return strings.Join(r.parser.FindOptionByLongName(name).Default, "")
}

// fail records that the value of a setting is invalid.
func (r *figureReader) fail(name, value, want string) {
	r.errs = append(r.errs, fmt.Errorf("settings: %s = %s: want %s%s", name, value, want, r.lineOf(name)))
}

// lineOf returns the number of the last line that gives the setting a value, formatted for an error
// message; "" if there is none.
func (r *figureReader) lineOf(name string) string {
	found := ""
	for i, line := range strings.Split(r.text, "\n") {
		if key, _, ok := strings.Cut(line, "="); ok && strings.EqualFold(strings.TrimSpace(key), name) {
			found = fmt.Sprintf(" (line %d)", i+1)
		}
	}
	return found
}
