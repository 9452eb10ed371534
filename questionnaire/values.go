package questionnaire

import (
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Descriptions of accepted values in errors.
const (
	allowedNumber   = "an integer from 0 to 4294967295"
	allowedDuration = "a duration such as 500ms, 5s or 1h30m"
	allowedSize     = "a number of bytes or a size such as 64KB, 8MiB or 14GB"
	allowedPercent  = "a percentage from 0% to 4294967295%"
	allowedFlag     = "true or false"
	allowedDigest   = "a SHA-256 digest of 64 hexadecimal digits"
	allowedText     = "a text"
)

// sizeUnits are tried in this order. "B" is the last, because all others end with it too.
var sizeUnits = []struct {
	suffix string
	bytes  uint64
}{
	{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"TiB", 1 << 40},
	{"KB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"TB", 1e12}, {"B", 1},
}

// text returns the scalar under key as written, or an empty string if there is none.
func (s section) text(key string) string {
	if !s.has(key) {
		return ""
	}
	if !isScalar(s.values[key]) {
		s.fail(key, allowedText)
	}
	return s.rawOf(key)
}

// texts returns the scalars in the list under key as written.
func (s section) texts(key string) []string {
	var out []string
	for i, item := range s.items(key) {
		if !isScalar(item) {
			s.failItem(key, i, item, allowedText)
			continue
		}
		out = append(out, raw(item))
	}
	return out
}

// failItem reports that item, the entry at index i of the list under key, is invalid.
func (s section) failItem(key string, i int, item ast.Node, allowed string) {
	s.reader.add(Error{
		Line:    lineOf(item),
		Field:   fmt.Sprintf("%s[%d]", s.pathOf(key), i),
		Value:   raw(item),
		Allowed: allowed,
	})
}

// number returns the integer under key, or 0 if there is none.
func (s section) number(key string) uint32 {
	if !s.has(key) {
		return 0
	}
	n, err := strconv.ParseUint(s.rawOf(key), 10, 32)
	if err != nil {
		s.fail(key, allowedNumber)
	}
	return uint32(n)
}

// percent returns the percentage under key as a number of percent, or 0 if there is none.
func (s section) percent(key string) uint32 {
	if !s.has(key) {
		return 0
	}
	n, err := strconv.ParseUint(strings.TrimSuffix(s.rawOf(key), "%"), 10, 32)
	if err != nil {
		s.fail(key, allowedPercent)
	}
	return uint32(n)
}

// flag returns the boolean under key, or false if there is none.
func (s section) flag(key string) bool {
	switch s.rawOf(key) {
	case "true", "yes":
		return true
	case "false", "no":
		return false
	}
	if s.has(key) {
		s.fail(key, allowedFlag)
	}
	return false
}

// requiredFlag returns the boolean under key and reports an error if there is none.
func (s section) requiredFlag(key string) bool {
	if !s.has(key) {
		s.fail(key, allowedFlag)
	}
	return s.flag(key)
}

// millis returns the duration under key in milliseconds, or 0 if there is none.
func (s section) millis(key string) uint32 {
	return s.duration(key, time.Millisecond)
}

// duration returns the duration under key as a multiple of unit, or 0 if there is none. It must be
// a whole multiple.
func (s section) duration(key string, unit time.Duration) uint32 {
	if !s.has(key) {
		return 0
	}
	d, err := time.ParseDuration(s.rawOf(key))
	if err != nil || d < 0 || d%unit != 0 || d/unit > math.MaxUint32 {
		s.fail(key, allowedDuration+", in whole multiples of "+unit.String())
		return 0
	}
	return uint32(d / unit)
}

// size returns the size under key in bytes, or 0 if there is none.
func (s section) size(key string) uint64 {
	if !s.has(key) {
		return 0
	}
	n, ok := parseSize(s.rawOf(key))
	if !ok {
		s.fail(key, allowedSize)
	}
	return n
}

// parseSize returns the number of bytes that text denotes, and false if it is invalid or does not
// fit in 64 bits.
func parseSize(text string) (uint64, bool) {
	factor := uint64(1)
	for _, unit := range sizeUnits {
		if number, found := strings.CutSuffix(text, unit.suffix); found {
			text, factor = strings.TrimSpace(number), unit.bytes
			break
		}
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n > math.MaxUint64/factor {
		return 0, false
	}
	return n * factor, true
}

// digests returns the token digests under two keys: one has a single digest, several a list.
func (s section) digests(one, several string) [][]byte {
	var out [][]byte
	if s.has(one) {
		digest, err := hex.DecodeString(s.rawOf(one))
		if err != nil || len(digest) == 0 {
			s.fail(one, allowedDigest)
		}
		out = append(out, digest)
	}
	for i, item := range s.items(several) {
		digest, err := hex.DecodeString(raw(item))
		if err != nil {
			s.failItem(several, i, item, allowedDigest)
		}
		out = append(out, digest)
	}
	return out
}
