package config

import (
	"fmt"
	"net/http"
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

// Bounds of the fields of a configuration, inclusive.
const (
	MinShare = 1
	MaxShare = 1_000_000

	MinSlots = 1
	MaxSlots = 100_000

	MaxSpeedPercent = 100_000

	// MaxShards limits the number of schedulers of one pool in each region.
	MaxShards = 128

	MaxTokenWeight = 1_000
	MinInitialCost = 1
	MaxInitialCost = 1_000_000_000

	MinQueuedRequests = 1
	MaxQueuedRequests = 1_000_000
	MinQueuedBytes    = 1 << 10
	MaxQueuedBytes    = 64 << 30

	MinDeadlineMillis = 10
	MaxDeadlineMillis = 24 * 60 * 60 * 1000

	MinBodyBytes          = 1 << 10
	MaxBodyBytes          = 1 << 30
	MaxBodiesBytes        = 64 << 30
	MaxConcurrentRequests = 1_000_000
	MinTimeoutMillis      = 10
	MaxTimeoutMillis      = 60 * 60 * 1000
	MaxRetryBudgetPercent = 100

	MaxModelBytes        = 16 << 40
	MaxConcurrentLoads   = 1_000
	MinStoreBytesPerSec  = 1 << 10
	MaxStoreBytesPerSec  = 16 << 40
	tokenDigestSizeBytes = 32
)

// Descriptions of allowed values.
const (
	allowedName    = "1 to 63 of a-z, 0-9, '-', '_' and '.', with a letter or digit at both ends"
	allowedLabel   = "1 to 128 of A-Z, a-z, 0-9, '-', '_', '.', '/' and ':'"
	allowedAddress = "IP:port with a specified IP address and a port from 1 to 65535"
)

var (
	namePattern  = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)
	labelPattern = regexp.MustCompile(`^[A-Za-z0-9._/:-]{1,128}$`)
)

// methods are the HTTP methods that a rule may name.
var methods = []string{
	http.MethodDelete, http.MethodGet, http.MethodHead, http.MethodOptions,
	http.MethodPatch, http.MethodPost, http.MethodPut,
}

// addError records an invalid value of a field.
func (v *validator) addError(field string, value any, allowed string) {
	v.errs = append(v.errs, FieldError{Field: field, Value: fmt.Sprint(value), Allowed: allowed})
}

func (v *validator) name(field, value string) {
	if !namePattern.MatchString(value) {
		v.addError(field, value, allowedName)
	}
}

func (v *validator) label(field, value string) {
	if !labelPattern.MatchString(value) {
		v.addError(field, value, allowedLabel)
	}
}

// inRange checks an integer against inclusive bounds.
func inRange[T uint32 | uint64](v *validator, field string, value, low, high T) {
	if value < low || value > high {
		v.addError(field, value, fmt.Sprintf("%d to %d", low, high))
	}
}

// zeroOrInRange checks an integer whose zero value selects the router's own setting.
func zeroOrInRange[T uint32 | uint64](v *validator, field string, value, low, high T) {
	if value != 0 && (value < low || value > high) {
		v.addError(field, value, fmt.Sprintf("0, or %d to %d", low, high))
	}
}

// address checks an IP:port. Host names are not accepted.
func (v *validator) address(field, value string) {
	addr, err := netip.ParseAddrPort(value)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() {
		v.addError(field, value, allowedAddress)
	}
}

func (v *validator) method(field, value string) {
	if value != "" && !slices.Contains(methods, value) {
		v.addError(field, value, "empty or one of "+strings.Join(methods, ", "))
	}
}

func (v *validator) class(field, value string) {
	if !v.classNames[value] {
		v.addError(field, value, "the name of a deadline class")
	}
}

func (v *validator) pool(field, value string) {
	if v.poolsByName[value] == nil {
		v.addError(field, value, "the name of a pool")
	}
}

func (v *validator) notEmpty(field string, count int) {
	if count == 0 {
		v.addError(field, "", "at least one entry")
	}
}

// uniqueNames checks the syntax and the uniqueness of the names in one list.
type uniqueNames struct {
	v    *validator
	seen map[string]bool
}

func (v *validator) uniqueNames() *uniqueNames {
	return &uniqueNames{v: v, seen: map[string]bool{}}
}

func (u *uniqueNames) check(field, name string) {
	u.v.name(field, name)
	if u.seen[name] {
		u.v.addError(field, name, "a name used once")
	}
	u.seen[name] = true
}

// uniqueIDs does the same as uniqueNames and also rejects two names with the same ID.
type uniqueIDs struct {
	*uniqueNames
	nameOfID map[ID]string
}

func (v *validator) uniqueIDs() *uniqueIDs {
	return &uniqueIDs{uniqueNames: v.uniqueNames(), nameOfID: map[ID]string{}}
}

func (u *uniqueIDs) check(field, name string) {
	u.uniqueNames.check(field, name)
	u.checkID(field, name)
}

// checkID checks only that no other name has the ID of name. It is used for shard names, which
// are derived from pool names and do not follow the syntax of names.
func (u *uniqueIDs) checkID(field, name string) {
	id := IDOf(name)
	if other, taken := u.nameOfID[id]; taken && other != name {
		u.v.addError(field, name, fmt.Sprintf("a name whose ID %08x differs from that of %q", uint32(id), other))
		return
	}
	u.nameOfID[id] = name
}
