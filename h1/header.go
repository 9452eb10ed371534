// Package h1 reads and writes HTTP/1.1 messages byte for byte.
//
// net/http cannot serve here: it normalises request targets, accepts a length
// beside chunked framing, resends on reused connections and hides whether a
// byte of a request was written. Readers in this package refuse every message
// whose end two parsers could place differently (RFC 9112, sections 6 and 11.2).
//
// Nothing in this package is safe for concurrent use, apart from its functions.
package h1

import (
	"errors"
	"fmt"
	"strings"
)

// Errors of malformed messages. An error that wraps ErrSyntax or ErrFraming
// leaves the connection in an unknown place: it must be closed.
var (
	// ErrSyntax says that a line breaks the grammar of RFC 9112.
	ErrSyntax = errors.New("h1: malformed message")
	// ErrFraming says that the end of a message is ambiguous.
	ErrFraming = errors.New("h1: ambiguous framing")
	// ErrHeaderTooLarge says that a header exceeds its limit.
	ErrHeaderTooLarge = errors.New("h1: header too large")
	// ErrBodyTooLarge says that a body exceeds its limit.
	ErrBodyTooLarge = errors.New("h1: body too large")
)

// Field is one header field as it was sent.
type Field struct {
	Name  string
	Value string
}

// Header holds the fields of a message in their order.
type Header []Field

// Get returns the value of the first field called name, or "".
func (h Header) Get(name string) string {
	value, _ := h.Lookup(name)
	return value
}

// Lookup returns the value of the first field called name and whether there is
// one. Names are compared without case.
func (h Header) Lookup(name string) (string, bool) {
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			return h[i].Value, true
		}
	}
	return "", false
}

// Count returns the number of fields called name.
func (h Header) Count(name string) int {
	n := 0
	for i := range h {
		if strings.EqualFold(h[i].Name, name) {
			n++
		}
	}
	return n
}

// HasToken reports whether a comma-separated field called name holds token.
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

// hopFields concern one connection only (RFC 9110, section 7.6.1). The length
// is set anew by the writers.
var hopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// IsHop reports whether a field called name concerns one connection only.
func IsHop(name string) bool {
	for _, hop := range hopFields {
		if strings.EqualFold(name, hop) {
			return true
		}
	}
	return false
}

// EndToEnd returns the fields that pass an intermediary: all but those of the
// connection and those that Connection names. Fields in keep pass even if
// Connection names them, so that a sender cannot have them removed.
func (h Header) EndToEnd(keep func(name string) bool) Header {
	out := make(Header, 0, len(h))
	for _, f := range h {
		if IsHop(f.Name) {
			continue
		}
		if !keep(f.Name) && h.HasToken("Connection", f.Name) {
			continue
		}
		out = append(out, f)
	}
	return out
}

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

func isFieldValue(s string) bool {
	for i := range len(s) {
		c := s[i]
		if (c < ' ' && c != '\t') || c == 0x7f {
			return false
		}
	}
	return true
}

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
