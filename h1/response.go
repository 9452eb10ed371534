package h1

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Response is the status line and header of a response.
type Response struct {
	Status int
	// Reason is the reason phrase, which may be empty.
	Reason string
	// Minor is the minor version of HTTP: 0 or 1.
	Minor  int
	Header Header
	// Interim holds the fields of the interim responses (1xx) that came before.
	Interim Header

	framing framing
}

// ReadResponse reads the status line and header of a response to a request with the given
// method. It skips interim responses (1xx) but for their fields, and refuses 101, since the package sends
// no Upgrade. All heads together may have maxBytes bytes. It returns io.EOF if the connection ended before the first byte of a response.
func ReadResponse(br *bufio.Reader, method string, maxBytes int) (*Response, error) {
	return ReadResponseWithInterim(br, method, maxBytes, func() {})
}

// ReadResponseWithInterim is ReadResponse, and calls onInterim after each interim response.
func ReadResponseWithInterim(br *bufio.Reader, method string, maxBytes int, onInterim func()) (*Response, error) {
	remaining := maxBytes
	var interim Header
	for {
		resp, err := readResponseHead(br, &remaining)
		if err != nil {
			return nil, err
		}
		if resp.Status >= 200 {
			resp.Interim = interim
			resp.framing, err = responseFraming(resp, method)
			return resp, err
		}
		if resp.Status == 101 {
			return nil, fmt.Errorf("%w: unasked upgrade", ErrSyntax)
		}
		interim = append(interim, resp.Header...)
		onInterim()
	}
}

func readResponseHead(br *bufio.Reader, remaining *int) (*Response, error) {
	line, err := readLine(br, remaining)
	if err != nil {
		return nil, err
	}
	resp, err := parseStatusLine(line)
	if err != nil {
		return nil, err
	}
	if resp.Status < minStatus || resp.Status > maxStatus || !isFieldValue(resp.Reason) {
		return nil, fmt.Errorf("%w: status line", ErrSyntax)
	}
	if resp.Header, err = readFields(br, remaining); err != nil {
		return nil, unexpectedEOF(err)
	}
	return resp, nil
}

// minStatus and maxStatus are the smallest and the largest valid status code (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// StatusLineStart is the beginning of each status line that this package reads.
const StatusLineStart = "HTTP/1."

// IsStatusLine reports whether a line, without its end, has the form of the status line of a response, whether its status is valid
// or not.
func IsStatusLine(line string) bool {
	_, err := parseStatusLine(line)
	return err == nil
}

// CutStatusLine returns the text before the status line with which a text ends, and whether there is one.
func CutStatusLine(text string) (before string, found bool) {
	start := strings.LastIndex(text, StatusLineStart)
	if start < 0 || !IsStatusLine(text[start:]) {
		return text, false
	}
	return text[:start], true
}

func parseStatusLine(line string) (*Response, error) {
	version, rest, _ := strings.Cut(line, " ")
	minor, err := parseVersion(version)
	if err != nil {
		return nil, err
	}
	code, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || strings.Trim(code, "0123456789") != "" {
		return nil, fmt.Errorf("%w: status %q", ErrSyntax, code)
	}
	return &Response{Status: status, Reason: reason, Minor: minor}, nil
}

// responseFraming returns the framing of a response. A response without Content-Length
// and Transfer-Encoding ends with the connection, unless the method or the status
// excludes a body (RFC 9112, section 6.3).
func responseFraming(resp *Response, method string) (framing, error) {
	if method == "HEAD" || resp.Status == 204 || resp.Status == 304 {
		return framing{kind: noBody}, nil
	}
	f, err := headerFraming(resp.Header)
	if err == nil && f.kind == noBody {
		return framing{kind: untilClose}, nil
	}
	return f, err
}

// Length returns the length of the body in bytes, or -1 if it is not known in advance.
func (r *Response) Length() int64 {
	switch r.framing.kind {
	case fixedLength:
		return r.framing.length
	case noBody:
		return 0
	}
	return -1
}

// CloseDelimited reports whether the end of the connection is the end of the body. The reader of such
// a body cannot tell a complete body from one that the sender broke off by closing the connection.
func (r *Response) CloseDelimited() bool { return r.framing.kind == untilClose }

// Reusable reports whether the connection may carry another request once the body was
// read to its end.
func (r *Response) Reusable() bool {
	return r.Minor == 1 && r.framing.kind != untilClose && !r.Header.HasToken("Connection", "close")
}

// Body returns a reader of the response's body. It returns io.EOF only at the end of the
// whole body. A connection that ends before gives io.ErrUnexpectedEOF, unless its end is
// the end of the body.
func (r *Response) Body(br *bufio.Reader) io.Reader {
	return newBody(br, r.framing)
}
