package h1

import (
	"bufio"
	"fmt"
	"io"
	"strings"
)

// Request is the request line, header and body of a request. ReadRequest fills in all
// fields but Body, which ReadBody sets.
type Request struct {
	Method string
	// Target is the request target as it was sent: an absolute path with an optional
	// query.
	Target string
	// Minor is the minor version of HTTP: 0 or 1.
	Minor  int
	Header Header
	Body   []byte

	framing framing
}

// Path returns the target without its query, with percent-encoding and dot segments kept.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// KeepAlive reports whether the client allows another request on the connection after
// this one.
func (r *Request) KeepAlive() bool {
	if r.Minor == 0 {
		return r.Header.HasToken("Connection", "keep-alive")
	}
	return !r.Header.HasToken("Connection", "close")
}

// HasBody reports whether a body follows the header. It returns true for an empty chunked
// body.
func (r *Request) HasBody() bool {
	return r.framing.kind == chunked || r.framing.length > 0
}

// BodyLength returns the length of the body in bytes as the header states it, and 0 if the body is
// chunked and its length not known before it ends.
func (r *Request) BodyLength() int64 { return r.framing.length }

// ReadRequest reads a request line and header of at most maxBytes bytes. It skips empty
// lines before the request line. It returns io.EOF if the connection ended before the
// first byte of the request line, and errors that wrap ErrSyntax, ErrFraming or
// ErrHeaderTooLarge for requests that it refuses.
func ReadRequest(br *bufio.Reader, maxBytes int) (*Request, error) {
	remaining := maxBytes
	line, err := readLine(br, &remaining)
	for err == nil && line == "" {
		line, err = readLine(br, &remaining)
	}
	if err != nil {
		return nil, err
	}
	req, err := parseRequestLine(line)
	if err != nil {
		return nil, err
	}
	if req.Header, err = readFields(br, &remaining); err != nil {
		return nil, unexpectedEOF(err)
	}
	if req.Minor == 1 && req.Header.Count("Host") != 1 {
		return nil, fmt.Errorf("%w: not exactly one Host field", ErrSyntax)
	}
	if req.framing, err = requestFraming(req); err != nil {
		return nil, err
	}
	return req, nil
}

// parseRequestLine accepts only targets in origin form, which start with a slash (RFC
// 9112, section 3.2.1).
func parseRequestLine(line string) (*Request, error) {
	method, rest, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || !isToken(method) {
		return nil, fmt.Errorf("%w: request line", ErrSyntax)
	}
	if !strings.HasPrefix(target, "/") || !isRequestTarget(target) {
		return nil, fmt.Errorf("%w: request target", ErrSyntax)
	}
	minor, err := parseVersion(version)
	if err != nil {
		return nil, err
	}
	return &Request{Method: method, Target: target, Minor: minor}, nil
}

// isRequestTarget reports whether s has neither spaces nor control characters.
func isRequestTarget(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

// requestFraming returns the framing of a request. It refuses chunked requests of
// HTTP/1.0, since that version does not define transfer codings.
func requestFraming(req *Request) (framing, error) {
	f, err := headerFraming(req.Header)
	if err == nil && f.kind == chunked && req.Minor == 0 {
		return framing{}, fmt.Errorf("%w: transfer coding", ErrFraming)
	}
	return f, err
}

// ReadBody reads the whole body into r.Body. It returns ErrBodyTooLarge if the body
// exceeds maxBytes; if Content-Length says so, it reads nothing.
func (r *Request) ReadBody(br *bufio.Reader, maxBytes int64) error {
	if r.framing.length > maxBytes {
		return ErrBodyTooLarge
	}
	if r.framing.kind == noBody {
		return nil
	}
	if r.framing.kind == fixedLength {
		r.Body = make([]byte, r.framing.length)
		_, err := io.ReadFull(br, r.Body)
		return unexpectedEOF(err)
	}
	body, err := io.ReadAll(io.LimitReader(newBody(br, r.framing), maxBytes+1))
	if err != nil {
		return err
	}
	if int64(len(body)) > maxBytes {
		return ErrBodyTooLarge
	}
	r.Body = body
	return nil
}

// Length returns the length of the body in bytes, or -1 if it is not known in advance.
func (r *Request) Length() int64 {
	if r.framing.kind == chunked {
		return -1
	}
	return r.framing.length
}

// OpenBody returns a reader of the body like Response.Body. It returns ErrBodyTooLarge if Content-Length exceeds
// maxBytes.
func (r *Request) OpenBody(br *bufio.Reader, maxBytes int64) (io.Reader, error) {
	if r.framing.length > maxBytes {
		return nil, ErrBodyTooLarge
	}
	return newBody(br, r.framing), nil
}

// SkipBody reads and discards the body, so that the next request on the connection can be
// read. It returns ErrBodyTooLarge if the body exceeds maxBytes.
func (r *Request) SkipBody(br *bufio.Reader, maxBytes int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(newBody(br, r.framing), maxBytes+1))
	if err == nil && n > maxBytes {
		return ErrBodyTooLarge
	}
	return err
}
