package h1

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Response is the head of a response.
type Response struct {
	Status int
	Reason string
	Minor  int
	Header Header

	framing framing
}

// ReadResponse reads the head of a response to a request with the given method.
// Interim responses (1xx) are passed over.
func ReadResponse(br *bufio.Reader, method string, maxBytes int) (*Response, error) {
	for {
		resp, err := readResponseHead(br, maxBytes)
		if err != nil {
			return nil, err
		}
		if resp.Status >= 200 {
			resp.framing, err = responseFraming(resp, method)
			return resp, err
		}
		if resp.Status == 101 {
			return nil, fmt.Errorf("%w: unasked upgrade", ErrSyntax)
		}
	}
}

func readResponseHead(br *bufio.Reader, maxBytes int) (*Response, error) {
	left := maxBytes
	line, err := readLine(br, &left)
	if err != nil {
		return nil, err
	}
	resp, err := parseStatusLine(line)
	if err != nil {
		return nil, err
	}
	if resp.Header, err = readFields(br, &left); err != nil {
		return nil, midMessage(err)
	}
	return resp, nil
}

func parseStatusLine(line string) (*Response, error) {
	version, rest, _ := strings.Cut(line, " ")
	minor, err := parseVersion(version)
	if err != nil {
		return nil, err
	}
	code, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.Atoi(code)
	if err != nil || len(code) != 3 || status < 100 {
		return nil, fmt.Errorf("%w: status %q", ErrSyntax, code)
	}
	return &Response{Status: status, Reason: reason, Minor: minor}, nil
}

func responseFraming(resp *Response, method string) (framing, error) {
	if method == "HEAD" || resp.Status == 204 || resp.Status == 304 {
		return framing{kind: noBody}, nil
	}
	f, err := statedFraming(resp.Header)
	if err == nil && f.kind == noBody {
		return framing{kind: untilClose}, nil
	}
	return f, err
}

// Length returns the stated length of the body, or -1 if none is stated.
func (r *Response) Length() int64 {
	switch r.framing.kind {
	case sized:
		return r.framing.length
	case noBody:
		return 0
	}
	return -1
}

// Reusable reports whether the connection may carry another request once the
// body was read to its end.
func (r *Response) Reusable() bool {
	return r.Minor == 1 && r.framing.kind != untilClose && !r.Header.HasToken("Connection", "close")
}

// Body returns the reader of the response's body. It returns io.EOF only if the
// whole body was read; a body that is cut short ends with another error.
func (r *Response) Body(br *bufio.Reader) io.Reader {
	return newBody(br, r.framing)
}
