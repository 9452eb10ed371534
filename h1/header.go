// Package h1 reads and writes HTTP/1.1 messages and keeps request targets and field
// values as they were sent.
//
// The package takes the place of net/http, which normalises request targets, accepts
// Content-Length beside chunked transfer coding, resends requests on reused connections
// and does not tell whether a byte of a request was written. The readers refuse every
// message whose end two parsers could place differently, as this allows request smuggling
// (RFC 9112, sections 6 and 11.2).
//
// The functions of this package may be called concurrently. Its types are not safe for
// concurrent use, and neither is a bufio.Reader that is passed to the functions.
package h1

import (
	"errors"
	"fmt"
	"strings"
)

// Errors of messages that cannot be read. After an error that wraps ErrSyntax or
// ErrFraming the reader is at an unknown position in the byte stream and the connection
// must be closed.
var (
	// ErrSyntax means that a line violates the grammar of RFC 9112.
	ErrSyntax = errors.New("h1: malformed message")
	// ErrFraming means that the end of a message is ambiguous.
	ErrFraming = errors.New("h1: ambiguous framing")
	// ErrHeaderTooLarge means that a header exceeds the limit of the caller, or that
	// chunk sizes and trailers exceed a limit of this package.
	ErrHeaderTooLarge = errors.New("h1: header too large")
	// ErrBodyTooLarge means that a body exceeds the limit of the caller.
	ErrBodyTooLarge = errors.New("h1: body too large")
)

// Field is a header field. Name keeps its upper and lower case, Value is without the
// spaces and tabs around it.
type Field struct {
	Name  string
	Value string
}

// Header holds the fields of a message in the order in which they were sent.
type Header []Field

// Get returns the value of the first field with the given name, or "" if there is none.
// The case of names is ignored.
func (h Header) Get(name string) string {
	value, _ := h.Lookup(name)
	return value
}

// Lookup returns the value of the first field with the given name and whether there is
// one. The case of names is ignored.
func (h Header) Lookup(name string) (string, bool) {
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			return h[i].Value, true
		}
	}
	return "", false
}

// Values returns the values of all fields with the given name. The case of names is ignored.
func (h Header) Values(name string) []string {
	var values []string
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			values = append(values, h[i].Value)
		}
	}
	return values
}

// Count returns the number of fields with the given name, ignoring case.
func (h Header) Count(name string) int {
	n := 0
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			n++
		}
	}
	return n
}

// HasToken reports whether a field with the given name holds token in its comma-separated
// list. The case of names and tokens is ignored.
func (h Header) HasToken(name, token string) bool {
	for i := range h {
		if !strings.EqualFold(h[i].Name, name) {
			continue
		}
		for part := range strings.SplitSeq(h[i].Value, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// hopByHopFields are the names of fields that apply to one connection only and are not
// forwarded (RFC 9110, section 7.6.1). Content-Length is among them because the sender of
// the forwarded message sets it anew.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// IsHopByHop reports whether fields with the given name apply to one connection only and
// must not be forwarded.
func IsHopByHop(name string) bool {
	for _, hop := range hopByHopFields {
		if strings.EqualFold(name, hop) {
			return true
		}
	}
	return false
}

// EndToEnd returns the fields that a proxy forwards: all but the hop-by-hop fields and
// the fields that Connection lists. A field for which keep returns true is forwarded even
// if Connection lists it, so that a client cannot make the proxy remove it.
func (h Header) EndToEnd(keep func(name string) bool) Header {
	out := make(Header, 0, len(h))
	for _, f := range h {
		if IsHopByHop(f.Name) {
			continue
		}
		if !keep(f.Name) && h.HasToken("Connection", f.Name) {
			continue
		}
		out = append(out, f)
	}
	return out
}

// isTokenByte reports whether a token of RFC 9110, section 5.6.2, may contain c.
func isTokenByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

func isToken(s string) bool {
	for i := range len(s) {
		if !isTokenByte(s[i]) {
			return false
		}
	}
	return s != ""
}

// isFieldValue reports whether s has no control character other than a tab.
func isFieldValue(s string) bool {
	for i := range len(s) {
		c := s[i]
		if (c < ' ' && c != '\t') || c == 0x7f {
			return false
		}
	}
	return true
}

// parseField parses a header line. It refuses white space before the colon and folded
// lines, since neither starts with a name that is a token.
func parseField(line string) (Field, error) {
	colon := strings.IndexByte(line, ':')
	if colon < 0 {
		return Field{}, fmt.Errorf("%w: field without a colon", ErrSyntax)
	}
	f := Field{Name: line[:colon], Value: strings.Trim(line[colon+1:], " \t")}
	if !isToken(f.Name) {
		return Field{}, fmt.Errorf("%w: field name %q", ErrSyntax, f.Name)
	}
	if !isFieldValue(f.Value) {
		return Field{}, fmt.Errorf("%w: value of field %s", ErrSyntax, f.Name)
	}
	return f, nil
}
