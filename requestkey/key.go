package requestkey

import (
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

const (
	issuedPrefix = "cs1."
	// issuedParts is the least number of parts of an issued key, which are separated by dots.
	issuedParts = 5
	// RandomBytes is the number of random bytes in an issued key.
	RandomBytes = 16
	uuidV7      = uuid.Version(7)
)

// ErrMalformedKey is wrapped by all errors of ParseIssued.
var ErrMalformedKey = errors.New("malformed issued key")

// IssuedKey is the content of a key that a router issued. Its text form is
// cs1.<router>.<incarnation>.<unix milliseconds>.<random, hexadecimal>, in
// which the router's name may contain dots.
type IssuedKey struct {
	Router      string
	Incarnation uint64
	// IssuedAt has millisecond resolution.
	IssuedAt time.Time
	Random   [RandomBytes]byte
}

// String returns the text form of the key.
func (k IssuedKey) String() string {
	return fmt.Sprintf("%s%s.%d.%d.%x", issuedPrefix, k.Router, k.Incarnation, k.IssuedAt.UnixMilli(), k.Random)
}

// IsIssued reports whether key has the prefix of issued keys. Callers must not choose keys
// with this prefix.
func IsIssued(key string) bool {
	return strings.HasPrefix(key, issuedPrefix)
}

// ParseIssued parses the text form of an issued key. It accepts only what String returns.
func ParseIssued(text string) (IssuedKey, error) {
	key, err := parseIssued(text)
	if err != nil {
		return IssuedKey{}, fmt.Errorf("%w: %w", ErrMalformedKey, err)
	}
	if key.String() != text {
		return IssuedKey{}, fmt.Errorf("%w: not in canonical form", ErrMalformedKey)
	}
	return key, nil
}

func parseIssued(text string) (key IssuedKey, err error) {
	if len(text) > MaxKeyBytes {
		return key, fmt.Errorf("longer than %d bytes", MaxKeyBytes)
	}
	parts := strings.Split(text, ".")
	n := len(parts)
	if n < issuedParts || !IsIssued(text) {
		return key, errors.New("wrong prefix or number of parts")
	}
	key.Router = strings.Join(parts[1:n-3], ".")
	if key.Router == "" {
		return key, errors.New("empty router name")
	}
	key.Incarnation, err = strconv.ParseUint(parts[n-3], 10, 64)
	if err != nil {
		return key, fmt.Errorf("incarnation: %w", err)
	}
	ms, err := strconv.ParseInt(parts[n-2], 10, 64)
	if err != nil {
		return key, fmt.Errorf("issue time: %w", err)
	}
	key.IssuedAt = time.UnixMilli(ms)
	random, err := hex.DecodeString(parts[n-1])
	if err != nil {
		return key, fmt.Errorf("random part: %w", err)
	}
	if len(random) != RandomBytes {
		return key, fmt.Errorf("random part has %d bytes, not %d", len(random), RandomBytes)
	}
	copy(key.Random[:], random)
	return key, nil
}

// CreatedAt returns the time at which a caller-chosen key was made. Only a UUID of version 7
// in its 36-character form proves that time; the result is false for other keys.
func CreatedAt(key string) (time.Time, bool) {
	const uuidTextBytes = 36
	if len(key) != uuidTextBytes {
		return time.Time{}, false
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidV7 {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}
