package h1

import (
	"bufio"
	"fmt"
	"io"
	"strings"
)

// Request is the head of a request and, once ReadBody has returned, its body.
type Request struct {
	Method string
	// Target is the request target as it was sent.
	Target string
	// Minor is the minor version: 0 or 1.
	Minor  int
	Header Header
	Body   []byte

	framing framing
}

// Path returns the target without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.Target, "?")
	return path
}

// KeepAlive reports whether the client lets the connection serve another
// request.
func (r *Request) KeepAlive() bool {
	if r.Minor == 0 {
		return r.Header.HasToken("Connection", "keep-alive")
	}
	return !r.Header.HasToken("Connection", "close")
}

// HasBody reports whether a body follows the head.
func (r *Request) HasBody() bool {
	return r.framing.kind == chunked || r.framing.length > 0
}

// ReadRequest reads the head of a request of at most maxBytes bytes. It returns
// io.EOF if the connection ended before the first byte.
func ReadRequest(br *bufio.Reader, maxBytes int) (*Request, error) {
	left := maxBytes
	line, err := readLine(br, &left)
	for err == nil && line == "" {
		line, err = readLine(br, &left)
	}
	if err != nil {
		return nil, err
	}
	req, err := parseRequestLine(line)
	if err != nil {
		return nil, err
	}
	if req.Header, err = readFields(br, &left); err != nil {
		return nil, midMessage(err)
	}
	if req.Minor == 1 && req.Header.Count("Host") != 1 {
		return nil, fmt.Errorf("%w: not exactly one Host field", ErrSyntax)
	}
	if req.framing, err = requestFraming(req); err != nil {
		return nil, err
	}
	return req, nil
}

func parseRequestLine(line string) (*Request, error) {
	method, rest, ok := strings.Cut(line, " ")
	target, version, ok2 := strings.Cut(rest, " ")
	if !ok || !ok2 || !isToken(method) {
		return nil, fmt.Errorf("%w: request line", ErrSyntax)
	}
	if !strings.HasPrefix(target, "/") || !isTarget(target) {
		return nil, fmt.Errorf("%w: request target", ErrSyntax)
	}
	minor, err := parseVersion(version)
	if err != nil {
		return nil, err
	}
	return &Request{Method: method, Target: target, Minor: minor}, nil
}

func isTarget(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

func requestFraming(req *Request) (framing, error) {
	f, err := statedFraming(req.Header)
	if err == nil && f.kind == chunked && req.Minor == 0 {
		return framing{}, fmt.Errorf("%w: transfer coding", ErrFraming)
	}
	return f, err
}

// ReadBody reads the whole body into r.Body. It returns ErrBodyTooLarge without
// reading when the stated length exceeds maxBytes.
func (r *Request) ReadBody(br *bufio.Reader, maxBytes int64) error {
	if r.framing.length > maxBytes {
		return ErrBodyTooLarge
	}
	if r.framing.kind == noBody {
		return nil
	}
	if r.framing.kind == sized {
		r.Body = make([]byte, r.framing.length)
		_, err := io.ReadFull(br, r.Body)
		return midMessage(err)
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

// SkipBody reads past the body, of at most maxBytes bytes.
func (r *Request) SkipBody(br *bufio.Reader, maxBytes int64) error {
	n, err := io.Copy(io.Discard, io.LimitReader(newBody(br, r.framing), maxBytes+1))
	if err == nil && n > maxBytes {
		return ErrBodyTooLarge
	}
	return err
}
