package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// errNotAllowed is returned by parse functions for values that are well-formed but not accepted.
// Its text is not shown: the user gets syntax.allowed.
var errNotAllowed = errors.New("not allowed")

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// syntax defines the values that a setting accepts.
type syntax[T any] struct {
	// allowed describes the accepted values in error messages.
	allowed string
	// parse returns an error for all other values.
	parse func(string) (T, error)
}

// convert parses raw, the value of the setting with the given name. If the value is invalid,
// convert records an error in c and returns the zero value. The generated code calls it for each
// setting.
func convert[T any](c *checker, name, raw string, required bool, s syntax[T]) T {
	var zero T
	if raw == "" && required {
		c.fail(name, raw, s.allowed)
		return zero
	}
	if raw == "" && optionalWhenEmpty(zero) {
		return zero
	}
	parsed, err := s.parse(raw)
	if err != nil {
		c.fail(name, raw, s.allowed)
		return zero
	}
	return parsed
}

// optionalWhenEmpty reports whether an empty string is accepted for a setting that is not required,
// and means the zero value. That holds for the types string and netip.AddrPort.
func optionalWhenEmpty(zero any) bool {
	switch zero.(type) {
	case string, netip.AddrPort:
		return true
	}
	return false
}

// choice accepts the given strings, or every string if none are given.
func choice(choices ...string) syntax[string] {
	return syntax[string]{
		allowed: "one of " + strings.Join(choices, ", "),
		parse: func(raw string) (string, error) {
			if len(choices) > 0 && !slices.Contains(choices, raw) {
				return "", errNotAllowed
			}
			return raw, nil
		},
	}
}

// nameSyntax accepts names of instances, availability zones and regions.
var nameSyntax = syntax[string]{
	allowed: "1 to 63 of a-z, 0-9, '-' and '.', with a letter or digit at both ends",
	parse: func(raw string) (string, error) {
		if !namePattern.MatchString(raw) {
			return "", errNotAllowed
		}
		return raw, nil
	},
}

// ipPort accepts an IP address with a port other than 0.
var ipPort = syntax[netip.AddrPort]{
	allowed: "IP:port with a port from 1 to 65535",
	parse: func(raw string) (netip.AddrPort, error) {
		addr, err := netip.ParseAddrPort(raw)
		if err == nil && addr.Port() == 0 {
			err = errNotAllowed
		}
		return addr, err
	},
}

// baseURL accepts http and https URLs to which paths can be appended. It removes a trailing slash.
var baseURL = syntax[string]{
	allowed: "an http or https URL with a host and no query",
	parse: func(raw string) (string, error) {
		u, err := url.Parse(raw)
		if err != nil {
			return "", err
		}
		if u.Scheme != "http" && u.Scheme != "https" {
			return "", errNotAllowed
		}
		if u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
			return "", errNotAllowed
		}
		return strings.TrimSuffix(raw, "/"), nil
	},
}

// integer accepts decimal integers from low to high, inclusive.
func integer[T int | int64](low, high T) syntax[T] {
	return syntax[T]{
		allowed: fmt.Sprintf("an integer from %d to %d", low, high),
		parse: func(raw string) (T, error) {
			parsed, err := strconv.ParseInt(raw, 10, 64)
			if err != nil {
				return 0, err
			}
			if parsed < int64(low) || parsed > int64(high) {
				return 0, errNotAllowed
			}
			return T(parsed), nil
		},
	}
}

// unsigned accepts all decimal integers that fit in 64 bits without a sign.
var unsigned = syntax[uint64]{
	allowed: "an integer from 0 to 18446744073709551615",
	parse: func(raw string) (uint64, error) {
		return strconv.ParseUint(raw, 10, 64)
	},
}

// duration accepts durations from low to high, inclusive.
func duration(low, high time.Duration) syntax[time.Duration] {
	return syntax[time.Duration]{
		allowed: fmt.Sprintf("a duration from %s to %s", low, high),
		parse: func(raw string) (time.Duration, error) {
			parsed, err := time.ParseDuration(raw)
			if err != nil {
				return 0, err
			}
			if parsed < low || parsed > high {
				return 0, errNotAllowed
			}
			return parsed, nil
		},
	}
}
